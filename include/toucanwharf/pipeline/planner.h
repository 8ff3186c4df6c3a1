#ifndef TOUCANWHARF_PIPELINE_PLANNER_H_
#define TOUCANWHARF_PIPELINE_PLANNER_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/random.h"
#include "toucanwharf/support/result.h"

/// Choice of the plan for an answer: the exact cover of the model's layers
/// whose expected finish is soonest.
///
/// Activations go from engine to engine, and the result returns the same way,
/// so a token crosses each link between neighbouring stages twice and the link
/// to the router once. Relaying each hop through the router would cross two
/// links for every stage; docs/design/pipeline.md has the sums.
namespace toucanwharf::pipeline {

/// Expected wait for new work at an endpoint, or nothing when the endpoint
/// must not be used now. The routing library supplies one that corrects
/// lagging reports by the router's own work in flight.
template <typename T>
concept EndpointScore = requires(const T& score, const EndpointView& view) {
  { score(view) } -> std::same_as<std::optional<Duration>>;
};

/// The wait as the endpoint reported it, uncorrected.
struct ReportedWait {
  /// Thread safety: safe.
  std::optional<Duration> operator()(const EndpointView& view) const {
    return view.expected_wait;
  }
};

/// What to plan for.
struct PlanQuery {
  PinnedModel model;
  std::uint32_t layers = 0;
  std::uint32_t prompt_tokens = 0;
  /// Tokens still to come.
  std::uint32_t output_tokens = 1;
  /// Endpoint ids that this answer must not use.
  std::set<std::string> excluded;
};

/// The live endpoints by pinned model and layer range, kept up by deltas so
/// that a plan reads two endpoints of each group and not the whole fleet.
/// Thread safety: none; for one thread.
class PlanIndex {
 public:
  /// Plans for a router in failure domain \p router_domain.
  PlanIndex(const std::string& router_domain, LinkCosts link_costs);
  /// Groups point into the index, so a copy would point into the original.
  PlanIndex(const PlanIndex&) = delete;
  PlanIndex& operator=(const PlanIndex&) = delete;
  PlanIndex(PlanIndex&&) = default;
  PlanIndex& operator=(PlanIndex&&) = default;

  /// Adds \p view or replaces what was known of its id. A leaving or ejected
  /// endpoint stays known but is in no plan from now on (I5).
  void Update(const EndpointView& view);
  /// Forgets the endpoint \p id; without effect if unknown.
  void Remove(const std::string& id);
  /// Replaces the link costs.
  void UpdateLinks(LinkCosts costs);

  /// Returns what is known of \p id, or null. The pointer is valid until the
  /// next call that changes the index.
  const EndpointView* Find(const std::string& id) const;
  /// Returns how many endpoints are known, of any state.
  std::size_t Size() const { return this->endpoints.size(); }

  /// Returns the plan with the soonest expected finish, or `Error::kNoCover`;
  /// `MissingLayers` then says what to load. Precondition: query.layers > 0.
  template <EndpointScore Score = ReportedWait>
  Result<Plan> Choose(const PlanQuery& query, Random& random,
                      const Score& score = {}) const {
    return this->ShortestCover(query, this->Sample(query, random, score));
  }

  /// Returns the layers of \p query that no usable endpoint holds. Empty
  /// although there is no cover when ranges overlap without meeting.
  std::vector<LayerRange> MissingLayers(const PlanQuery& query) const;

 private:
  struct Endpoint {
    EndpointView view;
    Duration penalty{0};
    std::size_t domain = 0;
  };
  /// Layer range, then index of the failure domain.
  using GroupKey = std::tuple<LayerRange, std::size_t>;
  /// Endpoints of one range in one failure domain.
  struct Group {
    std::vector<const Endpoint*> members;
    /// Running sums of the members' speeds (layers a second).
    std::vector<double> speed_sums;

    const Endpoint* Draw(Random& random) const;
  };
  using Shard = std::map<GroupKey, Group>;
  struct Candidate {
    const Endpoint* endpoint = nullptr;
    Duration wait{0};
  };

