#include <utility>

#include "proxied_request.h"
#include "toucanwharf/endpoints/unframed_end.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;
using endpoints::UnframedEnd;
using eventlog::Fields;
using eventlog::Level;

/// A plain answer up to this size is relayed only when it is complete, so that
/// another endpoint can replace one that breaks.
constexpr std::size_t kMaxHeldBackBytes = 256UL * 1024;
/// The body of a failure is held, so one without an end must not be held for
/// ever.
constexpr std::size_t kMaxFailureBytes = 256UL * 1024;
/// Bytes that wait for a caller that reads slowly; beyond, the endpoint waits.
constexpr std::size_t kMaxUnsentBytes = 1024UL * 1024;
/// Of an answer whose caller has left, read on so that its run isn't
/// interrupted; a run that has sent this much has shown its end.
constexpr std::uint64_t kMaxAbandonedBytes = 1024UL * 1024;
constexpr Duration kUnsentPollPeriod = std::chrono::milliseconds(20);
/// What an answer may hold of each of these while memory is short.
constexpr std::size_t kMinHeldBytes = 16UL * 1024;

}  // namespace

void ProxiedRequest::OnHead(const http::ResponseHead& answer) {
  if (this->finished || this->call == 0) return;
  this->has_head = true;
  const bool sent_on =
      !this->target.is_peer || !RefusalOf(answer) || ReachedEndpoint(answer);
  if (sent_on) this->OnRequestRead();
  if (this->is_new_connection && !this->target.is_peer) {
    this->gateway.path_monitor.OnAnswered(this->target.endpoint,
                                          this->attempt_started);
  }
  this->last_data = this->gateway.loop.Now();
  this->head_at = this->last_data;
  this->head = answer;
  if (answer.ends_with_connection) {
    this->second_answer.emplace(this->gateway.names.request_id,
                                this->request_id);
  }
  this->CountHeldAnswer();
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
    this->reached_endpoint = true;
    this->head_outcome = AttemptOutcome::kNotRun;
    return;
  }
  if (!IsSuccess(answer.status)) {
    // A caller that has a part of the answer can't be given another status.
    const bool failed = answer.status >= http::kServerError ||
                        this->attempt_counts.answer_started;
    if (failed) this->head_outcome = AttemptOutcome::kFailed;
    return;
  }
  this->head_usable = true;
  if (this->IsStream()) this->BeginStream(answer);
}

void ProxiedRequest::BeginStream(const http::ResponseHead& answer) {
  if (this->attempt_counts.answer_started) return;
  this->attempt_counts.answer_started = true;
  this->last_relayed = this->last_data;
  this->BeginAnswer(this->ToRelay(answer));
}

void ProxiedRequest::BeginAnswer(const http::ResponseHead& out) {
  this->trace.OnRelayedHead(out);
  this->exchange->Begin(out);
}

void ProxiedRequest::OnPlainData(std::string_view bytes) {
  if (this->attempt_counts.answer_started) {
    this->last_relayed = this->last_data;
    this->Relay(bytes);
    return;
  }
  this->HoldBack(bytes);
  const std::size_t most =
      this->gateway.buffers.Allowance(kMaxHeldBackBytes, kMinHeldBytes);
  // One that has ended is passed on whole.
  if (this->body.size() <= most || this->call == 0) return;
  if (!this->AwaitsStart()) this->PassOnHeldBack();
}

void ProxiedRequest::PassOnHeldBack() {
  this->in_chunks = !this->head.length.has_value() && this->end_provable;
  const bool unframed = this->head.ends_with_connection && !this->in_chunks;
  http::ResponseHead out =
      unframed ? this->UnframedHead() : this->ToRelay(this->head);
  out.length = this->head.length;
  this->attempt_counts.answer_started = true;
  this->BeginAnswer(out);
  this->last_relayed = this->last_data;
  this->Relay(this->body);
  this->DropHeldBack();
}

bool ProxiedRequest::AwaitsStart() {
  const bool asked = std::exchange(this->start_is_asked, true);
  if (asked || !this->head.ends_with_connection || !this->MayAskAfterEnd()) {
    return this->start_is_awaited;
  }
  this->start_is_awaited = true;
  this->held = true;
  this->gateway.client.SetReading(this->call, false);
  this->gateway.probe.Check(
      this->target.address, this->attempt_started,
      this->gateway.ConcurrentProbers(),
      [self = this->shared_from_this(), of = this->call](const auto& answer) {
        if (!self->finished && self->call == of) self->OnStartKnown(answer);
      });
  return true;
}

void ProxiedRequest::OnStartKnown(const ProbeAnswer& answer) {
  this->start_is_awaited = false;
  this->end_provable = this->MeaningOf(answer) == UnframedEnd::kWhole;
  this->held = false;
  this->last_data = this->gateway.loop.Now();
  this->PassOnHeldBack();
  if (!this->held) this->gateway.client.SetReading(this->call, true);
}

void ProxiedRequest::HoldBack(std::string_view bytes) {
  this->body.append(bytes);
  this->body_lease.Resize(this->body.capacity());
}

void ProxiedRequest::CountHeldAnswer() {
  this->answer_lease.Resize(this->events.HeldBytes() +
                            this->head.headers.HeapBytes());
}

void ProxiedRequest::DropHeldBack() {
  std::string().swap(this->body);
  this->body_lease.Resize(0);
}

