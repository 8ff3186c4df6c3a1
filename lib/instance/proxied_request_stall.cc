#include <algorithm>
#include <string>
#include <utility>

#include "proxied_request.h"
#include "toucanwharf/instance/adapter.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;
using eventlog::Fields;
using eventlog::Level;

/// An engine's report is some hundred milliseconds old, so the first probe may
/// come too early. The interval doubles with each further probe: under overload
/// every answer stalls for a while, and each probe costs the engine a request.
constexpr Duration kProbeInterval = std::chrono::milliseconds(70);
constexpr int kMaxProbeDoublings = 3;
/// A report serves all answers that need it within this time.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(80);
/// Evidence from other answers counts if it came after this share of the stall:
/// earlier events may have been passed on by the engine before it died.
constexpr int kEvidenceAfterPercent = 60;
constexpr int kPercent = 100;
/// Fruitless probes delay further ones up to this limit, at which the clients'
/// pause objective has nearly passed.
constexpr Duration kMaxStallTimeout = std::chrono::milliseconds(160);
/// After this many refused reroutes the answer resumes on another path.
constexpr int kMaxRefusedReroutes = 2;
/// An answer that stalls for this long although its engine names no cause is
/// resumed elsewhere: clients disconnect after two seconds.
constexpr Duration kLongStall = std::chrono::milliseconds(1200);
/// Client idle timeout of a stream: two seconds without an event, or more where
/// the objective is long. Until then an answer that lost its path may find
/// another, and the client's disconnect ends the wait.
constexpr Duration kClientIdleTimeout = std::chrono::seconds(4);
/// An engine answers an order in a millisecond; without an answer the reroute
/// may not have been applied.
constexpr Duration kRerouteTimeout = std::chrono::milliseconds(100);
/// An idempotent request without any answer for this long is sent elsewhere.
constexpr Duration kPlainTimeout = std::chrono::milliseconds(400);

}  // namespace

/// Part of the answer has been relayed, and no endpoint has capacity for the
/// rest yet. The caller waits for the next event anyway, so the answer is
/// aborted only after the client idle timeout.
void ProxiedRequest::AwaitCapacity(Duration pause, AttemptOutcome outcome,
                                   std::string_view reason) {
  const TimePoint now = this->gateway.loop.Now();
  if (now - this->last_relayed > kClientIdleTimeout) {
    ++this->gateway.counters.aborted;
    this->exchange->Abort();
    this->Finish("broken_off", 0);
    return;
  }
  this->gateway.loop.Cancel(this->stall_timer);
  this->stall_timer =
      this->gateway.loop.After(pause, [self = this->shared_from_this(), outcome,
                                       reason_text = std::string(reason)] {
        if (!self->finished) self->TakeNextStep(outcome, reason_text);
      });
}

Duration ProxiedRequest::StallTimeout() const {
  // The peer handles what stalls at endpoints.
  if (this->target.is_peer) return kLongStall;
  if (!this->IsStream()) return kPlainTimeout;
  if (this->HasFailedEngine()) return this->detector.SuspectedStallTimeout();
  const Duration base = this->detector.StallTimeout();
  const double factor =
      this->gateway.probe_backoff.Factor(this->gateway.loop.Now());
  const Duration backed_off(
      static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
  return std::max(base, std::min(backed_off, kMaxStallTimeout));
}

bool ProxiedRequest::HasFailedEngine() const {
  const TimePoint now = this->gateway.loop.Now();
  const auto& stages = this->target.stages;
  return std::any_of(stages.begin(), stages.end(), [&](const auto& stage) {
    return this->gateway.state.loads.IsUnresponsive(stage.endpoint, now);
  });
}

std::optional<endpoints::LivenessEvidence> ProxiedRequest::Liveness() const {
  const bool has_evidence = this->call != 0 && this->has_event &&
                            this->last_data > this->attempt_started;
  if (!has_evidence) return std::nullopt;
  return endpoints::LivenessEvidence{this->target.stages, this->last_data};
}

void ProxiedRequest::OnEngineUnresponsive(const std::string& endpoint) {
  if (this->finished || this->call == 0) return;
  if (!RunsThrough(this->target.stages, endpoint)) return;
  this->WatchStall(std::max(
      Duration(0),
      this->StallTimeout() - (this->gateway.loop.Now() - this->last_data)));
}

void ProxiedRequest::WatchStall(Duration delay) {
  if (!this->admitted.route->Repeatable()) return;
  this->gateway.loop.Cancel(this->stall_timer);
  this->stall_timer =
      this->gateway.loop.After(delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) self->OnStall();
      });
}

