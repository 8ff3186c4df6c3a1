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

/// Tokens that one answer did not hand out, by reason; for metrics.
struct DroppedTokens {
  std::uint32_t other_request = 0;
  std::uint32_t old_attempt = 0;
  std::uint32_t duplicate = 0;
  std::uint32_t ahead = 0;
  std::uint32_t wrong_trace = 0;

  friend bool operator==(const DroppedTokens&, const DroppedTokens&) = default;
};

/// One answer from its request to its last token or its failure.
///
/// (request, attempt, index) names each token. One attempt is current at any
/// time, and only its next index is handed out, so that late, doubled and
/// foreign tokens fall out by their names (I2). Each token's layer trace must
/// be the plan's (I1). A fault starts the next attempt at the first token that
/// was not handed out.
///
/// Silence is told apart from death in steps: first a fresh connection on the
/// same plan resumes the answer while every stage is probed; if a token comes,
/// only the old connection was at fault. An endpoint is suspected when its
/// probe or the fresh connection fails too.
///
/// Thread safety: none; for one thread.
class AnswerStateMachine {
 public:
  /// Makes the machine of \p request. Preconditions: its layers > 0 and
  /// its max_tokens > 0.
  explicit AnswerStateMachine(AnswerRequest answer_request,
                              DeadlinePolicy deadline_policy = {});

  /// Asks for the first plan. Precondition: called once, before any event.
  Actions Start(TimePoint now);

  /// Takes \p event at \p now and returns what to do, in order. Events for
  /// attempts that are over, and all events after the end, are without
  /// effect. Precondition: \p now does not go back.
  Actions Handle(TimePoint now, const Event& event);

  /// Returns whether Finish or Fail was returned.
  bool Done() const { return this->phase == Phase::kDone; }
  /// Returns the current attempt's number, from 0.
  std::uint32_t Attempt() const { return this->attempt; }
  /// Returns the tokens handed out so far.
  const std::vector<std::string>& Tokens() const { return this->tokens; }
  /// Returns the plan of the current attempt, if it has one.
  const std::optional<Plan>& CurrentPlan() const { return this->plan; }
  /// Returns what was not handed out.
  const DroppedTokens& Dropped() const { return this->dropped; }
  /// Returns what a caller may be told about the request if it ended now.
  Ran RanSoFar() const;

 private:
  enum class Phase { kPlanning, kRunning, kAwaitingCover, kDone };
  /// The time an event is handled at and the actions it leads to.
  struct Step {
    TimePoint now;
    Actions actions;
  };

  void On(Step& step, const TokenArrived& token);
  void On(Step& step, const StreamFailed& failure);
  void On(Step& step, const StreamEnded& end);
  void On(Step& step, const AttemptRefused& refusal);
  void On(Step& step, const TimerFired& timer);
  void On(Step& step, const CallerDisconnected& leaving);
  void On(Step& step, const PlanReady& ready);
  void On(Step& step, const PlanFailed& failure);
  void On(Step& step, const ProbeCompleted& probe);

  bool IsCurrent(std::uint32_t of_attempt) const;
  bool Accept(Step& step, const TokenArrived& token);
  void HandOut(Step& step, const TokenArrived& token);
  void NoteProgress(Step& step);
  void LeaveSlowPlan(Step& step);
  void ConnectionLost(Step& step);
  void Silent(Step& step);
  void StageFailed(Step& step, std::size_t stage);
  void NoteFault(const Step& step);
  void ResumeSamePlan(Step& step);
  void Replan(Step& step);
  void AskForPlan(Step& step);
  void AwaitCover(Step& step, std::error_code error);
  bool NextAttempt(Step& step);
  void StartOn(Step& step, const Plan& next_plan, bool fresh);
  std::vector<KvImport> Imports(const Plan& next_plan) const;
  void AvoidStages();
  void Arm(Step& step, TimePoint at);
  void End(Step& step, const Action& last);
  void GiveUp(Step& step, std::error_code error);
  std::uint32_t Next() const;

  AnswerRequest request;
  DeadlinePolicy policy;
  Phase phase = Phase::kPlanning;
  std::uint32_t attempt = 0;
  /// Attempts since the last token.
  std::uint32_t idle = 0;
  std::optional<Plan> plan;
  std::vector<std::string> tokens;
  DroppedTokens dropped;

  /// Endpoints that failed this answer, in no further plan of it.
  std::set<std::string> failed;
  /// Endpoints left out as long as there is a cover without them.
  std::set<std::string> avoided;

  /// Whether an attempt was started that did not end in a refusal.
  bool handed_over = false;
  bool attempt_may_have_run = false;
  /// Whether the current attempt began on a fresh connection after the old
  /// one failed, and gave no token yet.
  bool checking_connection = false;
  std::uint32_t losses_on_plan = 0;
  bool moved_for_speed = false;

  TimePoint last_progress;
  TimePoint progress_deadline;
  std::optional<TimePoint> armed;
  Duration observed_gap{0};
  /// When waiting for a cover began.
  std::optional<TimePoint> uncovered_since;

  /// A recovery under way, from the fault's notice to the next token.
  struct Recovery {
    TimePoint last_progress;
    TimePoint noticed;
    TimePoint started;
  };
  std::optional<Recovery> recovery;
};

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_ANSWER_STATE_MACHINE_H_
