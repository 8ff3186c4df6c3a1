#include "toucanwharf/pipeline/answer_state_machine.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

/// Inverse weight of the newest gap in the moving average. With 4, the average
/// follows a degraded link within three tokens and hardly reacts to one
/// outlier.
constexpr int kGapSmoothing = 4;

}  // namespace

const char* RanName(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kPartly:
      return "partly";
  }
  return "unknown";
}

AnswerStateMachine::AnswerStateMachine(AnswerRequest answer_request,
                                       DeadlinePolicy deadline_policy)
    : request(std::move(answer_request)), policy(deadline_policy) {
  assert(this->request.layers > 0 && "a model has at least one layer");
  assert(this->request.max_tokens > 0 && "an answer has at least one token");
}

Actions AnswerStateMachine::Start(TimePoint now) {
  Step step{now, {}};
  this->last_progress = now;
  this->RequestNextPlan(step);
  this->Arm(step, this->request.deadline);
  return std::move(step.actions);
}

Actions AnswerStateMachine::Handle(TimePoint now, const Event& event) {
  if (this->Done()) return {};
  Step step{now, {}};
  std::visit([this, &step](const auto& typed) { this->On(step, typed); },
             event);
  return std::move(step.actions);
}

Ran AnswerStateMachine::RanSoFar() const {
  if (!this->tokens.empty()) return Ran::kPartly;
  // I3: kNo only if no attempt was sent to an endpoint, or if each attempt was
  // refused before it ran.
  const bool may_have_run =
      this->earlier_attempt_may_have_run || this->attempt_may_have_run;
  return may_have_run ? Ran::kUnknown : Ran::kNo;
}

std::uint32_t AnswerStateMachine::NextIndex() const {
  return static_cast<std::uint32_t>(this->tokens.size());
}

bool AnswerStateMachine::IsCurrent(std::uint32_t of_attempt) const {
  return this->phase == Phase::kRunning && of_attempt == this->attempt;
}

// ---- Tokens -----------------------------------------------------------------

void AnswerStateMachine::On(Step& step, const TokenArrived& token) {
  if (!this->Accept(step, token)) return;
  this->EmitNext(step, token);
  if (!token.last && this->NextIndex() < this->request.max_tokens) {
    this->ReplanIfSlow(step);
    return;
  }
  if (!token.last) {
    step.actions.push_back(Cancel{this->attempt, *this->plan});
  }
  this->End(step, Finish{this->NextIndex()});
}

bool AnswerStateMachine::Accept(Step& step, const TokenArrived& token) {
  // I2: on a connection that carries several streams, or with a reused id, one
  // caller's token could reach another; so check the request id in the token.
  if (token.request != this->request.id) {
    ++this->dropped.other_request;
    return false;
  }
  // I2: an abandoned attempt may still send. Its late tokens would be
  // duplicates or out of order among those of its successor.
  if (!this->IsCurrent(token.attempt)) {
    ++this->dropped.stale_attempt;
    return false;
  }
  if (token.index < this->NextIndex()) {
    ++this->dropped.duplicate;
    return false;
  }
  // I2: streams preserve order, so a gap in the index means that a token is
  // permanently lost; waiting would only delay the resume.
  if (token.index > this->NextIndex()) {
    ++this->dropped.index_gap;
    this->avoided_endpoints.insert(this->plan->stages.front().endpoint);
    this->Replan(step);
    return false;
  }
  // I1: a stage that skipped, repeated or swapped layers produces a plausible
  // but wrong token; only the trace shows it. The faulty stage is unknown, so
  // avoid all stages of the plan.
  if (!MatchesPlan(token.trace, *this->plan)) {
    ++this->dropped.wrong_trace;
    this->AvoidCurrentStages();
    this->Replan(step);
    return false;
  }
  return true;
}

void AnswerStateMachine::EmitNext(Step& step, const TokenArrived& token) {
  this->RecordProgress(step);
  this->tokens.push_back(token.text);
  step.actions.push_back(EmitToken{token.index, token.text});
  this->progress_deadline =
      step.now + this->policy.NextToken(this->plan->times, this->observed_gap);
  this->Arm(step, this->progress_deadline);
}

