#include "toucanwharf/daemon/answer_admission.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <vector>

namespace toucanwharf::daemon {
namespace {

using Stages = std::vector<routing::Endpoint>;

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

/// Added to the wait at an engine without room when an answer under way needs
/// a new stage: more than the wait for a slot is in most cases, so that a free
/// engine is taken first.
constexpr Duration kFullPenalty = std::chrono::seconds(1);

/// Until engines report how fast they prefill: what admission's cost of a
/// prompt token says.
constexpr double kPromptTokensPerOutputToken = 1 / admission::kPromptTokenCost;

routing::EndpointSpec SpecOf(const pipeline::EndpointView& view,
                             std::uint32_t slots) {
  const std::int64_t layers = view.layers.end - view.layers.begin;
  routing::EndpointSpec spec;
  spec.slots = slots;
  spec.token_gap = std::max(view.layer_time * layers, Duration(1));
  const double gap = std::chrono::duration<double>(spec.token_gap).count();
  spec.prefill_tokens_per_second = kPromptTokensPerOutputToken / gap;
  return spec;
}

Stages StagesOf(routing::EndpointNames& names, const pipeline::Plan& plan) {
  Stages stages;
  for (const pipeline::Stage& stage : plan.stages) {
    stages.push_back(names.NumberOf(stage.endpoint));
  }
  return stages;
}

/// Score for the planner: the wait at an endpoint, corrected by this router's
/// own work; nothing for one that must not get work.
struct CorrectedWait {
  const admission::AdmissionController* gate = nullptr;
  routing::EndpointNames* names = nullptr;
  TimePoint now;
  routing::Work work;
  /// Whether only endpoints with room count.
  bool room_only = true;