void ProxiedRequest::OnStall() {
  if (this->finished || this->call == 0 || this->rerouting) return;
  if (this->held) {
    // The endpoint waits for the caller.
    this->WatchStall(this->StallTimeout());
    return;
  }
  const Duration stalled = this->gateway.loop.Now() - this->last_data;
  const Duration remaining = this->StallTimeout() - stalled;
  if (remaining > Duration(0)) {
    this->WatchStall(remaining);
    return;
  }
  if (this->target.is_peer) {
    this->OnPeerStall();
    return;
  }
  if (!this->IsModel()) {
    this->ResumeElsewhere("silent");
    return;
  }
  if (this->HasFailedEngine()) {
    this->Recover();
    return;
  }
  this->ProbePath();
}

/// Requests the first engine's report of the cause, and probes those of the
/// other engines that may be the cause: the first engine's report names an
/// unresponsive one only after some hundred milliseconds.
void ProxiedRequest::ProbePath() {
  if (this->probing) return;
  const TimePoint now = this->gateway.loop.Now();
  if (this->gateway.ProbesWholePaths(now)) this->ProbeOtherEngines();
  // Last, since it may end the attempt.
  this->ProbeFirstEngine(now);
}

void ProxiedRequest::ProbeOtherEngines() {
  const TimePoint since =
      this->last_data + this->StallTimeout() * kEvidenceAfterPercent / kPercent;
  auto suspects = endpoints::EnginesWithoutEvidence(
      this->target.stages, since, this->gateway.EvidenceExcept(*this));
  std::erase_if(suspects, [this](const pipeline::Stage& stage) {
    return stage.endpoint == this->target.endpoint;
  });
  this->gateway.ProbeEngines(suspects, since);
}

/// An engine that asked for a pause isn't asked for a report: as long as
/// nothing else shows that it is dead, it counts as alive.
void ProxiedRequest::ProbeFirstEngine(TimePoint now) {
  if (this->gateway.IsPaused(this->target.endpoint)) {
    ProbeAnswer assumed;
    assumed.alive = true;
    this->OnFirstEngineProbed(assumed);
    return;
  }
  this->probing = true;
  this->gateway.probe.Check(
      this->target.address, now - kMaxReportAge,
      this->gateway.ConcurrentProbers(),
      [self = this->shared_from_this(),
       probed_call = this->call](const ProbeAnswer& answer) {
        self->probing = false;
        const bool current = !self->finished && self->call == probed_call;
        if (current) self->OnFirstEngineProbed(answer);
      });
}

/// Handles the result of probing the first engine of the path.
void ProxiedRequest::OnFirstEngineProbed(const ProbeAnswer& answer) {
  const Duration stalled = this->gateway.loop.Now() - this->last_data;
  if (stalled < this->StallTimeout()) {
    this->WatchStall(this->StallTimeout() - stalled);
    return;
  }
  if (!answer.alive) {
    this->SetUnresponsiveAt(this->target.address);
    this->Recover();
    return;
  }
  if (answer.report) {
    for (const StalledAnswer& blocked : answer.report->stalled) {
      this->SetUnresponsiveAt(blocked.address);
    }
  }
  if (this->rerouting) return;
  if (this->HasFailedEngine()) {
    this->Recover();
    return;
  }
  if (stalled > kLongStall) {
    this->ResumeElsewhere("silent");
    return;
  }
  this->WatchStall(kProbeInterval * (1 << this->repeated_probes));
  this->repeated_probes =
      std::min(this->repeated_probes + 1, kMaxProbeDoublings);
}

/// Records the engine at \p address as unresponsive, which resumes or reroutes
/// the stalled answers that run through it, including this one.
void ProxiedRequest::SetUnresponsiveAt(const std::string& address) {
  const auto stages = this->target.stages;
  for (const pipeline::Stage& stage : stages) {
    if (stage.address == address) this->gateway.SetUnresponsive(stage.endpoint);
  }
}

