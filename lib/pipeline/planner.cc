#include "toucanwharf/pipeline/planner.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

constexpr double kMicrosPerSecond = 1e6;

// Number of prompt tokens that cost as much as one decoded token; prompt tokens
// are processed in parallel in one pass over the weights. An estimate suffices:
// it weighs prompts against waits, and deadlines apply a factor on top.
constexpr std::int64_t kPromptTokensPerDecode = 8;

constexpr Duration kUnreached = Duration::max();

/// Cheapest cover of the layers up to one boundary whose last stage is in one
/// failure domain.
struct PartialCover {
  Duration cost = kUnreached;
  /// Index of the last stage's candidate.
  std::size_t candidate = 0;
  /// Index of the failure domain of the stage before it.
  std::size_t previous_domain = 0;
};

std::vector<PinnedModel> PinnedModels(const EndpointView& view) {
  std::vector<PinnedModel> models = {{view.model, view.version, ""}};
  for (const std::string& adapter : view.adapters) {
    models.push_back({view.model, view.version, adapter});
  }
  return models;
}

Duration ComputePerToken(const EndpointView& view) {
  return view.layer_time * view.layers.Count();
}

}  // namespace

PlanIndex::PlanIndex(const std::string& router_domain, LinkCosts link_costs)
    : links(std::move(link_costs)) {
  this->DomainIndex(router_domain);
}

void PlanIndex::Update(const EndpointView& view) {
  Endpoint& endpoint = this->endpoints[view.id];
  this->RemoveFromGroups(endpoint);
  const auto penalty = this->links.endpoint_penalty.find(view.id);
  const bool penalised = penalty != this->links.endpoint_penalty.end();
  endpoint.view = view;
  endpoint.penalty = penalised ? penalty->second : Duration(0);
  endpoint.domain = this->DomainIndex(view.failure_domain);
  // I5: the lagging instance list still reports an endpoint that is leaving, so
  // it could receive new work; keep it out of all groups, and so of all plans.
  if (view.state == EndpointState::kLive && view.layers.Count() > 0) {
    this->AddToGroups(endpoint);
  }
}

void PlanIndex::Remove(const std::string& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end()) return;
  this->RemoveFromGroups(found->second);
  this->endpoints.erase(found);
}

void PlanIndex::UpdateLinks(LinkCosts costs) {
  this->links = std::move(costs);
  this->RebuildDelays();
  for (auto& [id, endpoint] : this->endpoints) {
    const auto penalty = this->links.endpoint_penalty.find(id);
    const bool penalised = penalty != this->links.endpoint_penalty.end();
    endpoint.penalty = penalised ? penalty->second : Duration(0);
  }
}

const EndpointView* PlanIndex::Find(const std::string& id) const {
  const auto found = this->endpoints.find(id);
  return found == this->endpoints.end() ? nullptr : &found->second.view;
}

std::size_t PlanIndex::DomainIndex(const std::string& domain) {
  const auto found =
      std::find(this->domains.begin(), this->domains.end(), domain);
  if (found != this->domains.end()) {
    return static_cast<std::size_t>(found - this->domains.begin());
  }
  this->domains.push_back(domain);
  this->RebuildDelays();
  return this->domains.size() - 1;
}

void PlanIndex::RebuildDelays() {
  this->delays.clear();
  for (const std::string& left : this->domains) {
    std::vector<Duration> row;
    for (const std::string& right : this->domains) {
      row.push_back(this->links.Between(left, right));
    }
    this->delays.push_back(std::move(row));
  }
}

void PlanIndex::AddToGroups(const Endpoint& endpoint) {
  const double micros =
      std::max(1.0, static_cast<double>(endpoint.view.layer_time.count()));
  for (const PinnedModel& model : PinnedModels(endpoint.view)) {
    Group& group =
        this->by_model[model][{endpoint.view.layers, endpoint.domain}];
    const double sum = group.speed_sums.empty() ? 0 : group.speed_sums.back();
    group.members.push_back(&endpoint);
    group.speed_sums.push_back(sum + kMicrosPerSecond / micros);
  }
}

void PlanIndex::RemoveFromGroups(const Endpoint& endpoint) {
  for (const PinnedModel& model : PinnedModels(endpoint.view)) {
    const auto groups = this->by_model.find(model);
    if (groups == this->by_model.end()) continue;
    const auto found =
        groups->second.find({endpoint.view.layers, endpoint.domain});
    if (found == groups->second.end()) continue;
    Group& group = found->second;
    const auto member =
        std::find(group.members.begin(), group.members.end(), &endpoint);
    if (member == group.members.end()) continue;
    const auto index = member - group.members.begin();
    const double previous_sum = index == 0 ? 0 : group.speed_sums[index - 1];
    const double speed = group.speed_sums[index] - previous_sum;
    group.members.erase(member);
    group.speed_sums.erase(group.speed_sums.begin() + index);
    for (auto sum = group.speed_sums.begin() + index;
         sum != group.speed_sums.end(); ++sum) {
      *sum -= speed;
    }
    if (group.members.empty()) groups->second.erase(found);
    if (groups->second.empty()) this->by_model.erase(groups);
  }
}

