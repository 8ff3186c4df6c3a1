#include "toucanwharf/pipeline/planner.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

constexpr double kMicrosPerSecond = 1e6;

// Prompt tokens run side by side in one pass over the weights; how many cost
// as much as one decoded token. It only has to be near: it weighs prompts
// against waits, and deadlines keep a factor above it.
constexpr std::int64_t kPromptTokensPerDecode = 8;

constexpr Duration kUnreached = Duration::max();

/// Cheapest way to cover the layers up to one boundary with the last stage in
/// one failure domain.
struct Step {
  Duration cost = kUnreached;
  /// Index of the last stage's candidate.
  std::size_t candidate = 0;
  /// Failure domain of the stage before it.
  std::size_t domain_before = 0;
};

std::vector<PinnedModel> PinnedModels(const EndpointView& view) {
  std::vector<PinnedModel> models = {{view.model, view.version, ""}};
  for (const std::string& adapter : view.adapters) {
    models.push_back({view.model, view.version, adapter});
  }
  return models;
}

Duration Compute(const EndpointView& view) {
  return view.layer_time * view.layers.Count();
}

}  // namespace

PlanIndex::PlanIndex(const std::string& router_domain, LinkCosts link_costs)
    : links(std::move(link_costs)) {
  this->DomainIndex(router_domain);
}

void PlanIndex::Update(const EndpointView& view) {
  Endpoint& endpoint = this->endpoints[view.id];
  this->Leave(endpoint);
  const auto penalty = this->links.endpoint_penalty.find(view.id);
  const bool penalised = penalty != this->links.endpoint_penalty.end();
  endpoint.view = view;
  endpoint.penalty = penalised ? penalty->second : Duration(0);
  endpoint.domain = this->DomainIndex(view.failure_domain);
  // I5: an endpoint that is leaving would still be reported by the lagging
  // instance list and get new work; it enters no group, so no plan can name it.
  if (view.state == EndpointState::kLive && view.layers.Count() > 0) {
    this->Enter(endpoint);
  }
}

void PlanIndex::Remove(const std::string& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end()) return;
  this->Leave(found->second);
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

void PlanIndex::Enter(const Endpoint& endpoint) {
  const double micros =
      std::max(1.0, static_cast<double>(endpoint.view.layer_time.count()));
  for (const PinnedModel& model : PinnedModels(endpoint.view)) {
    Group& group = this->shards[model][{endpoint.view.layers, endpoint.domain}];
    const double sum = group.speed_sums.empty() ? 0 : group.speed_sums.back();
    group.members.push_back(&endpoint);
    group.speed_sums.push_back(sum + kMicrosPerSecond / micros);
  }
}

void PlanIndex::Leave(const Endpoint& endpoint) {
  for (const PinnedModel& model : PinnedModels(endpoint.view)) {
    const auto shard = this->shards.find(model);
    if (shard == this->shards.end()) continue;
    const auto found =
        shard->second.find({endpoint.view.layers, endpoint.domain});
    if (found == shard->second.end()) continue;
    Group& group = found->second;
    const auto member =
        std::find(group.members.begin(), group.members.end(), &endpoint);
    if (member == group.members.end()) continue;
    const auto at = member - group.members.begin();
    const double before = at == 0 ? 0 : group.speed_sums[at - 1];
    const double speed = group.speed_sums[at] - before;
    group.members.erase(member);
    group.speed_sums.erase(group.speed_sums.begin() + at);
    for (auto sum = group.speed_sums.begin() + at;
         sum != group.speed_sums.end(); ++sum) {
      *sum -= speed;
    }
    if (group.members.empty()) shard->second.erase(found);
    if (shard->second.empty()) this->shards.erase(shard);
  }
}

const PlanIndex::Endpoint* PlanIndex::Group::Draw(Random& random) const {
  const double point = random.Unit() * this->speed_sums.back();
  const auto found =
      std::upper_bound(this->speed_sums.begin(), this->speed_sums.end(), point);
  const auto at = std::min<std::ptrdiff_t>(
      found - this->speed_sums.begin(),
      static_cast<std::ptrdiff_t>(this->members.size()) - 1);
  return this->members[at];
}

Duration PlanIndex::Cost(const Candidate& candidate, const PlanQuery& query) {
  const Duration compute = Compute(candidate.endpoint->view);
  const Duration prompt =
      compute * query.prompt_tokens / kPromptTokensPerDecode;
  const Duration penalty = 2 * candidate.endpoint->penalty;
  return candidate.wait + prompt + (compute + penalty) * query.output_tokens;
}

Duration PlanIndex::Hop(std::size_t left, const Candidate& right) const {
  return this->delays[left][right.endpoint->domain];
}

// Dynamic programming over layer boundaries. The candidates come ordered by
// the first layer, and each leads to a later boundary, so one pass settles
// every boundary before it is left. Work grows with groups times failure
// domains, not with the number of endpoints.
Result<Plan> PlanIndex::ShortestCover(
    const PlanQuery& query, const std::vector<Candidate>& candidates) const {
  assert(query.layers > 0 && "a model has at least one layer");
  const std::size_t width = this->domains.size();
  std::vector<Step> steps((query.layers + 1) * width);
  steps[0].cost = Duration(0);  // No layer run yet, at the router.
  for (std::size_t at = 0; at < candidates.size(); ++at) {
    const Candidate& candidate = candidates[at];
    const LayerRange layers = candidate.endpoint->view.layers;
    if (layers.end > query.layers) continue;
    const Duration cost = Cost(candidate, query);
    const int crossings = layers.begin == 0 ? 1 : 2;
    Step& to = steps[layers.end * width + candidate.endpoint->domain];
    for (std::size_t from = 0; from < width; ++from) {
      const Step& before = steps[layers.begin * width + from];
      if (before.cost == kUnreached) continue;
      const Duration link =
          this->Hop(from, candidate) * crossings * query.output_tokens;
      const Duration total = before.cost + cost + link;
      if (total < to.cost) to = Step{total, at, from};
    }
  }
  const auto last_row = steps.end() - static_cast<std::ptrdiff_t>(width);
  const auto best = std::min_element(last_row, steps.end(),
                                     [](const Step& left, const Step& right) {
                                       return left.cost < right.cost;
                                     });
  if (best->cost == kUnreached) return Error::kNoCover;
  std::vector<Candidate> stages;
  const Step* step = &*best;
  while (true) {
    const Candidate& candidate = candidates[step->candidate];
    stages.push_back(candidate);
    const std::uint32_t begin = candidate.endpoint->view.layers.begin;
    if (begin == 0) break;
    step = &steps[begin * width + step->domain_before];
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
    plan.times.token_gap += Compute(view) + 2 * candidate.endpoint->penalty +
                            this->Hop(domain, candidate) * crossings;
    plan.times.prompt_token += Compute(view) / kPromptTokensPerDecode;
    domain = candidate.endpoint->domain;
    crossings = 2;
  }
  return plan;
}

std::vector<LayerRange> PlanIndex::MissingLayers(const PlanQuery& query) const {
  std::vector<LayerRange> missing;
  std::uint32_t next = 0;
  const auto shard = this->shards.find(query.model);
  if (shard == this->shards.end()) return {LayerRange{0, query.layers}};
  for (const auto& [key, group] : shard->second) {
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
