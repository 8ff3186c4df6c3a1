#include "proxied_request.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;
using attempts::NextStep;
using eventlog::Fields;
using eventlog::Level;

/// Pause of an answer that lost its path, after engines that seemed to have
/// capacity refused several times.
constexpr Duration kRefusedPause = std::chrono::milliseconds(200);

constexpr double kPercent = 100;

}  // namespace

bool ProxiedRequest::MayRetry(AttemptOutcome outcome) {
  return attempts::MayRetry(*this->admitted.route, this->attempt_counts,
                            outcome) &&
         this->MayRunAgain();
}

/// Returns where to retry, if that is allowed and an endpoint is available.
std::optional<ProxiedRequest::Target> ProxiedRequest::ChooseForRetry(
    AttemptOutcome outcome) {
  const TimePoint now = this->gateway.loop.Now();
  if (now >= this->admitted.deadline) return std::nullopt;
  if (!this->MayRetry(outcome) || this->TooLateToSend()) return std::nullopt;
  auto next = this->ChooseTarget();
  if (!next) return std::nullopt;
  // An attempt without a connection caused no arrival.
  if (outcome == AttemptOutcome::kNotSent) return next;
  return this->TakeExtra(now) ? next : std::nullopt;
}

bool ProxiedRequest::TakeExtra(TimePoint now) {
  const std::string& service = this->admitted.service->name;
  if (!this->gateway.budget.TakeExtra(service, now)) {
    ++this->gateway.counters.retries_denied;
    return false;
  }
  ++this->gateway.counters.extra_arrivals;
  this->extra = std::make_shared<const attempts::ExtraArrival>(
      attempts::ExtraArrival{service, now});
  // The one that arrives last is the extra arrival.
  for (const UnreadAttempt& attempt : this->unread_attempts) {
    this->gateway.unread.Add(attempt.endpoint, attempt.sent, this->extra);
  }
  return true;
}

/// Returns the share of an engine's capacity in use, as far as is known.
double ProxiedRequest::CapacityUsed(const std::string& id) const {
  const InstanceState& state = this->gateway.state;
  const endpoints::Endpoint* endpoint = state.endpoints.Find(id);
  if (endpoint == nullptr || !this->IsModel()) return 0;
  const placement::EngineModel& model = *this->admitted.service->engine;
  const placement::AcceleratorKind* kind = model.FindKind(endpoint->kind);
  if (kind == nullptr) return 0;
  const placement::Engine engine =
      state.loads.ToEngine(*endpoint, this->gateway.loop.Now());
  const double capacity =
      placement::TokenLayerCapacity(model, *kind, engine.layers.Count());
  return capacity > 0 ? engine.token_layers / capacity : 1;
}

void ProxiedRequest::RecordRefusal(const std::string& endpoint, bool full) {
  if (!this->gateway.settings.mechanisms.refusal_pauses) return;
  const TimePoint now = this->gateway.loop.Now();
  endpoints::LoadTracker& loads = this->gateway.state.loads;
  const bool newly_suspected = !loads.IsSuspected(endpoint, now);
  loads.OnRefusal(endpoint, full, now);
  if (!newly_suspected) return;
  this->gateway.logger.Write(Level::kNotable, "endpoint_suspected",
                             Fields()
                                 .Text("endpoint", endpoint)
                                 .Text("why", full ? "full" : "refused"),
                             now);
}

/// Pauses new work for a plain endpoint at whose address another one answers.
///
/// Failure guarded against: until the list of endpoints is corrected, each
/// request that is sent there takes an extra arrival from the budget, and
/// callers are refused when that is used up.
void ProxiedRequest::RecordMisdirection() {
  if (this->IsModel() || this->head.status != http::kMisdirected) return;
  this->RecordRefusal(this->target.endpoint, false);
}

