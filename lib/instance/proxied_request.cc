#include "proxied_request.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;
using attempts::NextStep;
using eventlog::Fields;
using eventlog::Level;

/// A plain answer up to this size is relayed only when it is complete, so that
/// another endpoint can replace one that breaks.
constexpr std::size_t kMaxHeldBackBytes = 256UL * 1024;
/// A request waits for capacity only until this much of its objective is left:
/// the first event takes about as long after the send.
constexpr Duration kReservedAfterQueue = std::chrono::milliseconds(200);
/// A connection within a region takes a millisecond.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
/// Typical share of the maximum output tokens that an answer has, used if the
/// caller gives no hint.
constexpr double kTypicalOutputShare = 0.6;

/// Pause of an answer that lost its path, after engines that seemed to have
/// capacity refused several times.
constexpr Duration kRefusedPause = std::chrono::milliseconds(200);

double ParseNumber(std::string_view text) {
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::max(value, 0.0);
}

constexpr double kPercent = 100;
}  // namespace

ProxiedRequest::ProxiedRequest(Gateway& owner,
                               std::shared_ptr<http::Exchange> caller,
                               Admitted admitted_request)
    : gateway(owner),
      exchange(std::move(caller)),
      admitted(std::move(admitted_request)),
      detector(this->admitted.route->objective) {
  const http::Headers& headers = this->exchange->Received().headers;
  const HeaderNames& names = this->gateway.names;
  this->request_id = std::string(headers.Get(names.request_id));
  const std::string_view counts = headers.Get(names.token_counts);
  const std::size_t comma = counts.find(',');
  if (comma != std::string_view::npos) {
    this->prompt_tokens = ParseNumber(counts.substr(0, comma));
    const double max_output = ParseNumber(counts.substr(comma + 1));
    const auto hint = headers.Find(names.length_hint);
    this->output_tokens = hint ? std::min(ParseNumber(*hint), max_output)
                               : kTypicalOutputShare * max_output;
  }
  if (this->admitted.forwarded) {
    this->attempt_counts.may_have_run = this->admitted.forwarded->runs;
    this->attempt_counts.may_have_run_elsewhere =
        this->admitted.forwarded->runs;
    this->attempt_counts.total = this->admitted.forwarded->runs;
  }
  this->gateway.active.insert(this);
}

ProxiedRequest::~ProxiedRequest() {
  this->CancelCall();
  this->ReleaseLoad();
  this->gateway.loop.Cancel(this->deadline_timer);
  this->gateway.active.erase(this);
}

void ProxiedRequest::Start() {
  this->exchange->OnDisconnect(
      [self = this->shared_from_this()] { self->OnCallerDisconnected(); });
  const TimePoint now = this->gateway.loop.Now();
  this->deadline_timer = this->gateway.loop.After(
      this->admitted.deadline - now,
      [self = this->shared_from_this()] { self->OnDeadline(); });
  this->CountRequest();
  if (const auto from = this->exchange->Received().headers.Find(
          this->gateway.names.last_event_id)) {
    this->events.SetLastId(std::string(*from));
  }
  this->StartAttempt();
}

bool ProxiedRequest::MayQueue() const {
  if (!this->IsModel() ||
      this->no_path_reason != placement::NoPathReason::kNoCapacity ||
      !this->gateway.settings.mechanisms.capacity_queue) {
    return false;
  }
  const TimePoint until = this->admitted.arrived +
                          this->admitted.route->objective - kReservedAfterQueue;
  // What can't be served in time is refused at once.
  const bool all_wait = this->limit_wait && !this->found_unlimited;
  const Duration needed = all_wait ? *this->limit_wait : Duration(0);
  return this->gateway.loop.Now() + needed < until;
}

bool ProxiedRequest::LeaveQueue() {
  if (this->finished) return true;
  if (this->RefuseQuarantined()) return true;
  const auto chosen = this->ChooseTarget();
  if (chosen) {
    this->Send(*chosen);
    return true;
  }
  if (this->MayQueue()) return false;
  this->Refuse("no_room_in_time");
  return true;
}

void ProxiedRequest::StartAttempt() {
  // Requests for a service are served in order of arrival.
  const std::string& service = this->admitted.service->name;
  const bool must_queue = this->IsModel() &&
                          this->gateway.queue.Waits(service) &&
                          !this->MustForward();
  const auto chosen = must_queue ? std::nullopt : this->ChooseTarget();
  if (must_queue) this->no_path_reason = placement::NoPathReason::kNoCapacity;
  if (!chosen && this->MayQueue()) {
    this->gateway.Enqueue(service, this->shared_from_this());
    return;
  }
  if (!chosen) {
    this->Refuse(this->ReasonWithoutTarget());
    return;
  }
  this->Send(*chosen);
}