void AnswerStateMachine::RecordProgress(Step& step) {
  const Duration gap = step.now - this->last_progress;
  const bool gap_between_tokens =
      this->idle_attempts == 0 && !this->tokens.empty();
  if (gap_between_tokens) {
    this->observed_gap += (gap - this->observed_gap) / kGapSmoothing;
  }
  this->last_progress = step.now;
  this->idle_attempts = 0;
  if (this->checking_connection) {
    this->checking_connection = false;
    step.actions.push_back(
        SuspectConnection{this->plan->stages.front().endpoint});
  }
  if (!this->recovery) return;
  const Recovery& times = *this->recovery;
  step.actions.push_back(
      RecordRecovery{this->attempt, times.detected_at - times.last_progress,
                     times.attempt_started_at - times.detected_at,
                     step.now - times.attempt_started_at});
  this->recovery.reset();
}

// A link whose delay grows a hundredfold still delivers each token before its
// deadline, so the answer would be very slow without any detected fault. The
// answer moves at most once, and only if the remaining tokens outweigh a new
// prefill: under a load that slows every endpoint, moves only add prefills.
void AnswerStateMachine::ReplanIfSlow(Step& step) {
  if (this->moved_off_slow_plan) return;
  const PlanTimes& times = this->plan->times;
  if (this->observed_gap < this->policy.SlowGap(times)) return;
  const std::uint32_t remaining = this->request.max_tokens - this->NextIndex();
  const std::uint32_t prompt = this->request.prompt_tokens + this->NextIndex();
  const Duration lag = (this->observed_gap - times.token_gap) * remaining;
  if (lag < times.FirstToken(prompt) * this->policy.first_token_factor) return;
  this->moved_off_slow_plan = true;
  this->AvoidCurrentStages();
  this->Replan(step);
}

// ---- Faults -----------------------------------------------------------------

void AnswerStateMachine::On(Step& step, const StreamFailed& failure) {
  if (!this->IsCurrent(failure.attempt)) return;
  const bool not_sent =
      failure.ran == Ran::kNo || failure.fault == StreamFault::kConnectFailed;
  if (not_sent) this->attempt_may_have_run = false;
  switch (failure.fault) {
    case StreamFault::kConnectionLost:
      this->HandleConnectionLoss(step);
      return;
    case StreamFault::kConnectFailed:
      this->HandleStageFailure(step, 0);
      return;
    case StreamFault::kStageLost:
      if (failure.stage && *failure.stage < this->plan->stages.size()) {
        this->HandleStageFailure(step, *failure.stage);
        return;
      }
      this->AvoidCurrentStages();
      this->Replan(step);
      return;
    case StreamFault::kMalformed:
      this->avoided_endpoints.insert(this->plan->stages.front().endpoint);
      this->Replan(step);
      return;
  }
}

void AnswerStateMachine::On(Step& step, const StreamEnded& end) {
  // A stream that ends without an error before the last token would look like a
  // complete but truncated answer; treat it as a lost connection.
  if (this->IsCurrent(end.attempt)) this->HandleConnectionLoss(step);
}

void AnswerStateMachine::On(Step& step, const AttemptRefused& refusal) {
  if (!this->IsCurrent(refusal.attempt)) return;
  const std::size_t stage = refusal.stage.value_or(0);
  const std::size_t last = this->plan->stages.size() - 1;
  this->attempt_may_have_run = false;
  this->avoided_endpoints.insert(
      this->plan->stages[std::min(stage, last)].endpoint);
  this->Replan(step);
}

// A reset shows only that the connection ended. A new connection shows within
// one round trip whether the endpoint is alive, and if it is, it still has the
// KV cache.
void AnswerStateMachine::HandleConnectionLoss(Step& step) {
  if (this->checking_connection) {
    this->HandleStageFailure(step, 0);
    return;
  }
  ++this->connection_losses_on_plan;
  if (this->connection_losses_on_plan > 1) {
    this->avoided_endpoints.insert(this->plan->stages.front().endpoint);
    this->Replan(step);
    return;
  }
  this->ResumeSamePlan(step);
}

void AnswerStateMachine::HandleStall(Step& step) {
  if (this->checking_connection) {
    // The new connection stalled too and no probe failed, so the fault is
    // between the stages. Avoid all of them and suspect none.
    this->AvoidCurrentStages();
    this->Replan(step);
    return;
  }
  const std::vector<Stage> stages = this->plan->stages;
  this->ResumeSamePlan(step);
  if (this->Done()) return;
  step.actions.push_back(ProbeStages{this->attempt, stages,
                                     step.now + this->policy.probe_timeout});
}

