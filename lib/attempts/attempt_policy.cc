#include "toucanwharf/attempts/attempt_policy.h"

namespace toucanwharf::attempts {
namespace {

bool SurelyNotRun(AttemptOutcome end) {
  return end == AttemptOutcome::kNotSent || end == AttemptOutcome::kNotRun;
}

}  // namespace

bool MayRetry(const routes::Route& route, const AttemptCounts& tries,
              AttemptOutcome end) {
  if (tries.total >= route.max_attempts + kMostNotRunTries) return false;
  if (tries.may_have_run >= route.max_attempts) return false;
  return tries.may_have_run == 0 ? SurelyNotRun(end) || route.Repeatable()
                                 : route.Repeatable();
}

NextStep NextStepAfter(const routes::Route& route, const AttemptCounts& tries,
                       AttemptOutcome end, bool budget_left) {
  if (budget_left && MayRetry(route, tries, end)) return NextStep::kRetry;
  if (tries.answer_started) return NextStep::kAbort;
  if (end == AttemptOutcome::kFailed) return NextStep::kRelayFailure;
  if (tries.may_have_run == 0) return NextStep::kRefuse;
  return NextStep::kUnknownOutcome;
}

}  // namespace toucanwharf::attempts
