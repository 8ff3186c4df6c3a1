#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "proxied_request.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// Retry-After of refusals. Capacity is freed as soon as one of the answers in
/// flight ends, many times a second; a lost layer is loaded again in one to two
/// seconds.
constexpr Duration kRetryForCapacity = std::chrono::milliseconds(400);
constexpr Duration kRetryForLayers = std::chrono::milliseconds(1500);
/// The same while no endpoint can be reached: paths are checked several times a
/// second.
constexpr Duration kRetryForPath = std::chrono::milliseconds(800);
constexpr double kMicrosPerMilli = 1000;

}  // namespace

http::ResponseHead ProxiedRequest::UnframedHead() const {
  http::ResponseHead out = this->ToRelay(this->head);
  out.ends_with_connection = true;
  return out;
}

void ProxiedRequest::FinishPlain(bool proven) {
  if (this->head.ends_with_connection) {
    this->BeginAnswer(this->UnframedHead());
    this->exchange->Write(this->body);
    this->exchange->End();
  } else {
    http::ResponseHead out = this->ToRelay(this->head);
    out.length = this->body.size();
    this->trace.OnRelayedHead(out);
    this->exchange->Respond(out, this->body);
  }
  this->trace.OnRelayed(this->body.size());
  const bool success = IsSuccess(this->head.status);
  if (success) {
    if (proven) this->OnRunProven("answered");
    this->gateway.counters.plain_latency.Add(this->gateway.loop.Now() -
                                             this->admitted.arrived);
  }
  ++(success ? this->gateway.counters.answered : this->gateway.counters.failed);
  this->Finish(success ? "answered" : "failure_relayed", this->head.status);
}

void ProxiedRequest::OnDeadline() {
  if (this->finished) return;
  if (this->end_is_asked) {
    // What is ready is delivered.
    this->Complete(false);
    return;
  }
  ++this->gateway.counters.timed_out;
  if (this->attempt_counts.answer_started) {
    this->exchange->Abort();
    this->Finish("deadline_in_answer", 0);
    return;
  }
  this->Fail(http::kGatewayTimeout, "deadline");
}

void ProxiedRequest::OnCallerDisconnected() {
  if (this->finished) return;
  ++this->gateway.counters.caller_disconnected;
  if (this->admitted.route->kind == routes::RequestKind::kNonIdempotent &&
      this->call != 0) {
    // Work that must not run twice continues once it was sent: its progress is
    // unknown, and cancelling would interrupt the endpoint in the middle of it.
    this->abandoned = true;
    this->DropHeldBack();
    // A caller that doesn't read holds up nothing any more.
    if (std::exchange(this->held, false)) {
      this->gateway.loop.Cancel(this->reading_timer);
      this->gateway.client.SetReading(this->call, true);
    }
    return;
  }
  this->Finish("left_by_caller", 0);
}

void ProxiedRequest::Refuse(std::string_view reason) {
  if (this->attempt_counts.answer_started) {
    ++this->gateway.counters.aborted;
    this->exchange->Abort();
    this->Finish("broken_off", 0);
    return;
  }
  if (this->attempt_counts.may_have_run >
      this->attempt_counts.may_have_run_elsewhere) {
    this->Fail(http::kBadGateway, reason);
    return;
  }
  // Other instances have not refused it.
  const RetryTime retry =
      reason == kStopping ? RetryTime() : this->RetryAfter();
  this->gateway.Refuse(
      *this->exchange, http::kUnavailable, retry, reason,
      Fields()
          .Count("endpoints", this->candidates.ready)
          .Count("endpoints_suspected", this->candidates.suspected)
          .Count("rank", this->claim.rank)
          .Count("returned", this->claim.returned ? 1 : 0)
          .Millis("waited_ms", this->waited),
      this->reached_endpoint);
  this->Finish("refused", http::kUnavailable);
}

RetryTime ProxiedRequest::RetryAfter() {
  if (this->peer_retry_after) return *this->peer_retry_after;
  if (this->gateway.state.paths.IsIsolated()) return {kRetryForPath};
  if (const auto scheduled = this->ScheduledReturn()) return {*scheduled, true};
  const Duration wait =
      this->no_path_reason == placement::NoPathReason::kMissingLayers
          ? kRetryForLayers
          : kRetryForCapacity;
  return {this->IsLimited() ? std::max(wait, *this->limit_wait) : wait};
}

std::optional<Duration> ProxiedRequest::ScheduledReturn() {
  const bool lacks_capacity =
      this->IsModel() && !this->IsLimited() &&
      this->no_path_reason == placement::NoPathReason::kNoCapacity;
  if (!lacks_capacity || !this->gateway.settings.mechanisms.return_schedule) {
    return std::nullopt;
  }
  return this->gateway.ScheduleReturn(
      this->admitted.service->name, this->claim,
      this->admitted.deadline - this->gateway.loop.Now());
}

