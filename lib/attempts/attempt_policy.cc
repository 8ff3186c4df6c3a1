#include "toucanwharf/attempts/attempt_policy.h"

namespace toucanwharf::attempts {
namespace {

bool SurelyNotRun(TryEnd end) {
  return end == TryEnd::kNotSent || end == TryEnd::kNotRun;
}

}  // namespace

bool MayTryAgain(const routes::Route& route, const Tries& tries, TryEnd end) {
  if (tries.made >= route.max_attempts + kMostNotRunTries) return false;
  if (tries.may_have_run >= route.max_attempts) return false;
  return tries.may_have_run == 0 ? SurelyNotRun(end) || route.Repeatable()
                                 : route.Repeatable();
}

NextStep After(const routes::Route& route, const Tries& tries, TryEnd end,
               bool budget_left) {
  if (budget_left && MayTryAgain(route, tries, end)) return NextStep::kTryAgain;
  if (tries.answer_begun) return NextStep::kBreakOff;
  if (end == TryEnd::kFailed) return NextStep::kRelayFailure;
  if (tries.may_have_run == 0) return NextStep::kRefuse;
  return NextStep::kUnknownFate;
}

}  // namespace toucanwharf::attempts
