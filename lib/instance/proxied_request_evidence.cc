#include <utility>

#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "proxied_request.h"
#include "toucanwharf/endpoints/unframed_end.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;
using eventlog::Fields;
using eventlog::Level;

/// An endpoint that a request crashes ends this soon after it began to run the
/// request: answers that have run longer were only there.
constexpr Duration kMaxCrashDelay = std::chrono::milliseconds(500);
/// A run of this length shows that the request crashes no endpoint.
constexpr Duration kProvenAfter = std::chrono::milliseconds(1000);

std::string PartsText(const std::vector<quarantine::Fingerprint>& parts) {
  return absl::StrJoin(
      parts, ",", [](std::string* out, const quarantine::Fingerprint& part) {
        out->append(quarantine::ToText(part));
      });
}

}  // namespace

const quarantine::RequestFingerprints& ProxiedRequest::Fingerprints() {
  if (!this->fingerprints) {
    this->fingerprints = this->gateway.FingerprintsOf(
        this->exchange->Received(), this->admitted.customer);
  }
  return *this->fingerprints;
}

void ProxiedRequest::LogBrokenRun(quarantine::RunStage stage) {
  ++this->gateway.counters.broken_runs;
  if (stage == quarantine::RunStage::kLongBegun ||
      stage == quarantine::RunStage::kProven) {
    ++this->gateway.counters.broken_runs_uncounted;
  }
  Fields fields;
  fields.Text("endpoint", this->target.endpoint)
      .Text("content", quarantine::ToText(this->Fingerprints().request))
      .Text("parts", PartsText(this->Fingerprints().parts))
      .Text("stage", quarantine::ToText(stage))
      .Count("pieces", this->chunks_written);
  if (this->has_head) {
    fields.Millis("ran_ms", this->gateway.loop.Now() - this->head_at);
  }
  this->Log(Level::kNotable, "run_broken", fields);
}

quarantine::RunStage ProxiedRequest::StageOfRun() const {
  using quarantine::RunStage;
  // Of a plain answer only the end is seen.
  if (!this->IsModel()) return RunStage::kBegun;
  if (!this->has_head) return RunStage::kWaiting;
  // The head may come long before the endpoint begins to write.
  if (!this->run_began) return RunStage::kBegun;
  const Duration ran = this->RunLength();
  if (ran <= kMaxCrashDelay) return RunStage::kBegun;
  return ran < kProvenAfter ? RunStage::kLongBegun : RunStage::kProven;
}

Duration ProxiedRequest::RunLength() const {
  // What was silent before it was given up did not run all the while.
  if (this->run_began && !this->held) {
    return this->last_data - *this->run_began;
  }
  const TimePoint sent = this->has_head ? this->head_at : this->attempt_started;
  return this->gateway.loop.Now() - this->run_began.value_or(sent);
}

void ProxiedRequest::OnSuspectSent() {
  quarantine::Quarantine& quarantine = this->gateway.state.quarantine;
  if (quarantine.Empty() || this->target.is_peer) return;
  const auto suspicion = quarantine.SuspicionOf(this->Fingerprints());
  if (!suspicion) return;
  const bool on_trial =
      quarantine.OnSent(this->Fingerprints(), this->gateway.loop.Now());
  if (on_trial) this->gateway.AnnounceNews();
  ++this->gateway.counters.suspects_sent;
  // Popular parts are often at one crash.
  const bool at_several = suspicion->crashes + suspicion->refuted > 1;
  this->Log(at_several ? Level::kNotable : Level::kRoutine, "suspect_sent",
            Fields()
                .Text("endpoint", this->target.endpoint)
                .Text("content", quarantine::ToText(suspicion->suspect))
                .Count("crashes", static_cast<std::int64_t>(suspicion->crashes))
                .Count("refuted", static_cast<std::int64_t>(suspicion->refuted))
                .Text("weight", absl::StrFormat("%.2f", suspicion->weight))
                .Count("on_trial", on_trial ? 1 : 0));
}

std::vector<Gateway::Participant> ProxiedRequest::ParticipantsOf(
    const Target& to) const {
  std::vector<Gateway::Participant> participants;
  const auto add = [&](const std::string& id) {
    const endpoints::Endpoint* known = this->gateway.state.endpoints.Find(id);
    if (known == nullptr) return;
    participants.push_back({id, known->address, endpoints::EndpointKey(*known),
                            known->start_time_ms, this->IsModel()});
  };
  add(to.endpoint);
  for (const pipeline::Stage& stage : to.stages) {
    if (stage.endpoint != to.endpoint) add(stage.endpoint);
  }
  return participants;
}

void ProxiedRequest::OnRunBroken() {
  if (this->target.is_peer) return;
  this->LogBrokenRun(this->StageOfRun());
  for (const Gateway::Participant& participant : this->target.participants) {
    this->OnRunBrokenAt(participant);
  }
}

void ProxiedRequest::OnRunBrokenAt(const Gateway::Participant& participant) {
  const InstanceState& state = this->gateway.state;
  const endpoints::Endpoint* endpoint =
      state.endpoints.Find(participant.endpoint);
  // An endpoint that drains, or has left the list, ends by an order.
  if (endpoint == nullptr ||
      endpoint->state == endpoints::EndpointState::kDraining) {
    return;
  }
  quarantine::BrokenRun run;
  run.request = this->Fingerprints();
  run.endpoint = {participant.key,
                  static_cast<std::uint32_t>(HashText(participant.address))};
  run.sent_at = this->attempt_started;
  run.stage = this->StageOfRun();
  run.ran = this->RunLength();
  if (this->call != 0) run.silent_since = this->last_data;
  this->gateway.OnRunBroken(run);
  // Of the other engines the first one shows which is at fault.
  const bool suspected = participant.endpoint == this->target.endpoint ||
                         state.loads.IsUnresponsive(participant.endpoint,
                                                    this->gateway.loop.Now());
  if (suspected) this->gateway.CheckParticipant(participant);
}

