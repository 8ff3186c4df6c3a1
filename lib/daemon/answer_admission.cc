#include "toucanwharf/daemon/answer_admission.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <vector>

namespace toucanwharf::daemon {
namespace {

using Stages = std::vector<routing::Endpoint>;

constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

/// Added to the expected wait at an engine without free capacity when a running
/// answer needs a new stage. Exceeds the usual wait for a slot, so that an
/// engine with free capacity is preferred.
constexpr Duration kNoCapacityPenalty = std::chrono::seconds(1);

/// Assumed while engines don't report their prefill speed; follows from the
/// cost that admission charges for a prompt token.
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

/// Score for the planner: the expected wait at an endpoint, including work that
/// this router has sent there; nothing for an endpoint that must not be used.
struct CorrectedWait {
  const admission::AdmissionController* controller = nullptr;
  routing::EndpointNames* names = nullptr;
  TimePoint now;
  routing::Work work;
  /// Whether endpoints without free capacity are excluded.
  bool require_capacity = true;

  std::optional<Duration> operator()(const pipeline::EndpointView& view) const {
    const routing::Endpoint endpoint = this->names->NumberOf(view.id);
    if (!this->controller->Ejections().Usable(this->now, endpoint)) {
      return std::nullopt;
    }
    const Duration wait =
        this->controller->Loads().ExpectedWait(endpoint, this->work);
    if (this->controller->HasRoom(endpoint)) return wait;
    if (this->require_capacity) return std::nullopt;
    return wait + kNoCapacityPenalty;
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
  EngineObservers observers;
  observers.on_status = [this](const pipeline::EndpointView& view,
                               std::uint32_t slots) {
    this->ApplyStatus(view, slots);
  };
  observers.on_load = [this](const std::string& id, const EngineLoad& load) {
    this->ApplyLoad(id, load);
  };
  observers.on_removed = [this](const std::string& id) {
    this->RemoveEngine(id);
  };
  this->directory.SetObservers(std::move(observers));
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
  OfferedAnswer answer;
  answer.pool = key;
  answer.request = request;
  answer.customer = customer;
  answer.handlers = std::move(handlers);
  this->offers.emplace(request.id, std::move(answer));
  const auto result =
      this->FindOrCreatePool(key).controller.Offer(this->loop.Now(), offered);
  if (const auto* refusal = std::get_if<admission::Refusal>(&result)) {
    this->Refuse(*refusal);
    return;
  }
  this->AdmitWaiting(key);
}

Result<pipeline::Plan> AnswerAdmission::Replan(
    const pipeline::PlanQuery& query) {
  Pool& pool = this->FindOrCreatePool({query.model.model, query.model.version});
  CorrectedWait score;
  score.controller = &pool.controller;
  score.names = &pool.controller.Names();
  score.now = this->loop.Now();
  score.require_capacity = false;
  auto plan = this->directory.Engines().Choose(query, this->random, score);
  if (plan) return plan;
  // Ejection is only a preference: if the remaining engines make no cover,
  // ejected ones are used before the answer fails.
  return this->directory.Engines().Choose(query, this->random);
}

void AnswerAdmission::RecordPlan(const std::string& id,
                                 const pipeline::Plan& plan) {
  const auto answer = this->offers.find(id);
  if (answer == this->offers.end() || answer->second.waiting) return;
  if (answer->second.plan == plan) return;
  answer->second.plan = plan;
  admission::AdmissionController& controller =
      this->FindOrCreatePool(answer->second.pool).controller;
  controller.Rerouted(this->loop.Now(), id, StagesOf(controller.Names(), plan));
}

void AnswerAdmission::RecordEndpointRefusal(const std::string& id,
                                            const std::string& endpoint) {
  const auto answer = this->offers.find(id);
  if (answer == this->offers.end()) return;
  admission::AdmissionController& controller =
      this->FindOrCreatePool(answer->second.pool).controller;
  controller.EndpointFull(controller.Names().NumberOf(endpoint));
}

void AnswerAdmission::RecordEndpointFailure(const std::string& id,
                                            const std::string& endpoint) {
  const auto answer = this->offers.find(id);
  if (answer == this->offers.end()) return;
  admission::AdmissionController& controller =
      this->FindOrCreatePool(answer->second.pool).controller;
  const bool ejected = controller.Failed(this->loop.Now(),
                                         controller.Names().NumberOf(endpoint));
  if (ejected) this->metrics.Count("toucanwharf_ejections_total");
}

void AnswerAdmission::RecordEnd(const std::string& id, bool complete,
                                std::uint32_t tokens) {
  const auto answer = this->offers.find(id);
  if (answer == this->offers.end()) return;
  const PoolKey key = answer->second.pool;
  this->offers.erase(answer);
  this->FindOrCreatePool(key).controller.Finished(
      this->loop.Now(), id,
      complete ? admission::Outcome::kWhole : admission::Outcome::kFailed,
      tokens);
  this->AdmitWaiting(key);
}

bool AnswerAdmission::Cancel(const std::string& id) {
  const auto answer = this->offers.find(id);
  if (answer == this->offers.end() || !answer->second.waiting) return false;
  this->FindOrCreatePool(answer->second.pool)
      .controller.Cancel(this->loop.Now(), id);
  this->offers.erase(answer);
  return true;
}

double AnswerAdmission::TrafficShareOf(const std::string& customer) {
  double customer_tokens = 0;
  double total_tokens = 0;
  for (auto& [key, pool] : this->pools) {
    for (const auto& [name, tokens] :
         pool.controller.CustomerShares().Served().served) {
      total_tokens += tokens;
      if (name == customer) customer_tokens += tokens;
    }
  }
  return total_tokens > 0 ? customer_tokens / total_tokens : 0;
}

AnswerAdmission::Pool& AnswerAdmission::FindOrCreatePool(const PoolKey& key) {
  const auto found = this->pools.find(key);
  if (found != this->pools.end()) return found->second;
  const std::uint64_t pool_seed = this->seed + this->pools.size() + 1;
  return this->pools.try_emplace(key, pool_seed).first->second;
}

AnswerAdmission::Pool* AnswerAdmission::FindPoolOfEngine(
    const std::string& endpoint) {
  const auto key = this->pool_of_engine.find(endpoint);
  if (key == this->pool_of_engine.end()) return nullptr;
  return &this->FindOrCreatePool(key->second);
}

void AnswerAdmission::ApplyStatus(const pipeline::EndpointView& view,
                                  std::uint32_t slots) {
  const PoolKey key{view.model, view.version};
  const auto before = this->pool_of_engine.find(view.id);
  const bool moved =
      before != this->pool_of_engine.end() && before->second != key;
  if (moved || view.state != pipeline::EndpointState::kLive) {
    this->RemoveEngine(view.id);
  }
  if (view.state != pipeline::EndpointState::kLive) return;
  // An engine that an order moved to this version has cold caches; one that
  // served it when this router first saw it does not.
  this->pool_of_engine[view.id] = key;
  this->FindOrCreatePool(key).controller.AddEndpoint(
      this->loop.Now(), view.id, SpecOf(view, slots), moved);
  this->AdmitWaiting(key);
}

void AnswerAdmission::ApplyLoad(const std::string& id, const EngineLoad& load) {
  Pool* pool = this->FindPoolOfEngine(id);
  if (pool == nullptr) return;
  routing::LoadReport report;
  report.running = load.running;
  report.queued_tokens = load.queued_tokens;
  report.kv_tokens_free = load.kv_tokens_free;
  report.as_of = this->loop.Now() - load.age;
  pool->controller.Report(id, report);
  this->AdmitWaiting(this->pool_of_engine.at(id));
}

void AnswerAdmission::RemoveEngine(const std::string& id) {
  Pool* pool = this->FindPoolOfEngine(id);
  if (pool == nullptr) return;
  pool->controller.RemoveEndpoint(id);
  this->pool_of_engine.erase(id);
}

void AnswerAdmission::AdmitWaiting(const PoolKey& key) {
  admission::AdmissionController& controller =
      this->FindOrCreatePool(key).controller;
  std::optional<pipeline::Plan> plan;
  const auto planner = [&](const admission::Request& request,
                           const routing::Work& work) -> std::optional<Stages> {
    CorrectedWait score{&controller, &controller.Names(), this->loop.Now(),
                        work, true};
    const auto chosen = this->directory.Engines().Choose(
        QueryOf(this->offers.at(request.id).request), this->random, score);
    if (!chosen) return std::nullopt;
    plan = chosen.value();
    return StagesOf(controller.Names(), *plan);
  };
  while (const auto next = controller.Next(this->loop.Now(), planner)) {
    OfferedAnswer& answer = this->offers.at(next->id);
    answer.waiting = false;
    answer.plan = plan;
    // The handler may end the answer immediately and reenter this function.
    const auto on_plan = answer.handlers.on_plan;
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
    pool.controller.SetRouters(std::max(routers, 1U));
    for (const admission::Refusal& expired :
         pool.controller.Tick(this->loop.Now())) {
      this->Refuse(expired);
    }
    this->AdmitWaiting(key);
  }
  this->loop.After(kTickPeriod, [this] { this->Tick(); });
}

void AnswerAdmission::Refuse(const admission::Refusal& refusal) {
  const auto answer = this->offers.find(refusal.id);
  const auto on_refuse = answer->second.handlers.on_refuse;
  this->offers.erase(answer);
  on_refuse(refusal);
}

}  // namespace toucanwharf::daemon
