#include "toucanwharf/admission/admission_controller.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucanwharf::admission {
namespace {

/// Bounds of Retry-After. Below a second a refused caller is back before the
/// queue has moved; above a minute the estimate is meaningless.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

/// Fraction of the allowed wait up to which a request is admitted. Under
/// lasting overload the queue stays at this bound. With the whole allowed wait
/// every error of the estimate makes requests expire in the queue: 159 in a
/// minute at three times the load, against none at this fraction
/// (admission_controller_test.cc).
constexpr double kAdmitFraction = 0.85;

/// Fraction by which Retry-After is randomly extended, so that callers refused
/// together don't return together.
constexpr double kRetryJitter = 0.5;

Duration Scale(Duration length, double factor) {
  return std::chrono::duration_cast<Duration>(length * factor);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

std::string_view RemedyOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kBacklog:
      return "too much of this customer waits; come back after Retry-After, or "
             "raise the customer's weight or the pipeline's replicas";
    case RefusalReason::kDeadline:
      return "not served in time; come back after Retry-After or allow a later "
             "deadline";
    case RefusalReason::kNoEndpoint:
      return "no endpoint serves this now; come back after Retry-After, and "
             "see "
             "`toucanwharf status` for what is loading or lost";
  }
  return "";
}

AdmissionController::AdmissionController(const AdmissionSettings& settings,
                                         std::uint64_t seed)
    : ejection(settings.ejection),
      choice(settings.draws),
      limiter(settings.limiter),
      queue(settings.queue),
      retries(settings.retries),
      random(seed) {}

routing::Endpoint AdmissionController::AddEndpoint(
    TimePoint now, std::string_view id, const routing::EndpointSpec& spec,
    bool fresh) {
  const routing::Endpoint endpoint = this->names.NumberOf(id);
  this->loads.Add(endpoint, spec);
  this->ejection.Add(now, endpoint, fresh);
  this->limiter.Add(endpoint, spec.slots);
  this->limiter.SetLimitFactor(endpoint, this->ejection.Ramp(now, endpoint));
  this->best_prefill =
      std::max(this->best_prefill, spec.prefill_tokens_per_second);
  if (this->IsMember(endpoint)) return endpoint;
  this->members.push_back(endpoint);
  this->is_member.resize(this->names.size());
  this->is_member[routing::IndexOf(endpoint)] = true;
  this->tokens_per_second +=
      spec.slots / std::chrono::duration<double>(spec.token_gap).count();
  this->queue.Drain().SetInitialRate(this->tokens_per_second /
                                     this->limiter.Routers());
  return endpoint;
}

void AdmissionController::RemoveEndpoint(std::string_view id) {
  const routing::Endpoint endpoint = this->names.NumberOf(id);
  if (std::erase(this->members, endpoint) == 0) return;
  this->is_member[routing::IndexOf(endpoint)] = false;
  this->ejection.Remove(endpoint);
  this->limiter.Remove(endpoint);
  this->prefixes.Forget(endpoint);
}

void AdmissionController::Report(std::string_view id,
                                 const routing::LoadReport& report) {
  const routing::Endpoint endpoint = this->names.NumberOf(id);
  if (!this->IsMember(endpoint)) return;
  this->loads.Report(endpoint, report);
  const routing::LoadReport& last = this->loads.LastReport(endpoint);
  LimitSample sample;
  sample.slots = this->loads.SpecOf(endpoint).slots;
  sample.running = last.running;
  sample.queued = this->loads.QueuedAtReport(endpoint);
  sample.memory_free = last.kv_tokens_free - last.queued_tokens;
  sample.in_flight = this->loads.InFlightAtReport(endpoint);
  sample.in_flight_memory = this->loads.KvInFlightAtReport(endpoint);
  this->limiter.Reported(endpoint, sample);
}

void AdmissionController::CacheChanged(std::string_view id,
                                       const routing::CacheEvent& event) {
  this->prefixes.Apply(this->names.NumberOf(id), event);
}

void AdmissionController::SetRouters(std::uint32_t routers) {
  this->limiter.SetRouters(routers);
}

OfferResult AdmissionController::Offer(TimePoint now, const Request& request) {
  assert(!this->requests.contains(request.id) && "request id is in use");
  const Ticket ticket = this->MakeTicket(now, request);
  const Duration allowed = this->queue.AllowedWait(now, ticket);
  if (this->members.empty()) {
    return Refusal{request.id, RefusalReason::kNoEndpoint,
                   this->RetryAfter(now, request.customer, allowed)};
  }
  const auto wait = this->queue.ExpectedWait(now, ticket.customer, ticket.cost);
  if (wait.value_or(Duration{0}) > Scale(allowed, kAdmitFraction)) {
    return Refusal{request.id, RefusalReason::kBacklog,
                   this->RetryAfter(now, request.customer, allowed)};
  }
  TrackedRequest tracked;
  tracked.request = request;
  tracked.ticket = ticket;
  this->requests.emplace(request.id, std::move(tracked));
  this->queue.Push(now, ticket);
  return Waiting{wait.value_or(Duration{0})};
}

