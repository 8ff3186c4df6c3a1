#include "proxied_request.h"

#include <algorithm>
#include <utility>

#include "toucanwharf/admission/request_size.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// A connection within a region takes a millisecond.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
/// Callers give up a stream without an event after the longest of this time and
/// these multiples of its objectives.
constexpr Duration kMinCallerPatience = std::chrono::seconds(2);
constexpr int kPatienceInObjectives = 4;
constexpr int kPatienceInPauses = 8;

/// Returns how long callers of \p route wait for the first event of a stream.
Duration CallerPatience(const routes::Route& route) {
  return std::max({kMinCallerPatience, kPatienceInObjectives * route.objective,
                   kPatienceInPauses * route.pause_objective});
}

}  // namespace

ProxiedRequest::ProxiedRequest(Gateway& owner,
                               std::shared_ptr<http::Exchange> caller,
                               Admitted admitted_request)
    : gateway(owner),
      exchange(std::move(caller)),
      admitted(std::move(admitted_request)),
      detector(this->admitted.route->objective),
      body_lease(owner.buffers),
      answer_lease(owner.client.LeaseForAnswer()) {
  const http::Headers& headers = this->exchange->Received().headers;
  const HeaderNames& names = this->gateway.names;
  this->request_id = std::string(headers.Get(names.request_id));
  this->claim = this->MakeClaim();
  if (this->admitted.forwarded) {
    this->attempt_counts.may_have_run = this->admitted.forwarded->runs;
    this->attempt_counts.may_have_run_elsewhere =
        this->admitted.forwarded->runs;
    this->attempt_counts.total = this->admitted.forwarded->runs;
    this->counted = this->admitted.forwarded->counted;
  }
  this->gateway.active.insert(this);
}

admission::Claim ProxiedRequest::MakeClaim() {
  const http::Headers& headers = this->exchange->Received().headers;
  const HeaderNames& names = this->gateway.names;
  const routes::Route& route = *this->admitted.route;
  const admission::StatedSize size = admission::ReadStatedSize(
      headers.Get(names.token_counts), headers.Find(names.length_hint));
  if (size.unreadable) this->gateway.OnUnreadableClaim(this->request_id);
  admission::Claim made;
  made.rank =
      admission::EffectiveRank(this->admitted.customer_rank, route.priority);
  made.customer = this->admitted.customer;
  made.prompt_tokens = size.prompt_tokens;
  made.output_tokens = size.output_tokens;
  made.arrived = this->admitted.arrived;
  made.on_time_until =
      this->admitted.arrived - this->admitted.caller_age + route.objective;
  made.useful_until = this->admitted.deadline;
  if (this->IsStream()) {
    made.useful_until = std::min(
        made.useful_until, this->admitted.arrived + CallerPatience(route));
  }
  made.returned = this->admitted.caller_age > Duration(0) ||
                  headers.Find(names.last_event_id).has_value();
  return made;
}

ProxiedRequest::~ProxiedRequest() {
  this->CancelCall();
  this->ReleaseLoad();
  this->gateway.loop.Cancel(this->deadline_timer);
  this->gateway.loop.Cancel(this->reading_timer);
  this->gateway.active.erase(this);
}

void ProxiedRequest::Start() {
  this->exchange->OnDisconnect(
      [self = this->shared_from_this()] { self->OnCallerDisconnected(); });
  const TimePoint now = this->gateway.loop.Now();
  this->deadline_timer = this->gateway.loop.After(
      this->admitted.deadline - now,
      [self = this->shared_from_this()] { self->OnDeadline(); });
  // An isolated instance leaves it to the one that it forwards to.
  if (!this->MustForward()) this->CountRequest();
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
  return !this->LimitsOutlastWait();
}

TimePoint ProxiedRequest::LastQueueTime() const {
  // A second refusal is worth less to a caller than a late answer.
  const TimePoint limit = this->claim.returned ? this->claim.useful_until
                                               : this->claim.on_time_until;
  return limit - admission::ClaimQueueSettings().first_event_reserve;
}

bool ProxiedRequest::LimitsOutlastWait() const {
  const Duration needed = this->IsLimited() ? *this->limit_wait : Duration(0);
  return this->gateway.loop.Now() + needed >= this->LastQueueTime();
}