/// Ends the current attempt and continues as the policy says.
void ProxiedRequest::EndAttempt(AttemptOutcome outcome,
                                std::string_view reason) {
  this->GiveUpCall();
  this->ReleaseLoad();
  const TimePoint now = this->gateway.loop.Now();
  this->excluded.insert(this->target.endpoint);
  Fields fields;
  const bool not_run =
      outcome == AttemptOutcome::kNotSent || outcome == AttemptOutcome::kNotRun;
  if (not_run) --this->attempt_counts.may_have_run;
  if (outcome == AttemptOutcome::kNotRun) {
    this->RecordMisdirection();
    const std::string_view fault =
        this->head.headers.Get(this->gateway.names.at_fault);
    for (const pipeline::Stage& stage : this->target.stages) {
      if (stage.address != fault) continue;
      this->excluded.insert(stage.endpoint);
      this->excluded.erase(this->target.endpoint);
      // The assumed load distinguishes a wrong estimate from a full fleet.
      const double used = this->CapacityUsed(stage.endpoint);
      this->RecordRefusal(stage.endpoint, used > kFullShare);
      fields.Text("fault", stage.endpoint)
          .Count("fault_layers", stage.layers.Count())
          .Count("fault_room_used_percent",
                 static_cast<std::int64_t>(used * kPercent));
    }
  }
  const attempts::BudgetUse use =
      this->gateway.budget.Use(this->admitted.service->name, now);
  fields.Text("endpoint", this->target.endpoint)
      .Text("why", reason)
      .Count("status", this->has_head ? this->head.status : 0)
      .Text("at_fault", this->head.headers.Get(this->gateway.names.at_fault))
      .Millis("took_ms", now - this->attempt_started)
      .Count("retries_left",
             static_cast<std::int64_t>(use.allowed - use.extras))
      .Count("budget_requests", static_cast<std::int64_t>(use.requests))
      .Count("budget_extras", static_cast<std::int64_t>(use.extras))
      .Count("budget_shared_by", static_cast<std::int64_t>(
                                     this->gateway.budget.Sharers().instances));
  fields.Append(this->trace.OfAttempt());
  if (outcome == AttemptOutcome::kUnknown) {
    fields.Text("content", quarantine::ToText(this->Fingerprints().request));
  }
  this->Log(Level::kNotable, "try_ended", fields);
  this->Proceed(outcome, reason);
}

void ProxiedRequest::Proceed(AttemptOutcome outcome, std::string_view reason) {
  if (this->abandoned) {
    this->Finish("left_by_caller", 0);
    return;
  }
  const bool pauses =
      attempts::PausesBeforeRetry(*this->admitted.route, this->attempt_counts);
  if (pauses && this->MayRetry(outcome)) {
    this->AwaitCapacity(kRefusedPause, outcome, reason);
    return;
  }
  this->TakeNextStep(outcome, reason);
}

void ProxiedRequest::TakeNextStep(AttemptOutcome outcome,
                                  std::string_view reason) {
  const auto next = this->ChooseForRetry(outcome);
  switch (attempts::NextStepAfter(*this->admitted.route, this->attempt_counts,
                                  outcome, next.has_value())) {
    case NextStep::kRetry:
      ++(this->attempt_counts.answer_started ? this->gateway.counters.resumed
                                             : this->gateway.counters.retried);
      this->Send(*next);
      return;
    case NextStep::kRefuse:
      this->Refuse(reason);
      return;
    case NextStep::kUnknownOutcome:
      this->Fail(http::kBadGateway, reason);
      return;
    case NextStep::kRelayFailure:
      this->FinishPlain(false);
      return;
    case NextStep::kAbort:
      if (this->MayRetry(outcome)) {
        this->AwaitCapacity(kCapacityPollPeriod, outcome, reason);
        return;
      }
      ++this->gateway.counters.aborted;
      this->exchange->Abort();
      this->Finish("broken_off", 0);
      return;
  }
}

}  // namespace toucanwharf::instance
