#include "toucanwharf/attempts/attempt_policy.h"

namespace toucanwharf::attempts {
namespace {

bool CertainlyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kNotRun;
}

bool MaxNotRunReached(const routes::Route& route, const AttemptCounts& counts) {
  return counts.total >= route.max_attempts + kMaxNotRunAttempts;
}

/// Only a stream can go on where a part of it ended: its events say where that
/// was. Another run of a plain answer would begin anew in the same body.
bool CanContinueElsewhere(const routes::Route& route,
                          const AttemptCounts& counts) {
  return !counts.answer_started || route.kind == routes::RequestKind::kStream;
}

}  // namespace

bool PausesBeforeRetry(const routes::Route& route,
                       const AttemptCounts& counts) {
  return counts.answer_started && MaxNotRunReached(route, counts);
}

bool MayRetry(const routes::Route& route, const AttemptCounts& counts,
              AttemptOutcome outcome) {
  if (!CanContinueElsewhere(route, counts)) return false;
  if (!counts.answer_started && MaxNotRunReached(route, counts)) return false;
  if (counts.may_have_run >= route.max_attempts) return false;
  return counts.may_have_run == 0
             ? CertainlyNotRun(outcome) || route.Repeatable()
             : route.Repeatable();
}

NextStep NextStepAfter(const routes::Route& route, const AttemptCounts& counts,
                       AttemptOutcome outcome, bool budget_left) {
  if (budget_left && MayRetry(route, counts, outcome)) return NextStep::kRetry;
  if (counts.answer_started) return NextStep::kAbort;
  if (outcome == AttemptOutcome::kFailed) return NextStep::kRelayFailure;
  if (counts.may_have_run <= counts.may_have_run_elsewhere) {
    return NextStep::kRefuse;
  }
  return NextStep::kUnknownOutcome;
}

}  // namespace toucanwharf::attempts