ProxiedRequest::QueueStep ProxiedRequest::LeaveQueue() {
  if (this->finished) return QueueStep::kEnded;
  if (this->RefuseQuarantined()) return QueueStep::kEnded;
  if (this->TooLateToSend()) {
    this->RecordWait();
    this->Refuse(kStopping);
    return QueueStep::kEnded;
  }
  const auto chosen = this->ChooseTarget();
  if (chosen) {
    this->RecordWait();
    this->Send(*chosen);
    return QueueStep::kSent;
  }
  const bool waits_for_capacity =
      this->no_path_reason == placement::NoPathReason::kNoCapacity &&
      !(this->IsLimited() && this->LimitsOutlastWait());
  if (waits_for_capacity) return QueueStep::kWait;
  this->RefuseQueued();
  return QueueStep::kEnded;
}

void ProxiedRequest::RefuseQueued() {
  if (this->finished) return;
  this->RecordWait();
  const bool no_capacity =
      this->no_path_reason == placement::NoPathReason::kNoCapacity;
  this->Refuse(no_capacity ? "no_room_in_time" : this->ReasonWithoutTarget());
}

void ProxiedRequest::RecordWait() {
  if (!this->queued_at) return;
  const Duration wait = this->gateway.loop.Now() - *this->queued_at;
  this->queued_at.reset();
  this->waited += wait;
  const auto rank = static_cast<std::size_t>(this->claim.rank);
  this->gateway.counters.waits.at(rank).Add(wait);
}

void ProxiedRequest::LogQueued(std::size_t ahead,
                               const std::optional<Duration>& expected) {
  this->queued_at = this->gateway.loop.Now();
  Fields fields;
  fields.Count("rank", this->claim.rank)
      .Count("ahead", static_cast<std::int64_t>(ahead));
  if (expected) fields.Millis("expected_wait_ms", *expected);
  this->Log(Level::kRoutine, "queued", fields);
}

bool ProxiedRequest::TooLateToSend() const {
  const routes::Route& route = *this->admitted.route;
  const bool sent_before = this->attempt_counts.total > 0;
  if (this->attempt_counts.answer_started) return false;
  if (sent_before && route.Repeatable()) return false;
  const TimePoint now = this->gateway.loop.Now();
  return this->gateway.TooLateToTake(route, this->admitted.deadline - now, now);
}

void ProxiedRequest::StartAttempt() {
  // Requests that go before this one are served first.
  const std::string& service = this->admitted.service->name;
  const bool must_queue = this->IsModel() && !this->MustForward() &&
                          this->gateway.HasQueueAhead(service, this->claim);
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
  this->target.participants = this->ParticipantsOf(to);
  if (const endpoints::Endpoint* known =
          this->gateway.state.endpoints.Find(to.endpoint)) {
    this->target.key = endpoints::EndpointKey(*known);
    this->target.start_time_ms = known->start_time_ms;
  }
  ++this->attempt_counts.total;
  ++this->attempt_counts.may_have_run;
  if (to.is_peer) ++this->gateway.counters.forwarded;
  if (!to.is_peer) this->CountRequest();
  this->trace.BeginAttempt();
  this->has_head = false;
  this->held = false;
  this->gateway.loop.Cancel(this->reading_timer);
  this->proven = false;
  this->run_began.reset();
  this->head_usable = false;
  this->head_outcome.reset();
  this->DropHeldBack();
  this->second_answer.reset();
  this->start_is_asked = false;
  this->start_is_awaited = false;
  this->end_provable = false;
  this->end_is_asked = false;
  this->events.BeginRun();
  this->CountHeldAnswer();
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
  handlers.held_bytes = [self = this->shared_from_this()] {
    return self->answer_lease.Amount();
  };
  this->call = this->gateway.client.Start(to.address, this->BuildRequest(to),
                                          options, std::move(handlers));
  // A peer counts what has not been counted.
  this->counted = true;
  this->Log(to.is_peer ? Level::kNotable : Level::kRoutine,
            to.is_peer ? "forwarded" : "sent",
            Fields()
                .Text("endpoint", to.endpoint)
                .Count("try", this->attempt_counts.total)
                .Count("stages", static_cast<std::int64_t>(to.stages.size())));
  this->OnSuspectSent();
  this->WatchStall(this->StallTimeout());
}

}  // namespace toucanwharf::instance
