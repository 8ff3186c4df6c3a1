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

rc::Gen<AttemptOutcome> AnyOutcome() {
  return rc::gen::element(AttemptOutcome::kNotSent, AttemptOutcome::kNotRun,
                          AttemptOutcome::kUnknown, AttemptOutcome::kFailed);
}

rc::Gen<RequestKind> AnyKind() {
  return rc::gen::element(RequestKind::kIdempotent, RequestKind::kNonIdempotent,
                          RequestKind::kStream);
}

/// Outcome of a request.
struct Result {
  int may_have_run = 0;
  NextStep last = NextStep::kRetry;
};

Result RunAttempts(const routes::Route& route,
                   const std::vector<AttemptOutcome>& outcomes) {
  Result result;
  AttemptCounts counts;
  for (const AttemptOutcome outcome : outcomes) {
    ++counts.total;
    const bool ran = outcome == AttemptOutcome::kUnknown ||
                     outcome == AttemptOutcome::kFailed;
    if (ran) ++counts.may_have_run;
    result.may_have_run = counts.may_have_run;
    result.last = NextStepAfter(route, counts, outcome, true);
    if (result.last != NextStep::kRetry) return result;
  }
  return result;
}

// For any outcomes at the endpoints, a request that must not run twice runs at
// most once (I4), and "not run" is reported only if it certainly did not run
// (I3).
RC_BOOST_PROP(NonIdempotentRunsOnceAndRefusalsAreTrue, ()) {
  const auto kind = *AnyKind();
  const bool resumable = *rc::gen::arbitrary<bool>();
  const auto route = MakeRoute(kind, resumable, *rc::gen::inRange(1, 4));
  const auto outcomes =
      *rc::gen::container<std::vector<AttemptOutcome>>(12, AnyOutcome());
  const Result result = RunAttempts(route, outcomes);
  if (!route.Repeatable()) RC_ASSERT(result.may_have_run <= 1);
  RC_ASSERT(result.may_have_run <= route.max_attempts);
  RC_ASSERT(result.last != NextStep::kRetry);
  if (result.last == NextStep::kRefuse) RC_ASSERT(result.may_have_run == 0);
}

BOOST_AUTO_TEST_CASE(FailureOfLastAttemptIsRelayed) {
  const auto route = MakeRoute(RequestKind::kIdempotent, false, 2);
  BOOST_CHECK(NextStepAfter(route, {1, 1, false}, AttemptOutcome::kFailed,
                            true) == NextStep::kRetry);
  BOOST_CHECK(NextStepAfter(route, {2, 2, false}, AttemptOutcome::kFailed,
                            true) == NextStep::kRelayFailure);
  BOOST_CHECK(NextStepAfter(route, {1, 1, false}, AttemptOutcome::kFailed,
                            false) == NextStep::kRelayFailure);
}

// Part of an answer has been sent and the rest is unobtainable: the connection
// is aborted, so that the part can't look complete (I2).
BOOST_AUTO_TEST_CASE(StartedAnswerIsAborted) {
  const auto route = MakeRoute(RequestKind::kStream, false, 2);
  BOOST_CHECK(NextStepAfter(route, {1, 1, true}, AttemptOutcome::kUnknown,
                            true) == NextStep::kAbort);
  const auto resumable = MakeRoute(RequestKind::kStream, true, 2);
  BOOST_CHECK(NextStepAfter(resumable, {1, 1, true}, AttemptOutcome::kUnknown,
                            true) == NextStep::kRetry);
  BOOST_CHECK(NextStepAfter(resumable, {1, 1, true}, AttemptOutcome::kUnknown,
                            false) == NextStep::kAbort);
}

// Guards against an answer that ends as unknown because the instance that it
// was forwarded to counts a run of the forwarding one as its own: nothing ran
// there, and a third instance may go on.
BOOST_AUTO_TEST_CASE(RunsOfTheForwardingInstanceDoNotMakeARefusalUnknown) {
  const auto route = MakeRoute(RequestKind::kStream, true, 2);
  AttemptCounts counts{1, 2, false, 1};
  BOOST_CHECK(NextStepAfter(route, counts, AttemptOutcome::kNotSent, false) ==
              NextStep::kRefuse);
  counts.may_have_run = 2;
  BOOST_CHECK(NextStepAfter(route, counts, AttemptOutcome::kUnknown, false) ==
              NextStep::kUnknownOutcome);
}

// Guards against answers that are broken off within milliseconds, because the
// engines that could continue them refuse at the moment: their callers wait for
// the next event anyway.
BOOST_AUTO_TEST_CASE(StartedAnswerOutlastsRefusals) {
  const auto route = MakeRoute(RequestKind::kStream, true, 2);
  AttemptCounts counts{1, 1 + kMaxNotRunAttempts, true};
  BOOST_TEST(!PausesBeforeRetry(route, counts));
  for (int refusals = 0; refusals < 10; ++refusals) {
    ++counts.total;
    BOOST_CHECK(NextStepAfter(route, counts, AttemptOutcome::kNotRun, true) ==
                NextStep::kRetry);
    BOOST_TEST(PausesBeforeRetry(route, counts));
  }
  counts.answer_started = false;
  BOOST_CHECK(NextStepAfter(route, counts, AttemptOutcome::kNotRun, true) !=
              NextStep::kRetry);
  counts = {2, 9, true};
  BOOST_CHECK(NextStepAfter(route, counts, AttemptOutcome::kUnknown, true) ==
              NextStep::kAbort);
}

// Guards against a body that holds a part of one endpoint's answer and then the
// whole answer of another one.
RC_BOOST_PROP(PlainAnswerThatHasBegunIsNeverRetried, ()) {
  const auto kind =
      *rc::gen::element(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const bool resumable = *rc::gen::arbitrary<bool>();
  const auto route = MakeRoute(kind, resumable, *rc::gen::inRange(1, 4));
  AttemptCounts counts;
  counts.may_have_run = *rc::gen::inRange(0, 4);
  counts.total = counts.may_have_run + *rc::gen::inRange(0, 8);
  counts.answer_started = true;
  const AttemptOutcome outcome = *AnyOutcome();
  RC_ASSERT(!MayRetry(route, counts, outcome));
  RC_ASSERT(NextStepAfter(route, counts, outcome,
                          *rc::gen::arbitrary<bool>()) == NextStep::kAbort);
}

}  // namespace
}  // namespace toucanwharf::attempts