std::string_view ProxiedRequest::ReasonWithoutTarget() const {
  if (this->gateway.state.paths.IsIsolated()) return "isolated";
  return this->no_path_reason == placement::NoPathReason::kNoCapacity
             ? "no_room"
             : "no_endpoint";
}

void ProxiedRequest::Send(const Target& to) {
  this->target = to;
  if (const endpoints::Endpoint* known =
          this->gateway.state.endpoints.Find(to.endpoint)) {
    this->target.key = endpoints::EndpointKey(*known);
    this->target.start_time_ms = known->start_time_ms;
  }
  ++this->attempt_counts.total;
  ++this->attempt_counts.may_have_run;
  if (to.is_peer) ++this->gateway.counters.forwarded;
  this->has_head = false;
  this->proven = false;
  this->run_began.reset();
  this->head_usable = false;
  this->head_outcome.reset();
  this->body.clear();
  this->events.DropPartialEvent();
  this->attempt_started = this->gateway.loop.Now();
  this->last_data = this->attempt_started;
  this->detector.Restart();
  this->repeated_probes = 0;
  this->CountLoad();
  this->CountAgainstLimit();
  http::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  if (!this->admitted.route->Repeatable()) options.reuse = http::Reuse::kNever;
  this->is_new_connection = false;
  http::CallHandlers handlers;
  handlers.on_connected = [self = this->shared_from_this()] {
    self->is_new_connection = true;
  };
  handlers.on_head = [self = this->shared_from_this()](const auto& answer) {
    self->OnHead(answer);
  };
  handlers.on_data = [self = this->shared_from_this()](std::string_view bytes) {
    self->OnData(bytes);
  };
  handlers.on_done = [self = this->shared_from_this()](const auto& result) {
    self->OnDone(result);
  };
  this->call = this->gateway.client.Start(to.address, this->BuildRequest(to),
                                          options, std::move(handlers));
  this->Log(to.is_peer ? Level::kNotable : Level::kRoutine,
            to.is_peer ? "forwarded" : "sent",
            Fields()
                .Text("endpoint", to.endpoint)
                .Count("try", this->attempt_counts.total)
                .Count("stages", static_cast<std::int64_t>(to.stages.size())));
  this->WatchStall(this->StallTimeout());
}

void ProxiedRequest::OnHead(const http::ResponseHead& answer) {
  if (this->finished || this->call == 0) return;
  this->has_head = true;
  if (this->is_new_connection && !this->target.is_peer) {
    this->gateway.path_monitor.OnAnswered(this->target.endpoint,
                                          this->attempt_started);
  }
  this->last_data = this->gateway.loop.Now();
  this->head_at = this->last_data;
  this->head = answer;
  this->ClassifyHead(answer);
}

void ProxiedRequest::ClassifyHead(const http::ResponseHead& answer) {
  if (this->target.is_peer) {
    this->ClassifyForwarded(answer);
    return;
  }
  const HeaderNames& names = this->gateway.names;
  const auto id = answer.headers.Find(names.request_id);
  const bool of_another = id && *id != this->request_id;
  const bool without_id = !id && IsSuccess(answer.status);
  if (of_another || without_id) {
    // A late answer to another request arrived in place of this one's.
    this->EndAttempt(AttemptOutcome::kUnknown, "answer_of_another_request");
    return;
  }
  // Another endpoint at the address says nothing about the one expected.
  if (answer.status != http::kMisdirected) {
    this->gateway.state.loads.OnResponse(this->target.endpoint,
                                         this->last_data);
    this->gateway.OnEndpointAnswered(this->target.endpoint,
                                     this->attempt_started);
    this->gateway.OnStatedLimit(this->target.endpoint, this->attempt_started,
                                answer);
    const Gateway::AskedEndpoint to{this->target.endpoint, this->target.key,
                                    this->attempt_started, this->IsModel()};
    this->gateway.OnRequestedPause(to, answer);
    this->gateway.OnLeavingNotice(to, answer);
  }
  const bool not_run = answer.headers.Find(names.not_run).has_value() ||
                       answer.status == http::kMisdirected;
  if (not_run) {
    this->head_outcome = AttemptOutcome::kNotRun;
    return;
  }
  if (!IsSuccess(answer.status)) {
    if (answer.status >= http::kServerError) {
      this->head_outcome = AttemptOutcome::kFailed;
    }
    return;
  }
  this->head_usable = true;
  if (this->IsStream()) this->BeginStream(answer);
}

void ProxiedRequest::BeginStream(const http::ResponseHead& answer) {
  if (this->attempt_counts.answer_started) return;
  this->attempt_counts.answer_started = true;
  this->last_relayed = this->last_data;
  this->exchange->Begin(this->ToRelay(answer));
}