  std::optional<Duration> operator()(const pipeline::EndpointView& view) const {
    const routing::Endpoint endpoint = this->names->NumberOf(view.id);
    if (!this->gate->Ejections().Usable(this->now, endpoint)) {
      return std::nullopt;
    }
    const Duration wait =
        this->gate->Loads().ExpectedWait(endpoint, this->work);
    if (this->gate->HasRoom(endpoint)) return wait;
    if (this->room_only) return std::nullopt;
    return wait + kFullPenalty;
  }
};

pipeline::PlanQuery QueryOf(const pipeline::AnswerRequest& request) {
  pipeline::PlanQuery query;
  query.model = request.model;
  query.layers = request.layers;
  query.prompt_tokens = request.prompt_tokens;
  query.output_tokens = request.max_tokens;
  return query;
}

}  // namespace

AnswerAdmission::AnswerAdmission(transport::EventLoop& loop,
                                 Directory& directory, Metrics& metrics,
                                 std::uint64_t seed)
    : loop(loop),
      directory(directory),
      metrics(metrics),
      seed(seed),
      random(seed) {}

void AnswerAdmission::Start() {
  EngineObservers watchers;
  watchers.on_status = [this](const pipeline::EndpointView& view,
                              std::uint32_t slots) {
    this->TakeStatus(view, slots);
  };
  watchers.on_load = [this](const std::string& id, const EngineLoad& load) {
    this->TakeLoad(id, load);
  };
  watchers.on_gone = [this](const std::string& id) { this->TakeGone(id); };
  this->directory.SetObservers(std::move(watchers));
  this->Tick();
}

void AnswerAdmission::Offer(const pipeline::AnswerRequest& request,
                            const std::string& customer,
                            AdmissionHandlers handlers) {
  assert(!this->offers.contains(request.id) && "ids are unique");
  const PoolKey key{request.model.model, request.model.version};
  admission::Request offered;
  offered.id = request.id;
  offered.customer = customer;
  offered.size.prompt_tokens = request.prompt_tokens;
  offered.size.max_tokens = request.max_tokens;
  offered.deadline = request.deadline;
  Held held;
  held.pool = key;
  held.request = request;
  held.customer = customer;
  held.handlers = std::move(handlers);
  this->offers.emplace(request.id, std::move(held));
  const auto answer = this->PoolOf(key).gate.Offer(this->loop.Now(), offered);
  if (const auto* refusal = std::get_if<admission::Refusal>(&answer)) {
    this->Refuse(*refusal);
    return;
  }
  this->Pump(key);
}

Result<pipeline::Plan> AnswerAdmission::Replan(
    const pipeline::PlanQuery& query) {
  Pool& pool = this->PoolOf({query.model.model, query.model.version});
  CorrectedWait score;
  score.gate = &pool.gate;
  score.names = &pool.gate.Names();
  score.now = this->loop.Now();
  score.room_only = false;
  auto plan = this->directory.Engines().Choose(query, this->random, score);
  if (plan) return plan;
  // Ejection only prefers: where what is left makes no cover, an ejected
  // engine is tried before the answer is given up.
  return this->directory.Engines().Choose(query, this->random);
}

void AnswerAdmission::RecordPlan(const std::string& id,
                                 const pipeline::Plan& plan) {
  const auto held = this->offers.find(id);
  if (held == this->offers.end() || held->second.waiting) return;
  if (held->second.plan == plan) return;
  held->second.plan = plan;
  admission::AdmissionController& gate = this->PoolOf(held->second.pool).gate;
  gate.Rerouted(this->loop.Now(), id, StagesOf(gate.Names(), plan));
}

void AnswerAdmission::RecordEndpointRefusal(const std::string& id,
                                            const std::string& endpoint) {
  const auto held = this->offers.find(id);
  if (held == this->offers.end()) return;
  admission::AdmissionController& gate = this->PoolOf(held->second.pool).gate;
  gate.EndpointFull(gate.Names().NumberOf(endpoint));
}

void AnswerAdmission::RecordEndpointFailure(const std::string& id,
                                            const std::string& endpoint) {
  const auto held = this->offers.find(id);
  if (held == this->offers.end()) return;
  admission::AdmissionController& gate = this->PoolOf(held->second.pool).gate;
  const bool ejected =
      gate.Failed(this->loop.Now(), gate.Names().NumberOf(endpoint));
  if (ejected) this->metrics.Count("toucanwharf_ejections_total");
}

void AnswerAdmission::RecordEnd(const std::string& id, bool whole,
                                std::uint32_t tokens) {
  const auto held = this->offers.find(id);
  if (held == this->offers.end()) return;
  const PoolKey key = held->second.pool;
  this->offers.erase(held);
  this->PoolOf(key).gate.Finished(
      this->loop.Now(), id,
      whole ? admission::Outcome::kWhole : admission::Outcome::kFailed, tokens);
  this->Pump(key);
}

bool AnswerAdmission::Cancel(const std::string& id) {
  const auto held = this->offers.find(id);
  if (held == this->offers.end() || !held->second.waiting) return false;
  this->PoolOf(held->second.pool).gate.Cancel(this->loop.Now(), id);
  this->offers.erase(held);
  return true;
}

double AnswerAdmission::TrafficShareOf(const std::string& customer) {
  double own = 0;
  double all = 0;
  for (auto& [key, pool] : this->pools) {
    for (const auto& [name, tokens] :
         pool.gate.CustomerShares().Served().served) {
      all += tokens;
      if (name == customer) own += tokens;
    }
  }
  return all > 0 ? own / all : 0;
}

AnswerAdmission::Pool& AnswerAdmission::PoolOf(const PoolKey& key) {
  const auto found = this->pools.find(key);
  if (found != this->pools.end()) return found->second;
  const std::uint64_t pool_seed = this->seed + this->pools.size() + 1;
  return this->pools.try_emplace(key, pool_seed).first->second;
}

AnswerAdmission::Pool* AnswerAdmission::PoolWith(const std::string& endpoint) {
  const auto key = this->pool_of_engine.find(endpoint);
  if (key == this->pool_of_engine.end()) return nullptr;
  return &this->PoolOf(key->second);
}

void AnswerAdmission::TakeStatus(const pipeline::EndpointView& view,
                                 std::uint32_t slots) {
  const PoolKey key{view.model, view.version};
  const auto before = this->pool_of_engine.find(view.id);
  const bool moved =
      before != this->pool_of_engine.end() && before->second != key;
  if (moved || view.state != pipeline::EndpointState::kLive) {
    this->TakeGone(view.id);
  }
  if (view.state != pipeline::EndpointState::kLive) return;
  // An engine that came to this version by an order has cold caches; one that
  // was there when the router found it has not.
  this->pool_of_engine[view.id] = key;
  this->PoolOf(key).gate.AddEndpoint(this->loop.Now(), view.id,
                                     SpecOf(view, slots), moved);
  this->Pump(key);
}

void AnswerAdmission::TakeLoad(const std::string& id, const EngineLoad& load) {
  Pool* pool = this->PoolWith(id);
  if (pool == nullptr) return;
  routing::LoadReport report;
  report.running = load.running;
  report.queued_tokens = load.queued_tokens;
  report.kv_tokens_free = load.kv_tokens_free;
  report.as_of = this->loop.Now() - load.age;
  pool->gate.Report(id, report);
  this->Pump(this->pool_of_engine.at(id));
}

void AnswerAdmission::TakeGone(const std::string& id) {
  Pool* pool = this->PoolWith(id);
  if (pool == nullptr) return;
  pool->gate.RemoveEndpoint(id);
  this->pool_of_engine.erase(id);
}

void AnswerAdmission::Pump(const PoolKey& key) {
  admission::AdmissionController& gate = this->PoolOf(key).gate;
  std::optional<pipeline::Plan> plan;
  const auto planner = [&](const admission::Request& wanted,
                           const routing::Work& work) -> std::optional<Stages> {
    CorrectedWait score{&gate, &gate.Names(), this->loop.Now(), work, true};
    const auto chosen = this->directory.Engines().Choose(
        QueryOf(this->offers.at(wanted.id).request), this->random, score);
    if (!chosen) return std::nullopt;
    plan = chosen.value();
    return StagesOf(gate.Names(), *plan);
  };
  while (const auto next = gate.Next(this->loop.Now(), planner)) {
    Held& held = this->offers.at(next->id);
    held.waiting = false;
    held.plan = plan;
    // The handler may end the answer at once and come back here.
    const auto on_plan = held.handlers.on_plan;
    on_plan(*plan);
  }
}

void AnswerAdmission::Tick() {
  std::uint32_t routers = 0;
  for (const Instance& instance :
       this->directory.InstancesWithRole(Role::kRouter)) {
    if (!instance.leaving) ++routers;
  }
  for (auto& [key, pool] : this->pools) {
    pool.gate.SetRouters(std::max(routers, 1U));
    for (const admission::Refusal& late : pool.gate.Tick(this->loop.Now())) {
      this->Refuse(late);
    }
    this->Pump(key);
  }
  this->loop.After(kTickPeriod, [this] { this->Tick(); });
}

void AnswerAdmission::Refuse(const admission::Refusal& refusal) {
  const auto held = this->offers.find(refusal.id);
  const auto on_refuse = held->second.handlers.on_refuse;
  this->offers.erase(held);
  on_refuse(refusal);
}

}  // namespace toucanwharf::daemon
