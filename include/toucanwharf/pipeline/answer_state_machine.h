#ifndef TOUCANWHARF_PIPELINE_ANSWER_STATE_MACHINE_H_
#define TOUCANWHARF_PIPELINE_ANSWER_STATE_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "toucanwharf/pipeline/answer.h"
#include "toucanwharf/pipeline/deadlines.h"
#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::pipeline {

/// Received tokens that one answer discarded, by reason; for metrics.
struct DroppedTokens {
  std::uint32_t other_request = 0;
  std::uint32_t stale_attempt = 0;
  std::uint32_t duplicate = 0;
  std::uint32_t index_gap = 0;
  std::uint32_t wrong_trace = 0;

  friend bool operator==(const DroppedTokens&, const DroppedTokens&) = default;
};

/// State machine of one answer, from its request to its last token or failure.
/// It does no I/O; its owner feeds it events and carries out the actions.
///
/// (request, attempt, index) identifies each token. One attempt is current at
/// any time, and only its next index is emitted, so that late and duplicate
/// tokens and those of other requests are discarded (I2). Each token's layer
/// trace must match the plan (I1). After a fault, the next attempt resumes at
/// the first token that was not emitted.
///
/// A stalled connection is told apart from a failed endpoint in steps: the
/// answer first resumes on the same plan over a new connection while every
/// stage is probed; if a token arrives, only the old connection was at fault.
/// An endpoint is suspected when its probe or the new connection fails too.
///
/// Thread safety: none; for one thread.
class AnswerStateMachine {
 public:
  /// Preconditions: answer_request.layers > 0, answer_request.max_tokens > 0.
  explicit AnswerStateMachine(AnswerRequest answer_request,
                              DeadlinePolicy deadline_policy = {});

  /// Requests the first plan. Precondition: called once, before any event.
  Actions Start(TimePoint now);

  /// Handles \p event at \p now and returns the resulting actions, in order.
  /// Events of earlier attempts other than ProbeCompleted, and all events after
  /// the end, cause no action.
  /// Precondition: \p now doesn't decrease between calls.
  Actions Handle(TimePoint now, const Event& event);

  /// Returns whether Finish or Fail was returned.
  bool Done() const { return this->phase == Phase::kDone; }
  /// Returns the current attempt's number, from 0.
  std::uint32_t Attempt() const { return this->attempt; }
  /// Returns the tokens emitted so far.
  const std::vector<std::string>& Tokens() const { return this->tokens; }
  /// Returns the plan of the current attempt, if it has one.
  const std::optional<Plan>& CurrentPlan() const { return this->plan; }
  /// Returns the counts of discarded tokens.
  const DroppedTokens& Dropped() const { return this->dropped; }
  /// Returns whether the request has run, as reported if it failed now.
  Ran RanSoFar() const;

 private:
  enum class Phase { kPlanning, kRunning, kAwaitingCover, kDone };
  /// The time at which an event is handled and the resulting actions.
  struct Step {
    TimePoint now;
    Actions actions;
  };

  void On(Step& step, const TokenArrived& token);
  void On(Step& step, const StreamFailed& failure);
  void On(Step& step, const StreamEnded& end);
  void On(Step& step, const AttemptRefused& refusal);
  void On(Step& step, const TimerFired& timer);
  void On(Step& step, const CallerDisconnected& disconnect);
  void On(Step& step, const PlanReady& ready);
  void On(Step& step, const PlanFailed& failure);
  void On(Step& step, const ProbeCompleted& probe);

  bool IsCurrent(std::uint32_t of_attempt) const;
  bool Accept(Step& step, const TokenArrived& token);
  void EmitNext(Step& step, const TokenArrived& token);
  void RecordProgress(Step& step);
  void ReplanIfSlow(Step& step);
  void HandleConnectionLoss(Step& step);
  void HandleStall(Step& step);
  void HandleStageFailure(Step& step, std::size_t stage);
  void RecordFault(const Step& step);
  void ResumeSamePlan(Step& step);
  void Replan(Step& step);
  void RequestNextPlan(Step& step);
  void AwaitCover(Step& step, std::error_code error);
  bool BeginNextAttempt(Step& step);
  void StartAttemptOn(Step& step, const Plan& next_plan, bool fresh);
  std::vector<KvImport> KvImportsFor(const Plan& next_plan) const;
  void AvoidCurrentStages();
  void Arm(Step& step, TimePoint deadline);
  void End(Step& step, const Action& last);
  void FailAnswer(Step& step, std::error_code error);
  std::uint32_t NextIndex() const;

  AnswerRequest request;
  DeadlinePolicy policy;
  Phase phase = Phase::kPlanning;
  std::uint32_t attempt = 0;
  /// Attempts started since the last token.
  std::uint32_t idle_attempts = 0;
  std::optional<Plan> plan;
  std::vector<std::string> tokens;
  DroppedTokens dropped;

  /// Endpoints that failed during this answer; excluded from its plans until
  /// no cover is left without them.
  std::set<std::string> failed_endpoints;
  /// Endpoints excluded as long as a cover exists without them.
  std::set<std::string> avoided_endpoints;

  /// Whether an attempt before the current one started and wasn't refused.
  bool earlier_attempt_may_have_run = false;
  bool attempt_may_have_run = false;
  /// Whether the current attempt started on a new connection after the old one
  /// failed, and has produced no token yet.
  bool checking_connection = false;
  std::uint32_t connection_losses_on_plan = 0;
  bool moved_off_slow_plan = false;

  TimePoint last_progress;
  TimePoint progress_deadline;
  std::optional<TimePoint> timer_deadline;
  Duration observed_gap{0};
  /// Since when the answer has been waiting for a cover.
  std::optional<TimePoint> no_cover_since;

  /// A recovery in progress, from the detection of the fault to the next token.
  struct Recovery {
    TimePoint last_progress;
    TimePoint detected_at;
    TimePoint attempt_started_at;
  };
  std::optional<Recovery> recovery;
};

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_ANSWER_STATE_MACHINE_H_
