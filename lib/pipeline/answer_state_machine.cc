#include "toucanwharf/pipeline/answer_state_machine.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

/// Weight of the newest gap in the running mean, as one in this many. Four
/// follow a degraded link within three tokens, and one odd token hardly.
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
  this->AskForPlan(step);
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
  // I3: `kNo` only while no attempt was handed to an endpoint, or each that
  // was refused before it ran.
  const bool may_have_run = this->handed_over || this->attempt_may_have_run;
  return may_have_run ? Ran::kUnknown : Ran::kNo;
}

std::uint32_t AnswerStateMachine::Next() const {
  return static_cast<std::uint32_t>(this->tokens.size());
}

bool AnswerStateMachine::IsCurrent(std::uint32_t of_attempt) const {
  return this->phase == Phase::kRunning && of_attempt == this->attempt;
}

// ---- Tokens -----------------------------------------------------------------

void AnswerStateMachine::On(Step& step, const TokenArrived& token) {
  if (!this->Accept(step, token)) return;
  this->HandOut(step, token);
  if (!token.last && this->Next() < this->request.max_tokens) {
    this->LeaveSlowPlan(step);
    return;
  }
  if (!token.last) {
    step.actions.push_back(Cancel{this->attempt, *this->plan});
  }
  this->End(step, Finish{this->Next()});
}

bool AnswerStateMachine::Accept(Step& step, const TokenArrived& token) {
  // I2: a connection that carries several streams, or an id used twice, could
  // hand one caller's token to another; the name in the token itself decides.
  if (token.request != this->request.id) {
    ++this->dropped.other_request;
    return false;
  }
  // I2: an attempt that was given up may still send. Its tokens come late and
  // would appear twice or out of order among those of its successor.
  if (!this->IsCurrent(token.attempt)) {
    ++this->dropped.old_attempt;
    return false;
  }
  if (token.index < this->Next()) {
    ++this->dropped.duplicate;
    return false;
  }
  // I2: streams keep their order, so an index ahead means that a token was
  // lost for good; waiting would only add silence before the resume.
  if (token.index > this->Next()) {
    ++this->dropped.ahead;
    this->avoided.insert(this->plan->stages.front().endpoint);
    this->Replan(step);
    return false;
  }
  // I1: a stage that skipped, repeated or swapped layers gives a plausible but
  // wrong token; only the trace shows it. Which stage did it stays open, so
  // the whole plan is avoided.
  if (!MatchesPlan(token.trace, *this->plan)) {
    ++this->dropped.wrong_trace;
    this->AvoidStages();
    this->Replan(step);
    return false;
  }
  return true;
}

void AnswerStateMachine::HandOut(Step& step, const TokenArrived& token) {
  this->NoteProgress(step);
  this->tokens.push_back(token.text);
  step.actions.push_back(EmitToken{token.index, token.text});
  this->progress_deadline =
      step.now + this->policy.NextToken(this->plan->times, this->observed_gap);
  this->Arm(step, this->progress_deadline);
}

void AnswerStateMachine::NoteProgress(Step& step) {
  const Duration gap = step.now - this->last_progress;
  const bool gap_between_tokens = this->idle == 0 && !this->tokens.empty();
  if (gap_between_tokens) {
    this->observed_gap += (gap - this->observed_gap) / kGapSmoothing;
  }
  this->last_progress = step.now;
  this->idle = 0;
  if (this->checking_connection) {
    this->checking_connection = false;
    step.actions.push_back(
        SuspectConnection{this->plan->stages.front().endpoint});
  }
  if (!this->recovery) return;
  const Recovery& times = *this->recovery;
  step.actions.push_back(
      RecordRecovery{this->attempt, times.noticed - times.last_progress,
                     times.started - times.noticed, step.now - times.started});
  this->recovery.reset();
}

// A link that degrades a hundredfold still brings each token before its
// deadline, so the answer would crawl to its end without a fault. The answer
// moves once, and only when the tokens left repay a new prefill: under a load
// that slows every endpoint, moving about would only add prefills.
void AnswerStateMachine::LeaveSlowPlan(Step& step) {
  if (this->moved_for_speed) return;
  const PlanTimes& times = this->plan->times;
  if (this->observed_gap < this->policy.SlowGap(times)) return;
  const std::uint32_t left = this->request.max_tokens - this->Next();
  const std::uint32_t prompt = this->request.prompt_tokens + this->Next();
  const Duration excess = (this->observed_gap - times.token_gap) * left;
  if (excess < times.FirstToken(prompt) * this->policy.first_factor) return;
  this->moved_for_speed = true;
  this->AvoidStages();
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
      this->ConnectionLost(step);
      return;
    case StreamFault::kConnectFailed:
      this->StageFailed(step, 0);
      return;
    case StreamFault::kStageLost:
      if (failure.stage && *failure.stage < this->plan->stages.size()) {
        this->StageFailed(step, *failure.stage);
        return;
      }
      this->AvoidStages();
      this->Replan(step);
      return;
    case StreamFault::kMalformed:
      this->avoided.insert(this->plan->stages.front().endpoint);
      this->Replan(step);
      return;
  }
}