void AnswerStateMachine::On(Step& step, const ProbeCompleted& probe) {
  if (probe.alive) return;
  const bool progressed = this->idle_attempts == 0;
  // A probe alone can be lost; received tokens are stronger evidence.
  if (this->phase == Phase::kRunning && progressed) return;
  if (!this->failed_endpoints.insert(probe.endpoint).second) return;
  step.actions.push_back(SuspectEndpoint{probe.endpoint});
  if (this->phase != Phase::kRunning) return;
  const auto& stages = this->plan->stages;
  const bool on_plan =
      std::any_of(stages.begin(), stages.end(), [&probe](const Stage& stage) {
        return stage.endpoint == probe.endpoint;
      });
  if (on_plan) this->Replan(step);
}

void AnswerStateMachine::HandleStageFailure(Step& step, std::size_t stage) {
  const std::string endpoint = this->plan->stages[stage].endpoint;
  this->failed_endpoints.insert(endpoint);
  step.actions.push_back(SuspectEndpoint{endpoint});
  this->Replan(step);
}

void AnswerStateMachine::AvoidCurrentStages() {
  for (const Stage& stage : this->plan->stages) {
    this->avoided_endpoints.insert(stage.endpoint);
  }
}

void AnswerStateMachine::RecordFault(const Step& step) {
  if (this->recovery) return;
  this->recovery = Recovery{this->last_progress, step.now, step.now};
}

// ---- Attempts ---------------------------------------------------------------

void AnswerStateMachine::ResumeSamePlan(Step& step) {
  if (!this->BeginNextAttempt(step)) return;
  const Plan same = *this->plan;
  this->StartAttemptOn(step, same, true);
  this->checking_connection = true;
}

void AnswerStateMachine::Replan(Step& step) {
  if (!this->BeginNextAttempt(step)) return;
  this->RequestNextPlan(step);
}

bool AnswerStateMachine::BeginNextAttempt(Step& step) {
  this->RecordFault(step);
  step.actions.push_back(Cancel{this->attempt, *this->plan});
  this->earlier_attempt_may_have_run =
      this->earlier_attempt_may_have_run || this->attempt_may_have_run;
  this->attempt_may_have_run = false;
  this->checking_connection = false;
  ++this->attempt;
  ++this->idle_attempts;
  const bool spent = this->idle_attempts > this->policy.max_idle_attempts ||
                     this->attempt >= this->policy.max_attempts;
  if (spent) this->End(step, Fail{this->RanSoFar(), Error::kOutOfAttempts});
  return !spent;
}

void AnswerStateMachine::RequestNextPlan(Step& step) {
  this->phase = Phase::kPlanning;
  RequestPlan plan_request;
  plan_request.attempt = this->attempt;
  plan_request.prompt_tokens = this->request.prompt_tokens + this->NextIndex();
  plan_request.output_tokens = this->request.max_tokens - this->NextIndex();
  plan_request.excluded = this->failed_endpoints;
  plan_request.excluded.insert(this->avoided_endpoints.begin(),
                               this->avoided_endpoints.end());
  step.actions.push_back(std::move(plan_request));
}

void AnswerStateMachine::On(Step& step, const PlanReady& ready) {
  const bool expected =
      this->phase == Phase::kPlanning && ready.attempt == this->attempt;
  if (!expected) return;
  std::vector<LayerRange> ranges;
  for (const Stage& stage : ready.plan.stages) ranges.push_back(stage.layers);
  // I1: a plan made from endpoint states that have changed since could skip or
  // repeat layers, or mix versions; never start such a plan.
  if (!IsExactCover(ranges, this->request.layers) ||
      ready.plan.model != this->request.model) {
    this->On(step, PlanFailed{ready.attempt, Error::kNoCover});
    return;
  }
  this->no_cover_since.reset();
  this->StartAttemptOn(step, ready.plan, false);
}

void AnswerStateMachine::On(Step& step, const PlanFailed& failure) {
  const bool expected =
      this->phase == Phase::kPlanning && failure.attempt == this->attempt;
  if (!expected) return;
  if (!this->avoided_endpoints.empty()) {
    this->avoided_endpoints.clear();
    this->RequestNextPlan(step);
    return;
  }
  this->AwaitCover(step, failure.error);
}