std::optional<Dispatch> AdmissionController::Next(TimePoint now) {
  return this->Next(now,
                    [this](const Request& request, const routing::Work& work)
                        -> std::optional<std::vector<routing::Endpoint>> {
                      const auto chosen =
                          this->choice.Choose(this->limiter.Available(), work,
                                              this->FindCachedPrefix(request),
                                              this->loads, this->random);
                      if (!chosen) return std::nullopt;
                      return std::vector<routing::Endpoint>{*chosen};
                    });
}

void AdmissionController::Progress(const std::string& id, double emitted) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end()) return;
  TrackedRequest& tracked = found->second;
  const double remaining = ExpectedRemaining(
      tracked.work.output_tokens, emitted, tracked.request.size.max_tokens);
  const double cost =
      CostOf(tracked.request.size.prompt_tokens, emitted + remaining);
  if (cost <= tracked.charged_cost) return;
  this->queue.SharesOf().Correct(tracked.ticket.customer,
                                 cost - tracked.charged_cost);
  tracked.charged_cost = cost;
}

bool AdmissionController::Failed(TimePoint now, routing::Endpoint endpoint) {
  if (!this->IsMember(endpoint)) return false;
  const bool ejected = this->ejection.Failed(now, endpoint);
  this->limiter.SetLimitFactor(endpoint, this->ejection.Ramp(now, endpoint));
  return ejected;
}

void AdmissionController::EndpointFull(routing::Endpoint endpoint) {
  if (this->IsMember(endpoint)) this->limiter.Refused(endpoint);
}

void AdmissionController::Rerouted(
    TimePoint now, const std::string& id,
    const std::vector<routing::Endpoint>& endpoints) {
  const auto found = this->requests.find(id);
  assert(found != this->requests.end() && "rerouted request is unknown");
  this->Release(now, found->second, Outcome::kFailed);
  this->Occupy(now, found->second, endpoints);
}

void AdmissionController::Finished(TimePoint now, const std::string& id,
                                   Outcome outcome, double output_tokens) {
  const auto found = this->requests.find(id);
  assert(found != this->requests.end() && "finished request is unknown");
  TrackedRequest& tracked = found->second;
  if (outcome == Outcome::kWhole) this->Observe(now, tracked, output_tokens);
  this->Release(now, tracked, outcome);
  const double cost = CostOf(tracked.request.size.prompt_tokens, output_tokens);
  this->queue.SharesOf().Correct(tracked.ticket.customer,
                                 cost - tracked.charged_cost);
  if (outcome == Outcome::kWhole) {
    this->costs.RecordOutput(tracked.request.customer, output_tokens);
  }
  this->requests.erase(found);
}

bool AdmissionController::Requeue(TimePoint now, const std::string& id,
                                  Outcome outcome, PriorAttempt prior,
                                  bool idempotent) {
  const auto found = this->requests.find(id);
  assert(found != this->requests.end() && "requeued request is unknown");
  if (!this->retries.TakeRetry(now, prior, idempotent)) return false;
  TrackedRequest& tracked = found->second;
  this->Release(now, tracked, outcome);
  this->queue.SharesOf().Correct(tracked.ticket.customer,
                                 -tracked.charged_cost);
  tracked.charged_cost = 0;
  this->queue.Push(now, tracked.ticket);
  return true;
}

bool AdmissionController::Cancel(TimePoint now, const std::string& id) {
  if (!this->queue.Drop(now, id)) return false;
  this->requests.erase(id);
  return true;
}

std::vector<Refusal> AdmissionController::Tick(TimePoint now) {
  for (const routing::Endpoint endpoint : this->members) {
    this->limiter.SetLimitFactor(endpoint, this->ejection.Ramp(now, endpoint));
  }
  this->queue.SharesOf().Tick(now);
  this->UpdatePoolShare();
  std::vector<Refusal> refusals;
  for (const Ticket& ticket : this->queue.TakeExpired(now)) {
    const std::string customer = this->requests.at(ticket.id).request.customer;
    refusals.push_back(Refusal{ticket.id, RefusalReason::kDeadline,
                               this->RetryAfter(now, customer, Duration{0})});
    this->requests.erase(ticket.id);
  }
  return refusals;
}