/// Continues the answer without the unresponsive engine. It resumes on another
/// path where that is allowed: all answers of a path stall together, and a
/// single replacement engine would have to read them all, while other paths
/// share the work.
void ProxiedRequest::Recover() {
  ++this->gateway.counters.stalls;
  const TimePoint now = this->gateway.loop.Now();
  const bool first_unresponsive =
      this->gateway.state.loads.IsUnresponsive(this->target.endpoint, now);
  const bool resume_first = this->gateway.settings.mechanisms.resume_first;
  if (first_unresponsive || (resume_first && this->CanResumeElsewhere())) {
    this->ResumeElsewhere("engine_silent");
    return;
  }
  this->Reroute();
}

bool ProxiedRequest::CanResumeElsewhere() {
  return this->MayRetry(AttemptOutcome::kUnknown) &&
         this->gateway.budget.HasExtra(this->admitted.service->name,
                                       this->gateway.loop.Now()) &&
         this->ChooseTarget().has_value();
}

/// Ends the current attempt if another path is available; an unresponsive
/// endpoint may still answer, and is better than none.
void ProxiedRequest::ResumeElsewhere(std::string_view reason) {
  if (!this->CanResumeElsewhere()) {
    this->WatchStall(kCapacityPollPeriod);
    return;
  }
  this->EndAttempt(AttemptOutcome::kUnknown, reason);
}

/// Replaces the unresponsive engines of the path. The remaining engines keep
/// their state of the answer, so only the new ones read it again.
void ProxiedRequest::Reroute() {
  const auto next = this->ChoosePath(this->target.stages);
  if (!next) {
    this->ResumeElsewhere("no_way_around");
    return;
  }
  this->rerouting = true;
  http::Request order =
      this->gateway.calls.reroute(RerouteOrder{this->request_id, next->stages});
  order.headers.Set(this->gateway.names.expected_endpoint,
                    this->target.endpoint);
  http::Fetch(this->gateway.loop, this->gateway.client, this->target.address,
              order, {kRerouteTimeout, kMaxReportBytes},
              [self = this->shared_from_this(), probed_call = this->call,
               stages = next->stages](const http::CallResult& result,
                                      const http::ResponseHead& head,
                                      const std::string& body) {
                self->rerouting = false;
                const bool current =
                    !self->finished && self->call == probed_call;
                const bool complete = result.end == http::CallEnd::kComplete;
                if (current) {
                  self->OnRerouted(stages, complete ? head.status : 0, body);
                }
              });
}

void ProxiedRequest::OnRerouted(const std::vector<pipeline::Stage>& stages,
                                int status, const std::string& body) {
  const TimePoint now = this->gateway.loop.Now();
  const std::string fault = this->gateway.calls.reroute_fault(body);
  this->Log(Level::kNotable, "repathed",
            Fields()
                .Text("endpoint", this->target.endpoint)
                .Count("status", status)
                .Text("at_fault", fault)
                .Millis("silent_ms", now - this->last_data));
  constexpr int kFirstErrorStatus = 400;
  if (status == 0 || status >= kFirstErrorStatus) {
    this->OnRerouteRefused(stages, fault);
    return;
  }
  ++this->gateway.counters.rerouted;
  this->ReleaseLoad();
  this->OnPathLeft(stages);
  this->target.stages = stages;
  this->target.participants = this->ParticipantsOf(this->target);
  this->CountLoad();
  this->repeated_probes = 0;
  // The new engines read the answer so far before the next event.
  this->WatchStall(this->admitted.route->pause_objective);
}

/// Records the run as broken at the engines that it no longer runs through.
void ProxiedRequest::OnPathLeft(const std::vector<pipeline::Stage>& next) {
  for (const Gateway::Participant& participant : this->target.participants) {
    if (!RunsThrough(next, participant.endpoint)) {
      this->OnRunBrokenAt(participant);
    }
  }
}

/// Retries the reroute without the engine that has no capacity or has lost its
/// state, or else resumes the answer elsewhere.
void ProxiedRequest::OnRerouteRefused(
    const std::vector<pipeline::Stage>& stages, const std::string& fault) {
  bool named = false;
  for (const pipeline::Stage& stage : stages) {
    if (stage.address != fault || stage.endpoint == this->target.endpoint) {
      continue;
    }
    named = true;
    this->excluded.insert(stage.endpoint);
    this->RecordRefusal(stage.endpoint,
                        this->CapacityUsed(stage.endpoint) > kFullShare);
  }
  if (named && ++this->refused_reroutes <= kMaxRefusedReroutes) {
    this->Reroute();
    return;
  }
  this->ResumeElsewhere("repath_refused");
}

}  // namespace toucanwharf::instance