void ProxiedRequest::Fail(int status, std::string_view reason) {
  http::ResponseHead out;
  out.status = status;
  out.headers.Add("Content-Type", "text/plain");
  this->exchange->Respond(
      out, absl::StrCat("the request may have run: ",
                        absl::string_view(reason.data(), reason.size()), "\n"));
  ++this->gateway.counters.failed;
  this->Log(Level::kNotable, "failed",
            Fields().Text("why", reason).Count("status", status));
  this->Finish("failed", status);
}

void ProxiedRequest::Finish(std::string_view outcome, int status) {
  if (std::exchange(this->finished, true)) return;
  // Requests whose caller left, or whose time was over, have waited longest.
  this->RecordWait();
  this->GiveUpCall();
  this->ReleaseLoad();
  this->gateway.loop.Cancel(this->deadline_timer);
  this->gateway.loop.Cancel(this->stall_timer);
  this->exchange->OnDisconnect(nullptr);
  const bool answered = outcome == "answered";
  if (answered) {
    this->gateway.answer_times.Record(
        this->admitted.route->name,
        this->gateway.loop.Now() - this->admitted.arrived);
  }
  if (answered && this->IsModel()) {
    this->gateway.OnAnswerEnded(this->admitted.service->name);
  }
  const Level level = answered ? Level::kRoutine : Level::kNotable;
  this->Log(
      level, "finished",
      Fields()
          .Text("outcome", outcome)
          .Count("status", status)
          .Count("tries", this->attempt_counts.total)
          .Text("endpoint", this->target.endpoint)
          .Count("stages",
                 static_cast<std::int64_t>(this->target.stages.size()))
          .Count("pieces", this->chunks_written)
          .Millis("first_event_ms", this->first_event_after)
          .Millis("longest_pause_ms", this->detector.LongestPause())
          .Count("expected_token_us",
                 static_cast<std::int64_t>(this->target.token_millis *
                                           kMicrosPerMilli))
          .Count("rank", this->claim.rank)
          .Text("customer", this->claim.customer)
          .Count("tokens", static_cast<std::int64_t>(this->claim.prompt_tokens +
                                                     this->claim.output_tokens))
          .Millis("waited_ms", this->waited)
          .Millis("took_ms", this->gateway.loop.Now() - this->admitted.arrived)
          .Append(this->trace.OfAttempt())
          .Append(this->trace.OfAnswer()));
}

void ProxiedRequest::EndByStop() {
  if (this->finished) return;
  if (this->end_is_asked) {
    // What is ready is delivered.
    this->Complete(false);
    return;
  }
  this->LogCut();
  this->Refuse(kStopping);
}

void ProxiedRequest::LogCut() const {
  const TimePoint now = this->gateway.loop.Now();
  const TimePoint stopping = this->gateway.state.stopping_since.value_or(now);
  Fields fields;
  fields.Text("endpoint", this->target.endpoint)
      .Count("sent", this->call != 0 ? 1 : 0)
      .Count("idempotent", this->admitted.route->Repeatable() ? 1 : 0)
      .Count("after_stop", this->admitted.arrived >= stopping ? 1 : 0)
      .Millis("age_ms", now - this->admitted.arrived)
      .Append(this->trace.OfAnswer());
  this->Log(Level::kNotable, "cut_by_stop", fields);
}

void ProxiedRequest::CancelCall() {
  const http::CallId open = std::exchange(this->call, 0);
  if (open == 0) return;
  if (!this->has_head) this->RecordUnread();
  this->gateway.client.Cancel(open);
}

void ProxiedRequest::RecordUnread() {
  this->unread_attempts.push_back(
      {this->target.endpoint, this->attempt_started});
  if (!this->extra) return;
  this->gateway.unread.Add(this->target.endpoint, this->attempt_started,
                           std::exchange(this->extra, nullptr));
}

void ProxiedRequest::OnRequestRead() {
  this->gateway.OnExtraRead(std::exchange(this->extra, nullptr));
}

void ProxiedRequest::ReleaseLoad() {
  for (const auto& load : this->counted_loads) {
    this->gateway.state.loads.RemoveInFlight(load);
  }
  this->counted_loads.clear();
}

void ProxiedRequest::Log(Level level, std::string_view event,
                         const Fields& more) const {
  Fields fields;
  fields.Text("request", this->request_id)
      .Text("route", this->admitted.route->name);
  fields.Append(more);
  this->gateway.logger.Write(level, event, fields, this->gateway.loop.Now());
}

}  // namespace toucanwharf::instance