void AdmissionController::UpdatePoolShare() {
  // Until every other router has reported, its use is missing from the sum:
  // each router would consider itself entitled to all, and together they would
  // send the endpoints several times their capacity.
  const Shares& shares = this->queue.SharesOf();
  if (shares.PeerCount() + 1 < this->limiter.Routers()) return;
  const auto part = shares.PoolShare();
  if (part) this->limiter.SetPoolShare(*part);
}

Duration AdmissionController::RetryAfter(TimePoint now,
                                         std::string_view customer,
                                         Duration allowed) {
  const CustomerNumber number = this->queue.SharesOf().NumberOf(customer);
  const Duration wait =
      this->queue.ExpectedWait(now, number, 0).value_or(Duration{0});
  // The caller returns when half of its allowed wait is queued: as soon as it
  // would just fit, others have taken the capacity.
  const Duration drained = wait - Scale(std::max(allowed, Duration{0}), 0.5);
  const Duration base = std::clamp(drained, kMinRetryAfter, kMaxRetryAfter);
  return Scale(base, 1.0 + kRetryJitter * this->random.Unit());
}

const Ticket* AdmissionController::NextTicket() const {
  if (this->limiter.Available().empty()) return nullptr;
  return this->queue.Front();
}

routing::Work AdmissionController::WorkOf(const Request& request) const {
  routing::Work work;
  work.prompt_tokens = request.size.prompt_tokens;
  work.output_tokens =
      this->costs.ExpectedOutput(request.customer, request.size);
  return work;
}

Ticket AdmissionController::MakeTicket(TimePoint now, const Request& request) {
  Ticket ticket;
  ticket.id = request.id;
  ticket.customer = this->queue.SharesOf().NumberOf(request.customer);
  ticket.cost = this->costs.Cost(request.customer, request.size);
  ticket.arrived = now;
  ticket.deadline = request.deadline;
  if (this->best_prefill > 0) {
    ticket.min_service_time =
        FromSeconds(request.size.prompt_tokens / this->best_prefill);
  }
  return ticket;
}

std::optional<Dispatch> AdmissionController::DispatchRequest(
    TimePoint now, const std::string& id,
    const std::vector<routing::Endpoint>& endpoints,
    const routing::Work& work) {
  TrackedRequest& tracked = this->requests.at(id);
  tracked.work = work;
  tracked.dispatched_at = now;
  tracked.charged_cost = tracked.ticket.cost;
  this->Occupy(now, tracked, endpoints);
  // Only first attempts fill the budget: retries that did would pay for more
  // retries.
  if (!tracked.attempted) this->retries.OnFirstAttempt(now);
  tracked.attempted = true;
  this->queue.Take(now, tracked.ticket.id);
  return Dispatch{tracked.ticket.id, endpoints, work};
}

void AdmissionController::Occupy(
    TimePoint now, TrackedRequest& tracked,
    const std::vector<routing::Endpoint>& endpoints) {
  tracked.endpoints.clear();
  for (const routing::Endpoint endpoint : endpoints) {
    // The planner may return an endpoint that has just left the pool.
    if (!this->IsMember(endpoint)) continue;
    tracked.endpoints.push_back(endpoint);
    this->loads.Started(now, endpoint, tracked.work);
    this->limiter.Started(endpoint, tracked.work.KvTokens());
  }
}

void AdmissionController::Release(TimePoint now, TrackedRequest& tracked,
                                  Outcome outcome) {
  for (const routing::Endpoint endpoint : tracked.endpoints) {
    this->loads.Finished(now, endpoint, tracked.work);
    this->limiter.Finished(endpoint, tracked.work.KvTokens());
    if (outcome == Outcome::kRefused) this->limiter.Refused(endpoint);
    if (outcome == Outcome::kWhole) this->ejection.Succeeded(now, endpoint);
  }
  tracked.endpoints.clear();
}

void AdmissionController::Observe(TimePoint now, const TrackedRequest& tracked,
                                  double output_tokens) {
  routing::Work work = tracked.work;
  work.output_tokens = output_tokens;
  Duration expected{0};
  for (const routing::Endpoint endpoint : tracked.endpoints) {
    expected += this->loads.ServiceTime(endpoint, work);
  }
  if (expected.count() <= 0) return;
  for (const routing::Endpoint endpoint : tracked.endpoints) {
    this->loads.Observed(endpoint, expected, now - tracked.dispatched_at);
  }
}

bool AdmissionController::IsMember(routing::Endpoint endpoint) const {
  const std::size_t index = routing::IndexOf(endpoint);
  return index < this->is_member.size() && this->is_member[index];
}

std::optional<routing::CachedPrefix> AdmissionController::FindCachedPrefix(
    const Request& request) const {
  if (request.prefixes.empty()) return std::nullopt;
  return this->prefixes.Find(
      request.prefixes,
      [this](routing::Endpoint endpoint) { return this->HasRoom(endpoint); });
}

}  // namespace toucanwharf::admission