  template <EndpointScore Score>
  std::vector<Candidate> Sample(const PlanQuery& query, Random& random,
                                const Score& score) const;
  template <EndpointScore Score>
  std::optional<Candidate> BestOfTwo(const Group& group, const PlanQuery& query,
                                     Random& random, const Score& score) const;
  template <EndpointScore Score>
  static std::optional<Candidate> Rate(const Endpoint* endpoint,
                                       const PlanQuery& query,
                                       const Score& score);

  static Duration Cost(const Candidate& candidate, const PlanQuery& query);
  Result<Plan> ShortestCover(const PlanQuery& query,
                             const std::vector<Candidate>& candidates) const;
  Plan MakePlan(const PlanQuery& query,
                const std::vector<Candidate>& stages) const;
  Duration Hop(std::size_t left, const Candidate& right) const;
  std::size_t DomainIndex(const std::string& domain);
  void RebuildDelays();
  void Enter(const Endpoint& endpoint);
  void Leave(const Endpoint& endpoint);

  LinkCosts links;
  /// Failure domains in the order first seen; the router's own is first.
  std::vector<std::string> domains;
  /// One-way delays between the failure domains, by their indices.
  std::vector<std::vector<Duration>> delays;
  std::map<std::string, Endpoint> endpoints;
  std::map<PinnedModel, Shard> shards;
};

/// Plans once over \p views, for callers without an index of their own.
/// Precondition: query.layers > 0. Thread safety: safe with a generator of
/// the caller's own.
template <EndpointScore Score = ReportedWait>
Result<Plan> PlanAnswer(const std::vector<EndpointView>& views,
                        const PlanQuery& query,
                        const std::string& router_domain,
                        const LinkCosts& links, Random& random,
                        const Score& score = {}) {
  PlanIndex index(router_domain, links);
  for (const EndpointView& view : views) index.Update(view);
  return index.Choose(query, random, score);
}

template <EndpointScore Score>
std::vector<PlanIndex::Candidate> PlanIndex::Sample(const PlanQuery& query,
                                                    Random& random,
                                                    const Score& score) const {
  std::vector<Candidate> candidates;
  const auto shard = this->shards.find(query.model);
  if (shard == this->shards.end()) return candidates;
  candidates.reserve(shard->second.size());
  for (const auto& [key, group] : shard->second) {
    const auto best = this->BestOfTwo(group, query, random, score);
    if (best) candidates.push_back(*best);
  }
  return candidates;
}

// Pattern of load: several routers read the same lagging load reports. If each
// took the best of all, they would send all work to one endpoint until the next
// report, and its queue would grow in a burst. Two draws weighted by speed keep
// most of the gain of the best choice, and the draws of the routers differ.
template <EndpointScore Score>
std::optional<PlanIndex::Candidate> PlanIndex::BestOfTwo(
    const Group& group, const PlanQuery& query, Random& random,
    const Score& score) const {
  const auto first = Rate(group.Draw(random), query, score);
  const auto second = Rate(group.Draw(random), query, score);
  if (first && second) {
    return Cost(*second, query) < Cost(*first, query) ? second : first;
  }
  if (first || second) return first ? first : second;
  const std::size_t size = group.members.size();
  const std::size_t offset = random.Below(size);
  for (std::size_t step = 0; step < size; ++step) {
    const Endpoint* endpoint = group.members[(offset + step) % size];
    if (const auto rated = Rate(endpoint, query, score)) return rated;
  }
  return std::nullopt;
}

template <EndpointScore Score>
std::optional<PlanIndex::Candidate> PlanIndex::Rate(const Endpoint* endpoint,
                                                    const PlanQuery& query,
                                                    const Score& score) {
  if (query.excluded.contains(endpoint->view.id)) return std::nullopt;
  const std::optional<Duration> wait = score(endpoint->view);
  if (!wait) return std::nullopt;
  return Candidate{endpoint, *wait};
}

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_PLANNER_H_