void ProxiedRequest::Relay(std::string_view bytes) {
  this->trace.OnRelayed(bytes.size());
  this->exchange->Write(bytes);
  if (this->held || this->exchange->UnsentBytes() <= this->MaxUnsentBytes()) {
    return;
  }
  this->held = true;
  this->gateway.client.SetReading(this->call, false);
  this->ReadOnWhenSent();
}

std::size_t ProxiedRequest::MaxUnsentBytes() const {
  return this->gateway.buffers.Allowance(kMaxUnsentBytes, kMinHeldBytes);
}

void ProxiedRequest::ReadOnWhenSent() {
  this->reading_timer = this->gateway.loop.After(
      kUnsentPollPeriod, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->finished) return;
        if (self->exchange->UnsentBytes() > self->MaxUnsentBytes() / 2) {
          self->ReadOnWhenSent();
          return;
        }
        self->held = false;
        self->last_data = self->gateway.loop.Now();
        self->gateway.client.SetReading(self->call, true);
      });
}

void ProxiedRequest::OnFailureData(std::string_view bytes) {
  const std::size_t most =
      this->gateway.buffers.Allowance(kMaxFailureBytes, kMinHeldBytes);
  if (this->body.size() + bytes.size() <= most) {
    this->HoldBack(bytes);
    return;
  }
  // What it says of a request that it has not run holds all the same.
  const bool not_run = this->head_outcome == AttemptOutcome::kNotRun;
  this->EndAttempt(not_run ? AttemptOutcome::kNotRun : AttemptOutcome::kUnknown,
                   "failure_too_long");
}

void ProxiedRequest::OnData(std::string_view bytes) {
  if (this->finished || this->call == 0) return;
  this->last_data = this->gateway.loop.Now();
  this->trace.OnReceived(bytes.size());
  if (!this->target.is_peer) {
    this->gateway.path_monitor.OnData(this->target.endpoint);
  }
  if (this->abandoned) {
    this->abandoned_bytes += bytes.size();
    if (this->abandoned_bytes > kMaxAbandonedBytes) {
      this->Finish("left_by_caller", 0);
    }
    return;
  }
  if (!this->second_answer) {
    this->OnBody(bytes);
    return;
  }
  const http::CallId of = this->call;
  const std::string own = this->second_answer->Feed(bytes);
  const bool found = this->second_answer->Found();
  if (!own.empty()) this->OnBody(own);
  if (found && !this->finished && this->call == of) this->OnSecondAnswer();
}

void ProxiedRequest::OnSecondAnswer() {
  this->Log(Level::kNotable, "second_answer",
            Fields().Text("endpoint", this->target.endpoint));
  this->gateway.client.Cancel(std::exchange(this->call, 0));
  if (this->head_outcome) {
    this->EndAttempt(*this->head_outcome, "answered_twice");
    return;
  }
  if (this->EndedInsideStream()) return;
  // The endpoint went on to another answer, so this one is at its end.
  this->Complete(false);
}

void ProxiedRequest::OnBody(std::string_view bytes) {
  if (!this->head_usable) {
    // The body of a failure, which is no part of an answer that was begun by an
    // earlier attempt.
    this->OnFailureData(bytes);
    return;
  }
  if (!this->IsStream()) {
    this->OnPlainData(bytes);
    return;
  }
  this->events.Feed(bytes);
  const std::string complete = this->events.TakeCompleteEvents();
  this->CountHeldAnswer();
  if (!complete.empty()) this->RelayEvents(complete);
  if (this->events.Fault() == http::EventFault::kNone) return;
  this->EndAttempt(AttemptOutcome::kUnknown,
                   this->events.Fault() == http::EventFault::kTooLong
                       ? "event_too_long"
                       : "event_out_of_order");
}

void ProxiedRequest::RelayEvents(std::string_view complete) {
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
  this->Relay(complete);
}

void ProxiedRequest::OnDone(const http::CallResult& result) {
  this->call = 0;
  if (this->finished) return;
  this->trace.OnCallEnd(result);
  if (result.end == http::CallEnd::kNotConnected) {
    this->OnNotConnected(result);
    this->EndAttempt(AttemptOutcome::kNotSent, "not_connected");
    return;
  }
  if (result.end != http::CallEnd::kComplete) {
    if (result.sent) this->OnRequestRead();
    const bool by_endpoint = !this->target.is_peer;
    if (by_endpoint && this->is_new_connection && !this->has_head) {
      this->gateway.path_monitor.OnFailure(
          this->target.endpoint, endpoints::ConnectionFailure::kNotConnected,
          "reset");
    }
    // One that answers before it has read the request closes soundly.
    const bool answered_early = result.write_failed && this->has_head;
    if (by_endpoint && result.sent && result.end == http::CallEnd::kBroken &&
        !answered_early) {
      this->OnRunBroken();
    }
    if (answered_early && this->head_outcome == AttemptOutcome::kNotRun) {
      this->EndAttempt(AttemptOutcome::kNotRun, "refused_by_endpoint");
      return;
    }
    this->EndAttempt(
        result.sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent,
        result.end == http::CallEnd::kNoMemory ? "no_memory" : "broken");
    return;
  }
  if (this->target.is_peer) {
    if (const auto refusal = RefusalOf(this->head)) {
      this->OnForwardRefused(*refusal);
      return;
    }
  }
  if (this->second_answer) {
    const std::string rest = this->second_answer->TakeRest();
    if (!rest.empty()) this->OnBody(rest);
    if (this->finished || this->call != 0) return;
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
  if (proven) this->OnRunProven("answered");
  ++this->gateway.counters.answered;
  this->Finish("answered", this->head.status);
}

}  // namespace toucanwharf::instance