const PlanIndex::Endpoint* PlanIndex::Group::DrawBySpeed(Random& random) const {
  const double point = random.Unit() * this->speed_sums.back();
  const auto found =
      std::upper_bound(this->speed_sums.begin(), this->speed_sums.end(), point);
  const auto index = std::min<std::ptrdiff_t>(
      found - this->speed_sums.begin(),
      static_cast<std::ptrdiff_t>(this->members.size()) - 1);
  return this->members[index];
}

Duration PlanIndex::Cost(const Candidate& candidate, const PlanQuery& query) {
  const Duration compute = ComputePerToken(candidate.endpoint->view);
  const Duration prompt =
      compute * query.prompt_tokens / kPromptTokensPerDecode;
  const Duration penalty = 2 * candidate.endpoint->penalty;
  return candidate.wait + prompt + (compute + penalty) * query.output_tokens;
}

Duration PlanIndex::LinkDelay(std::size_t from_domain,
                              const Candidate& to) const {
  return this->delays[from_domain][to.endpoint->domain];
}

// Dynamic programming over layer boundaries. The candidates are ordered by
// first layer, and each ends at a later boundary, so in one pass the cost of a
// boundary is final before it is extended. The work grows with the number of
// groups times failure domains, not with the number of endpoints.
Result<Plan> PlanIndex::ShortestCover(
    const PlanQuery& query, const std::vector<Candidate>& candidates) const {
  assert(query.layers > 0 && "a model has at least one layer");
  const std::size_t domain_count = this->domains.size();
  std::vector<PartialCover> covers((query.layers + 1) * domain_count);
  covers[0].cost = Duration(0);  // No layers covered; starts at the router.
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    const LayerRange layers = candidate.endpoint->view.layers;
    if (layers.end > query.layers) continue;
    const Duration cost = Cost(candidate, query);
    const int crossings = layers.begin == 0 ? 1 : 2;
    PartialCover& to =
        covers[layers.end * domain_count + candidate.endpoint->domain];
    for (std::size_t from = 0; from < domain_count; ++from) {
      const PartialCover& before = covers[layers.begin * domain_count + from];
      if (before.cost == kUnreached) continue;
      const Duration link =
          this->LinkDelay(from, candidate) * crossings * query.output_tokens;
      const Duration total = before.cost + cost + link;
      if (total < to.cost) to = PartialCover{total, index, from};
    }
  }
  const auto last_row =
      covers.end() - static_cast<std::ptrdiff_t>(domain_count);
  const auto best =
      std::min_element(last_row, covers.end(),
                       [](const PartialCover& left, const PartialCover& right) {
                         return left.cost < right.cost;
                       });
  if (best->cost == kUnreached) return Error::kNoCover;
  std::vector<Candidate> stages;
  const PartialCover* cover = &*best;
  while (true) {
    const Candidate& candidate = candidates[cover->candidate];
    stages.push_back(candidate);
    const std::uint32_t begin = candidate.endpoint->view.layers.begin;
    if (begin == 0) break;
    cover = &covers[begin * domain_count + cover->previous_domain];
  }
  std::reverse(stages.begin(), stages.end());
  return this->MakePlan(query, stages);
}

Plan PlanIndex::MakePlan(const PlanQuery& query,
                         const std::vector<Candidate>& stages) const {
  Plan plan{query.model, {}, {}};
  std::size_t domain = 0;
  int crossings = 1;
  for (const Candidate& candidate : stages) {
    const EndpointView& view = candidate.endpoint->view;
    plan.stages.push_back({view.id, view.address, view.layers});
    plan.times.wait += candidate.wait;
    plan.times.token_gap += ComputePerToken(view) +
                            2 * candidate.endpoint->penalty +
                            this->LinkDelay(domain, candidate) * crossings;
    plan.times.prompt_token += ComputePerToken(view) / kPromptTokensPerDecode;
    domain = candidate.endpoint->domain;
    crossings = 2;
  }
  return plan;
}

std::vector<LayerRange> PlanIndex::MissingLayers(const PlanQuery& query) const {
  std::vector<LayerRange> missing;
  std::uint32_t next = 0;
  const auto groups = this->by_model.find(query.model);
  if (groups == this->by_model.end()) return {LayerRange{0, query.layers}};
  for (const auto& [key, group] : groups->second) {
    const auto usable = [&query](const Endpoint* endpoint) {
      return !query.excluded.contains(endpoint->view.id);
    };
    if (std::none_of(group.members.begin(), group.members.end(), usable)) {
      continue;
    }
    const LayerRange layers = std::get<LayerRange>(key);
    if (layers.begin > next) missing.push_back({next, layers.begin});
    next = std::max(next, layers.end);
  }
  if (next < query.layers) missing.push_back({next, query.layers});
  return missing;
}

}  // namespace toucanwharf::pipeline
