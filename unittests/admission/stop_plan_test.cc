#include "toucanwharf/admission/stop_plan.h"

#include <boost/test/unit_test.hpp>

#include "toucanwharf/admission/answer_times.h"

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an end of the process that comes before the last answers, or
// after the kill.
BOOST_AUTO_TEST_CASE(LastAnswersPrecedeTheExitAndTheKill) {
  for (const Duration grace :
       {Duration(milliseconds(200)), Duration(seconds(1)), Duration(seconds(2)),
        Duration(seconds(8)), Duration(seconds(120))}) {
    const StopPlan plan(grace);
    BOOST_TEST(plan.AnswerBy().count() > 0);
    BOOST_TEST(plan.AnswerBy().count() < plan.ExitBy().count());
    BOOST_TEST(plan.ExitBy().count() < grace.count());
  }
}

// Guards against a margin that takes most of a short grace time.
BOOST_AUTO_TEST_CASE(MarginIsASmallPartOfTheGraceTime) {
  BOOST_TEST(StopPlan(seconds(2)).AnswerBy().count() ==
             Duration(milliseconds(1750)).count());
  BOOST_TEST(StopPlan(seconds(8)).AnswerBy().count() ==
             Duration(milliseconds(7600)).count());
}

// Guards against a request that is taken in a stop and cut by its end.
BOOST_AUTO_TEST_CASE(NothingIsTakenThatOutlastsTheStop) {
  constexpr Duration kStep = milliseconds(50);
  for (const Duration grace :
       {Duration(seconds(2)), Duration(seconds(8)), Duration(seconds(30))}) {
    const StopPlan plan(grace);
    for (Duration length = kStep; length < 2 * grace; length += kStep) {
      for (Duration at(0); at < grace; at += kStep) {
        const bool fits = at + length <= plan.AnswerBy();
        BOOST_TEST(plan.MayTake(at, {length, std::nullopt, false}) == fits);
        BOOST_TEST(plan.MayTake(at, {2 * grace, length, true}) == fits);
      }
    }
  }
}

// Guards against a usual time that is trusted for what must not run twice.
BOOST_AUTO_TEST_CASE(WhatMustNotRunTwiceIsAllowedAllItsTime) {
  const StopPlan plan(seconds(8));
  BOOST_TEST(
      !plan.MayTake(milliseconds(10), {seconds(20), milliseconds(100), false}));
  BOOST_TEST(plan.MayTake(seconds(5), {seconds(2), std::nullopt, false}));
}

// Guards against refusals of what a route surely finishes, while callers don't
// know of the stop yet.
BOOST_AUTO_TEST_CASE(ShortRequestsAreTakenUntilNearTheEnd) {
  const StopPlan plan(seconds(8));
  const ExpectedTime expected{seconds(20), milliseconds(300), true};
  BOOST_TEST(plan.MayTake(seconds(7), expected));
  BOOST_TEST(!plan.MayTake(milliseconds(7400), expected));
}

BOOST_AUTO_TEST_CASE(LongestOfTheLastAnswersCounts) {
  AnswerTimes times;
  BOOST_TEST(!times.LongestOf("r").has_value());
  times.Record("r", seconds(9));
  times.Record("other", seconds(20));
  for (int i = 0; i < 63; ++i) times.Record("r", milliseconds(100 + i));
  BOOST_TEST(times.LongestOf("r")->count() == Duration(seconds(9)).count());
  times.Record("r", milliseconds(1));
  BOOST_TEST(times.LongestOf("r")->count() ==
             Duration(milliseconds(162)).count());
}

}  // namespace
}  // namespace toucanwharf::admission
