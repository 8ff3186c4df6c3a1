#include "toucanwharf/attempts/attempt_policy.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace toucanwharf::attempts {
namespace {

using routes::RequestKind;

routes::Route MakeRoute(RequestKind kind, bool resumable, int attempts) {
  routes::Route route;
  route.kind = kind;
  route.resumable = resumable;
  route.max_attempts = attempts;
  return route;
}

rc::Gen<AttemptOutcome> AnyEnd() {
  return rc::gen::element(AttemptOutcome::kNotSent, AttemptOutcome::kNotRun,
                          AttemptOutcome::kUnknown, AttemptOutcome::kFailed);
}

rc::Gen<RequestKind> AnyKind() {
  return rc::gen::element(RequestKind::kIdempotent, RequestKind::kNonIdempotent,
                          RequestKind::kStream);
}

/// Plays a request to its end; \p step is told each try's end.
struct Played {
  int may_have_run = 0;
  NextStep last = NextStep::kRetry;
};

Played Play(const routes::Route& route,
            const std::vector<AttemptOutcome>& ends) {
  Played played;
  AttemptCounts tries;
  for (const AttemptOutcome end : ends) {
    ++tries.total;
    const bool ran =
        end == AttemptOutcome::kUnknown || end == AttemptOutcome::kFailed;
    if (ran) ++tries.may_have_run;
    played.may_have_run = tries.may_have_run;
    played.last = NextStepAfter(route, tries, end, true);
    if (played.last != NextStep::kRetry) return played;
  }
  return played;
}

// Whatever happens at the endpoints, work that must not run twice runs at most
// once (I4), and "not run" is said only of what surely did not run (I3).
RC_BOOST_PROP(NonIdempotentRunsOnceAndRefusalsAreTrue, ()) {
  const auto kind = *AnyKind();
  const bool resumable = *rc::gen::arbitrary<bool>();
  const auto route = MakeRoute(kind, resumable, *rc::gen::inRange(1, 4));
  const auto ends =
      *rc::gen::container<std::vector<AttemptOutcome>>(12, AnyEnd());
  const Played played = Play(route, ends);
  if (!route.Repeatable()) RC_ASSERT(played.may_have_run <= 1);
  RC_ASSERT(played.may_have_run <= route.max_attempts);
  RC_ASSERT(played.last != NextStep::kRetry);
  if (played.last == NextStep::kRefuse) RC_ASSERT(played.may_have_run == 0);
}

BOOST_AUTO_TEST_CASE(FailureOfLastTryIsHandedOn) {
  const auto route = MakeRoute(RequestKind::kIdempotent, false, 2);
  BOOST_CHECK(NextStepAfter(route, {1, 1, false}, AttemptOutcome::kFailed,
                            true) == NextStep::kRetry);
  BOOST_CHECK(NextStepAfter(route, {2, 2, false}, AttemptOutcome::kFailed,
                            true) == NextStep::kRelayFailure);
  BOOST_CHECK(NextStepAfter(route, {1, 1, false}, AttemptOutcome::kFailed,
                            false) == NextStep::kRelayFailure);
}

// Part of an answer is out and the rest can't be had: the connection breaks, so
// that the part can't look whole (I2).
BOOST_AUTO_TEST_CASE(BegunAnswerIsBrokenOff) {
  const auto route = MakeRoute(RequestKind::kStream, false, 2);
  BOOST_CHECK(NextStepAfter(route, {1, 1, true}, AttemptOutcome::kUnknown,
                            true) == NextStep::kAbort);
  const auto resumable = MakeRoute(RequestKind::kStream, true, 2);
  BOOST_CHECK(NextStepAfter(resumable, {1, 1, true}, AttemptOutcome::kUnknown,
                            true) == NextStep::kRetry);
  BOOST_CHECK(NextStepAfter(resumable, {1, 1, true}, AttemptOutcome::kUnknown,
                            false) == NextStep::kAbort);
}

}  // namespace
}  // namespace toucanwharf::attempts
