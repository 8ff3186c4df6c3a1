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

/// Selection of the plan for an answer: the exact cover of the model's layers
/// with the earliest expected completion.
///
/// Activations go from engine to engine, and the result returns along the same
/// path, so a token crosses each link between adjacent stages twice and the
/// link to the router once. Relaying each hop through the router would cross
/// two links per stage; see docs/design/pipeline.md for the calculation.
namespace toucanwharf::pipeline {

/// Returns the expected wait for new work at an endpoint, or nothing when the
/// endpoint must not be used now. The routing library supplies one that
/// corrects lagging reports by this router's requests in flight.
template <typename T>
concept EndpointScore = requires(const T& score, const EndpointView& view) {
  { score(view) } -> std::same_as<std::optional<Duration>>;
};

/// Scores an endpoint by its reported wait, without correction.
struct ReportedWait {
  /// Thread safety: safe.
  std::optional<Duration> operator()(const EndpointView& view) const {
    return view.expected_wait;
  }
};

/// The answer to plan for and the endpoints to exclude.
struct PlanQuery {
  PinnedModel model;
  std::uint32_t layers = 0;
  std::uint32_t prompt_tokens = 0;
  /// Tokens still to be generated.
  std::uint32_t output_tokens = 1;
  /// Ids of endpoints that this answer must not use.
  std::set<std::string> excluded;
};

/// Index of the live endpoints by pinned model and layer range. It is updated
/// incrementally, so that a plan reads two endpoints per group rather than the
/// whole fleet.
/// Thread safety: none; for one thread.
class PlanIndex {
 public:
  /// Plans for a router in failure domain \p router_domain.
  PlanIndex(const std::string& router_domain, LinkCosts link_costs);
  /// Not copyable: the groups of a copy would point into the original.
  PlanIndex(const PlanIndex&) = delete;
  PlanIndex& operator=(const PlanIndex&) = delete;
  PlanIndex(PlanIndex&&) = default;
  PlanIndex& operator=(PlanIndex&&) = default;

  /// Adds \p view or replaces the entry of its id. A leaving or ejected
  /// endpoint stays in the index but is in no new plan (I5).
  void Update(const EndpointView& view);
  /// Removes the endpoint \p id; no effect if unknown.
  void Remove(const std::string& id);
  /// Replaces the link costs.
  void UpdateLinks(LinkCosts costs);

  /// Returns the entry of \p id, or null. The pointer is valid until the next
  /// call that changes the index.
  const EndpointView* Find(const std::string& id) const;
  /// Returns the number of endpoints in any state.
  std::size_t Size() const { return this->endpoints.size(); }

  /// Returns the plan with the earliest expected completion, or
  /// `Error::kNoCover`; `MissingLayers` then returns the layers to load.
  /// Precondition: query.layers > 0.
  template <EndpointScore Score = ReportedWait>
  Result<Plan> Choose(const PlanQuery& query, Random& random,
                      const Score& score = {}) const {
    return this->ShortestCover(query, this->Sample(query, random, score));
  }

  /// Returns the layers of \p query that no usable endpoint holds. May be empty
  /// without a cover: ranges can overlap without sharing a boundary.
  std::vector<LayerRange> MissingLayers(const PlanQuery& query) const;

 private:
  struct Endpoint {
    EndpointView view;
    Duration penalty{0};
    std::size_t domain = 0;
  };
  /// Layer range and index of the failure domain.
  using GroupKey = std::tuple<LayerRange, std::size_t>;
  /// Endpoints of one layer range in one failure domain.
  struct Group {
    std::vector<const Endpoint*> members;
    /// Prefix sums of the members' speeds, in layers per second.
    std::vector<double> speed_sums;

    const Endpoint* DrawBySpeed(Random& random) const;
  };
  using GroupMap = std::map<GroupKey, Group>;
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
  static std::optional<Candidate> ScoreEndpoint(const Endpoint* endpoint,
                                                const PlanQuery& query,
                                                const Score& score);

  static Duration Cost(const Candidate& candidate, const PlanQuery& query);
  Result<Plan> ShortestCover(const PlanQuery& query,
                             const std::vector<Candidate>& candidates) const;
  Plan MakePlan(const PlanQuery& query,
                const std::vector<Candidate>& stages) const;
  Duration LinkDelay(std::size_t from_domain, const Candidate& to) const;
  std::size_t DomainIndex(const std::string& domain);
  void RebuildDelays();
  void AddToGroups(const Endpoint& endpoint);
  void RemoveFromGroups(const Endpoint& endpoint);

  LinkCosts links;
  /// Failure domains in the order first seen; the router's domain is first.
  std::vector<std::string> domains;
  /// One-way delays between the failure domains, by their indices.
  std::vector<std::vector<Duration>> delays;
  std::map<std::string, Endpoint> endpoints;
  std::map<PinnedModel, GroupMap> by_model;
};

/// Plans over \p views with a temporary index. Precondition: query.layers > 0.
/// Thread safety: safe if no other thread uses \p random.
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
  const auto groups = this->by_model.find(query.model);
  if (groups == this->by_model.end()) return candidates;
  candidates.reserve(groups->second.size());
  for (const auto& [key, group] : groups->second) {
    const auto best = this->BestOfTwo(group, query, random, score);
    if (best) candidates.push_back(*best);
  }
  return candidates;
}

// Load: several routers read the same lagging load reports. If each chose the
// best endpoint of all, they would send all work to that one until the next
// report, and its queue would grow in a burst. The better of two random draws
// weighted by speed retains most of the benefit, and the draws differ between
// routers.
template <EndpointScore Score>
std::optional<PlanIndex::Candidate> PlanIndex::BestOfTwo(
    const Group& group, const PlanQuery& query, Random& random,
    const Score& score) const {
  const auto first = ScoreEndpoint(group.DrawBySpeed(random), query, score);
  const auto second = ScoreEndpoint(group.DrawBySpeed(random), query, score);
  if (first && second) {
    return Cost(*second, query) < Cost(*first, query) ? second : first;
  }
  if (first || second) return first ? first : second;
  const std::size_t size = group.members.size();
  const std::size_t offset = random.Below(size);
  for (std::size_t step = 0; step < size; ++step) {
    const Endpoint* endpoint = group.members[(offset + step) % size];
    if (const auto rated = ScoreEndpoint(endpoint, query, score)) return rated;
  }
  return std::nullopt;
}

template <EndpointScore Score>
std::optional<PlanIndex::Candidate> PlanIndex::ScoreEndpoint(
    const Endpoint* endpoint, const PlanQuery& query, const Score& score) {
  if (query.excluded.contains(endpoint->view.id)) return std::nullopt;
  const std::optional<Duration> wait = score(endpoint->view);
  if (!wait) return std::nullopt;
  return Candidate{endpoint, *wait};
}

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_PLANNER_H_