void AnswerStateMachine::On(Step& step, const StreamEnded& end) {
  // A stream that ends in good order before the last token would pass as a
  // whole answer that is too short; it is a lost connection.
  if (this->IsCurrent(end.attempt)) this->ConnectionLost(step);
}

void AnswerStateMachine::On(Step& step, const AttemptRefused& refusal) {
  if (!this->IsCurrent(refusal.attempt)) return;
  const std::size_t stage = refusal.stage.value_or(0);
  const std::size_t last = this->plan->stages.size() - 1;
  this->attempt_may_have_run = false;
  this->avoided.insert(this->plan->stages[std::min(stage, last)].endpoint);
  this->Replan(step);
}

// A reset proves only that something ended the connection. The instance that
// sent it, or the one that answers next, settles within one round trip whether
// the endpoint lives, and a live one still has the KV cache.
void AnswerStateMachine::ConnectionLost(Step& step) {
  if (this->checking_connection) {
    this->StageFailed(step, 0);
    return;
  }
  ++this->losses_on_plan;
  if (this->losses_on_plan > 1) {
    this->avoided.insert(this->plan->stages.front().endpoint);
    this->Replan(step);
    return;
  }
  this->ResumeSamePlan(step);
}

void AnswerStateMachine::Silent(Step& step) {
  if (this->checking_connection) {
    // The fresh connection is silent too and no probe named a culprit, so the
    // fault is between the stages. All are avoided, none is suspected.
    this->AvoidStages();
    this->Replan(step);
    return;
  }
  const std::vector<Stage> stages = this->plan->stages;
  this->ResumeSamePlan(step);
  if (this->Done()) return;
  step.actions.push_back(
      ProbeStages{this->attempt, stages, step.now + this->policy.probe});
}

void AnswerStateMachine::On(Step& step, const ProbeCompleted& probe) {
  if (probe.alive) return;
  const bool progressed = this->idle == 0;
  // A probe can be lost on its own; tokens that flow say more than it does.
  if (this->phase == Phase::kRunning && progressed) return;
  if (!this->failed.insert(probe.endpoint).second) return;
  step.actions.push_back(SuspectEndpoint{probe.endpoint});
  if (this->phase != Phase::kRunning) return;
  const auto& stages = this->plan->stages;
  const bool on_plan =
      std::any_of(stages.begin(), stages.end(), [&probe](const Stage& stage) {
        return stage.endpoint == probe.endpoint;
      });
  if (on_plan) this->Replan(step);
}

void AnswerStateMachine::StageFailed(Step& step, std::size_t stage) {
  const std::string endpoint = this->plan->stages[stage].endpoint;
  this->failed.insert(endpoint);
  step.actions.push_back(SuspectEndpoint{endpoint});
  this->Replan(step);
}

void AnswerStateMachine::AvoidStages() {
  for (const Stage& stage : this->plan->stages) {
    this->avoided.insert(stage.endpoint);
  }
}

void AnswerStateMachine::NoteFault(const Step& step) {
  if (this->recovery) return;
  this->recovery = Recovery{this->last_progress, step.now, step.now};
}

// ---- Attempts ---------------------------------------------------------------

void AnswerStateMachine::ResumeSamePlan(Step& step) {
  if (!this->NextAttempt(step)) return;
  const Plan same = *this->plan;
  this->StartOn(step, same, true);
  this->checking_connection = true;
}

void AnswerStateMachine::Replan(Step& step) {
  if (!this->NextAttempt(step)) return;
  this->AskForPlan(step);
}

bool AnswerStateMachine::NextAttempt(Step& step) {
  this->NoteFault(step);
  step.actions.push_back(Cancel{this->attempt, *this->plan});
  this->handed_over = this->handed_over || this->attempt_may_have_run;
  this->attempt_may_have_run = false;
  this->checking_connection = false;
  ++this->attempt;
  ++this->idle;
  const bool spent = this->idle > this->policy.idle_attempts ||
                     this->attempt >= this->policy.attempts;
  if (spent) this->End(step, Fail{this->RanSoFar(), Error::kAttemptsSpent});
  return !spent;
}

void AnswerStateMachine::AskForPlan(Step& step) {
  this->phase = Phase::kPlanning;
  RequestPlan ask;
  ask.attempt = this->attempt;
  ask.prompt_tokens = this->request.prompt_tokens + this->Next();
  ask.output_tokens = this->request.max_tokens - this->Next();
  ask.excluded = this->failed;
  ask.excluded.insert(this->avoided.begin(), this->avoided.end());
  step.actions.push_back(std::move(ask));
}