// If nothing ran yet, the answer fails immediately, so that the caller can use
// another router. For an answer in progress, a cover often becomes available
// again within a second or two (an endpoint restarts or its ejection ends),
// which costs the caller less than starting over; the wait is bounded.
void AnswerStateMachine::AwaitCover(Step& step, std::error_code error) {
  if (this->RanSoFar() == Ran::kNo) {
    this->End(step, Fail{Ran::kNo, error});
    return;
  }
  if (!this->no_cover_since) this->no_cover_since = step.now;
  if (step.now - *this->no_cover_since >= this->policy.cover_timeout) {
    this->End(step, Fail{this->RanSoFar(), error});
    return;
  }
  this->phase = Phase::kAwaitingCover;
  this->progress_deadline = step.now + this->policy.replan_delay;
  this->Arm(step, this->progress_deadline);
}

void AnswerStateMachine::StartAttemptOn(Step& step, const Plan& next_plan,
                                        bool fresh) {
  StartAttempt start;
  start.attempt = this->attempt;
  start.plan = next_plan;
  start.first_index = this->NextIndex();
  start.tokens = this->tokens;
  start.fresh_connection = fresh;
  start.imports = this->KvImportsFor(next_plan);
  if (!fresh) this->connection_losses_on_plan = 0;
  this->observed_gap = Duration(0);
  this->plan = next_plan;
  this->phase = Phase::kRunning;
  this->attempt_may_have_run = true;
  if (this->recovery) this->recovery->attempt_started_at = step.now;
  step.actions.push_back(std::move(start));
  const std::uint32_t prompt = this->request.prompt_tokens + this->NextIndex();
  this->progress_deadline =
      step.now +
      this->policy.FirstToken(next_plan.times, prompt, this->idle_attempts);
  this->Arm(step, this->progress_deadline);
}

// An avoided stage that didn't fail still has the KV cache of the tokens so
// far; its replacement can import that cache instead of running a prefill.
std::vector<KvImport> AnswerStateMachine::KvImportsFor(
    const Plan& next_plan) const {
  std::vector<KvImport> imports;
  if (!this->plan) return imports;
  for (const Stage& to : next_plan.stages) {
    for (const Stage& from : this->plan->stages) {
      const bool copy = from.layers == to.layers &&
                        from.endpoint != to.endpoint &&
                        !this->failed_endpoints.contains(from.endpoint);
      if (copy) imports.push_back({from, to});
    }
  }
  return imports;
}

// ---- Time and end -----------------------------------------------------------

// Rearms the timer only if it would fire too late. Most tokens extend the
// deadline, so an answer needs a few timer calls rather than one per token.
void AnswerStateMachine::Arm(Step& step, TimePoint deadline) {
  const TimePoint earliest = std::min(deadline, this->request.deadline);
  if (this->timer_deadline && *this->timer_deadline <= earliest) return;
  this->timer_deadline = earliest;
  step.actions.push_back(ArmTimer{earliest});
}

void AnswerStateMachine::On(Step& step, const TimerFired& /*timer*/) {
  this->timer_deadline.reset();
  if (step.now >= this->request.deadline) {
    this->FailAnswer(step, Error::kDeadlinePassed);
    return;
  }
  if (this->phase == Phase::kPlanning) {
    this->Arm(step, this->request.deadline);
    return;
  }
  if (step.now < this->progress_deadline) {
    this->Arm(step, this->progress_deadline);
    return;
  }
  if (this->phase == Phase::kRunning) {
    this->HandleStall(step);
    return;
  }
  // Failed endpoints may have recovered; the planner leaves out those that are
  // still ejected.
  this->failed_endpoints.clear();
  this->RequestNextPlan(step);
  this->Arm(step, this->request.deadline);
}

void AnswerStateMachine::On(Step& step,
                            const CallerDisconnected& /*disconnect*/) {
  this->FailAnswer(step, Error::kCallerDisconnected);
}

void AnswerStateMachine::FailAnswer(Step& step, std::error_code error) {
  if (this->phase == Phase::kRunning) {
    step.actions.push_back(Cancel{this->attempt, *this->plan});
  }
  this->End(step, Fail{this->RanSoFar(), error});
}

void AnswerStateMachine::End(Step& step, const Action& last) {
  this->phase = Phase::kDone;
  step.actions.push_back(last);
}

}  // namespace toucanwharf::pipeline