void ProxiedRequest::OnPlainData(std::string_view bytes) {
  this->body.append(bytes);
  const bool begun = this->attempt_counts.answer_started;
  if (!begun && this->body.size() <= kMaxHeldBackBytes) return;
  if (!begun) {
    http::ResponseHead out = this->ToRelay(this->head);
    out.length = this->head.length;
    this->attempt_counts.answer_started = true;
    this->exchange->Begin(out);
  }
  this->last_relayed = this->last_data;
  this->exchange->Write(this->body);
  this->body.clear();
}

void ProxiedRequest::OnData(std::string_view bytes) {
  if (this->finished || this->call == 0) return;
  this->last_data = this->gateway.loop.Now();
  if (!this->target.is_peer) {
    this->gateway.path_monitor.OnData(this->target.endpoint);
  }
  if (!this->head_usable) {
    // The body of a failure, which is no part of an answer that was begun by an
    // earlier attempt.
    this->body.append(bytes);
    return;
  }
  if (!this->IsStream()) {
    this->OnPlainData(bytes);
    return;
  }
  this->events.Feed(bytes);
  const std::string complete = this->events.TakeCompleteEvents();
  if (complete.empty()) return;
  if (!std::exchange(this->has_event, true)) {
    this->first_event_after = this->last_data - this->admitted.arrived;
    this->gateway.counters.first_event_latency.Add(this->first_event_after);
  }
  if (std::exchange(this->repeated_probes, 0) > 0) {
    this->gateway.probe_backoff.OnFalseAlarm(this->last_data);
  }
  this->OnProgress();
  this->refused_reroutes = 0;
  this->detector.OnEvent(this->last_data);
  ++this->chunks_written;
  this->last_relayed = this->last_data;
  this->exchange->Write(complete);
}

void ProxiedRequest::OnDone(const http::CallResult& result) {
  this->call = 0;
  if (this->finished) return;
  if (result.end == http::CallEnd::kNotConnected) {
    this->OnNotConnected(result);
    this->EndAttempt(AttemptOutcome::kNotSent, "not_connected");
    return;
  }
  if (result.end != http::CallEnd::kComplete) {
    const bool by_endpoint = !this->target.is_peer;
    if (by_endpoint && this->is_new_connection && !this->has_head) {
      this->gateway.path_monitor.OnFailure(
          this->target.endpoint, endpoints::ConnectionFailure::kNotConnected,
          "reset");
    }
    if (by_endpoint && result.sent && result.end == http::CallEnd::kBroken) {
      this->OnRunBroken();
    }
    this->EndAttempt(
        result.sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent,
        "broken");
    return;
  }
  if (this->target.is_peer) {
    if (const auto refusal = RefusalOf(this->head)) {
      this->OnForwardRefused(*refusal);
      return;
    }
  }
  if (this->head_outcome) {
    this->EndAttempt(*this->head_outcome,
                     *this->head_outcome == AttemptOutcome::kNotRun
                         ? "refused_by_endpoint"
                         : "failed_at_endpoint");
    return;
  }
  if (result.ended_by_close) {
    this->OnEndedByClose();
    return;
  }
  this->Complete(true);
}

void ProxiedRequest::Complete(bool proven) {
  if (!this->attempt_counts.answer_started) {
    this->FinishPlain(proven);
    return;
  }
  if (this->IsStream() && this->events.HasPartialEvent()) {
    this->EndAttempt(AttemptOutcome::kUnknown, "ended_inside_event");
    return;
  }
  this->exchange->End();
  if (proven) this->OnRunProven();
  ++this->gateway.counters.answered;
  this->Finish("answered", this->head.status);
}

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
  if (!this->MayRetry(outcome)) return std::nullopt;
  auto next = this->ChooseTarget();
  if (!next) return std::nullopt;
  // An attempt without a connection caused no arrival.
  if (outcome == AttemptOutcome::kNotSent) return next;
  const bool granted =
      this->gateway.budget.TakeExtra(this->admitted.service->name, now);
  ++(granted ? this->gateway.counters.extra_arrivals
             : this->gateway.counters.retries_denied);
  return granted ? next : std::nullopt;
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
  this->CancelCall();
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
  fields.Text("endpoint", this->target.endpoint)
      .Text("why", reason)
      .Count("status", this->has_head ? this->head.status : 0)
      .Text("at_fault", this->head.headers.Get(this->gateway.names.at_fault))
      .Millis("took_ms", now - this->attempt_started)
      .Count("retries_left",
             static_cast<std::int64_t>(this->gateway.budget.Remaining(
                 this->admitted.service->name, now)))
      .Count("budget_shared_by", static_cast<std::int64_t>(
                                     this->gateway.budget.Sharers().instances));
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