bool ProxiedRequest::EndpointIsSilent() const {
  if (this->call == 0 || this->target.is_peer || this->held) return false;
  return this->gateway.loop.Now() - this->last_data >= this->StallTimeout();
}

void ProxiedRequest::GiveUpCall() {
  if (this->EndpointIsSilent()) this->OnRunBroken();
  this->CancelCall();
}

bool ProxiedRequest::EndedInsideStream() {
  const bool inside_event = this->IsStream() && this->events.HasPartialEvent();
  // A run that goes on after the last event has nothing to send.
  const bool without_event = this->IsStream() && !this->has_event;
  if (!inside_event && !without_event) return false;
  this->OnRunBroken();
  this->EndAttempt(AttemptOutcome::kUnknown,
                   inside_event ? "ended_inside_event" : "ended_before_event");
  return true;
}

void ProxiedRequest::OnEndedByClose() {
  if (this->EndedInsideStream()) return;
  if (this->EndedAfterStall() || !this->MayAskAfterEnd()) {
    this->OnUnframedEnd(endpoints::UnframedEnd::kUnknown);
    return;
  }
  this->end_is_asked = !this->IsModel();
  this->gateway.probe.Check(
      this->target.address, this->gateway.loop.Now(),
      this->gateway.ConcurrentProbers(),
      [self = this->shared_from_this()](const ProbeAnswer& answer) {
        if (!self->finished) self->OnEndProbed(answer);
      });
}

endpoints::UnframedEnd ProxiedRequest::MeaningOf(
    const ProbeAnswer& answer) const {
  endpoints::AfterEnd after;
  after.refused = answer.refused;
  const bool states_start = answer.report && answer.report->start_time_ms != 0;
  if (states_start) after.reported_start_ms = answer.report->start_time_ms;
  return endpoints::MeaningOfEnd(this->target.start_time_ms, after);
}

void ProxiedRequest::OnEndProbed(const ProbeAnswer& answer) {
  this->OnUnframedEnd(this->MeaningOf(answer));
}

bool ProxiedRequest::MayAskAfterEnd() const {
  if (this->target.is_peer) return false;
  if (this->gateway.IsPaused(this->target.endpoint)) return false;
  if (this->IsModel()) return true;
  // A plain endpoint that leaves may go as soon as its last answer is sent.
  const endpoints::Endpoint* endpoint =
      this->gateway.state.endpoints.Find(this->target.endpoint);
  return endpoint != nullptr &&
         endpoint->state != endpoints::EndpointState::kDraining;
}

bool ProxiedRequest::EndedAfterStall() const {
  return this->IsStream() && this->gateway.loop.Now() - this->last_data >=
                                 this->detector.StallTimeout();
}

void ProxiedRequest::OnUnframedEnd(endpoints::UnframedEnd meaning) {
  using endpoints::UnframedEnd;
  this->Log(
      meaning == UnframedEnd::kWhole ? Level::kRoutine : Level::kNotable,
      "unframed_end",
      Fields()
          .Text("endpoint", this->target.endpoint)
          .Text("meaning", endpoints::ToText(meaning))
          .Millis("after_ms", this->gateway.loop.Now() - this->last_data));
  switch (meaning) {
    case UnframedEnd::kWhole:
      this->Complete(true);
      return;
    case UnframedEnd::kBroken:
      this->OnRunBroken();
      this->EndAttempt(AttemptOutcome::kUnknown, "ended_with_endpoint");
      return;
    case UnframedEnd::kUnknown:
      // A plain answer is relayed as it came: its end was an orderly one.
      if (!this->IsModel()) {
        this->Complete(false);
        return;
      }
      // A run that is asked to go on after the last event shows whether
      // anything is missing.
      this->EndAttempt(AttemptOutcome::kUnknown, "end_unproven");
      return;
  }
}

void ProxiedRequest::OnConnectionRefused() {
  const endpoints::Endpoint* endpoint =
      this->gateway.state.endpoints.Find(this->target.endpoint);
  if (endpoint == nullptr) return;
  this->gateway.OnConnectionRefused(endpoints::EndpointKey(*endpoint));
}

void ProxiedRequest::OnProgress() {
  if (!this->run_began) this->run_began = this->last_data;
  if (this->last_data - *this->run_began < kProvenAfter) return;
  this->OnRunProven("ran_on");
}

void ProxiedRequest::OnRunProven(std::string_view why) {
  // A peer's answer may go on over several crashes; the peer knows its runs.
  if (this->target.is_peer) return;
  if (std::exchange(this->proven, true)) return;
  this->gateway.OnSuccess(this->Fingerprints(), why);
}

bool ProxiedRequest::RefuseQuarantined() {
  if (this->gateway.state.quarantine.Empty()) return false;
  const bool refused =
      this->gateway.RefuseQuarantined(*this->exchange, this->Fingerprints());
  if (refused) this->Finish("refused", http::kUnavailable);
  return refused;
}

bool ProxiedRequest::MayRunAgain() {
  const quarantine::Quarantine& quarantine = this->gateway.state.quarantine;
  if (quarantine.Empty()) return true;
  return quarantine.MayRetry(this->Fingerprints(), this->gateway.loop.Now());
}

}  // namespace toucanwharf::instance