void AnswerStateMachine::On(Step& step, const PlanReady& ready) {
  const bool asked =
      this->phase == Phase::kPlanning && ready.attempt == this->attempt;
  if (!asked) return;
  std::vector<LayerRange> ranges;
  for (const Stage& stage : ready.plan.stages) ranges.push_back(stage.layers);
  // I1: a plan made from endpoint states that changed meanwhile could skip or
  // repeat layers, or mix versions; such a plan never starts.
  if (!IsExactCover(ranges, this->request.layers) ||
      ready.plan.model != this->request.model) {
    this->On(step, PlanFailed{ready.attempt, Error::kNoCover});
    return;
  }
  this->uncovered_since.reset();
  this->StartOn(step, ready.plan, false);
}

void AnswerStateMachine::On(Step& step, const PlanFailed& failure) {
  const bool asked =
      this->phase == Phase::kPlanning && failure.attempt == this->attempt;
  if (!asked) return;
  if (!this->avoided.empty()) {
    this->avoided.clear();
    this->AskForPlan(step);
    return;
  }
  this->AwaitCover(step, failure.error);
}

// Nothing ran yet: the caller is told at once, and may go elsewhere. With an
// answer under way, a cover often comes back within a second or two (an
// endpoint restarts or its ejection ends), which costs the caller less than
// starting over; the wait is bounded.
void AnswerStateMachine::AwaitCover(Step& step, std::error_code error) {
  if (this->RanSoFar() == Ran::kNo) {
    this->End(step, Fail{Ran::kNo, error});
    return;
  }
  if (!this->uncovered_since) this->uncovered_since = step.now;
  if (step.now - *this->uncovered_since >= this->policy.cover_patience) {
    this->End(step, Fail{this->RanSoFar(), error});
    return;
  }
  this->phase = Phase::kAwaitingCover;
  this->progress_deadline = step.now + this->policy.replan_pause;
  this->Arm(step, this->progress_deadline);
}

void AnswerStateMachine::StartOn(Step& step, const Plan& next_plan,
                                 bool fresh) {
  StartAttempt start;
  start.attempt = this->attempt;
  start.plan = next_plan;
  start.first_index = this->Next();
  start.tokens = this->tokens;
  start.fresh_connection = fresh;
  start.imports = this->Imports(next_plan);
  if (!fresh) this->losses_on_plan = 0;
  this->observed_gap = Duration(0);
  this->plan = next_plan;
  this->phase = Phase::kRunning;
  this->attempt_may_have_run = true;
  if (this->recovery) this->recovery->started = step.now;
  step.actions.push_back(std::move(start));
  const std::uint32_t prompt = this->request.prompt_tokens + this->Next();
  this->progress_deadline =
      step.now + this->policy.FirstToken(next_plan.times, prompt, this->idle);
  this->Arm(step, this->progress_deadline);
}

// A stage that was avoided but not found dead still has the KV cache of the
// tokens so far; its successor can start from the copy in place of a prefill.
std::vector<KvImport> AnswerStateMachine::Imports(const Plan& next_plan) const {
  std::vector<KvImport> imports;
  if (!this->plan) return imports;
  for (const Stage& to : next_plan.stages) {
    for (const Stage& from : this->plan->stages) {
      const bool copy = from.layers == to.layers &&
                        from.endpoint != to.endpoint &&
                        !this->failed.contains(from.endpoint);
      if (copy) imports.push_back({from, to});
    }
  }
  return imports;
}

// ---- Time and end -----------------------------------------------------------

// The timer is moved only when it would fire too late. Tokens mostly push the
// deadline out, so an answer costs a timer call a few times, not at each token.
void AnswerStateMachine::Arm(Step& step, TimePoint at) {
  const TimePoint wanted = std::min(at, this->request.deadline);
  if (this->armed && *this->armed <= wanted) return;
  this->armed = wanted;
  step.actions.push_back(ArmTimer{wanted});
}

void AnswerStateMachine::On(Step& step, const TimerFired& /*timer*/) {
  this->armed.reset();
  if (step.now >= this->request.deadline) {
    this->GiveUp(step, Error::kDeadlinePassed);
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
    this->Silent(step);
    return;
  }
  // Endpoints that failed may be back; what is still dead is left out by the
  // planner, which knows who was ejected.
  this->failed.clear();
  this->AskForPlan(step);
  this->Arm(step, this->request.deadline);
}

void AnswerStateMachine::On(Step& step, const CallerDisconnected& /*leaving*/) {
  this->GiveUp(step, Error::kCallerLeft);
}

void AnswerStateMachine::GiveUp(Step& step, std::error_code error) {
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
