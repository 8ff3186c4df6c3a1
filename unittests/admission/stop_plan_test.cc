#include "toucanwharf/admission/stop_plan.h"

#include <boost/test/unit_test.hpp>

#include "toucanwharf/admission/answer_times.h"

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kNews = milliseconds(2800);

// Guards against an end of the process that comes before the last answers, or
// after the kill.
BOOST_AUTO_TEST_CASE(LastAnswersPrecedeTheExitAndTheKill) {
  for (const Duration grace :
       {Duration(milliseconds(200)), Duration(seconds(1)), Duration(seconds(2)),
        Duration(seconds(8)), Duration(seconds(120))}) {
    const StopPlan plan(grace, kNews);
    BOOST_TEST(plan.AnswerBy().count() > 0);
    BOOST_TEST(plan.AnswerBy().count() < plan.ExitBy().count());
    BOOST_TEST(plan.ExitBy().count() < grace.count());
  }
}

// Guards against a margin that takes most of a short grace time.
BOOST_AUTO_TEST_CASE(MarginIsASmallPartOfTheGraceTime) {
  BOOST_TEST(StopPlan(seconds(2), kNews).AnswerBy().count() ==
             Duration(milliseconds(1750)).count());
  BOOST_TEST(StopPlan(seconds(8), kNews).AnswerBy().count() ==
             Duration(milliseconds(7600)).count());
}

constexpr Duration kStep = milliseconds(50);

// Guards against a request that is taken in a stop and cut by its end.
BOOST_AUTO_TEST_CASE(WhatIsNotKnownIsTakenOnlyIfItIsFinished) {
  for (const Duration grace :
       {Duration(seconds(2)), Duration(seconds(8)), Duration(seconds(30))}) {
    const StopPlan plan(grace, kNews);
    for (Duration left = kStep; left < 2 * grace; left += kStep) {
      for (Duration at(0); at < grace; at += kStep) {
        const bool fits = at + left <= plan.AnswerBy();
        BOOST_TEST(plan.MayTake(at, {left, std::nullopt}) == fits);
      }
    }
  }
}

// Guards against long answers that are taken late in a stop, as they usually
// are shorter, and are cut by its end.
BOOST_AUTO_TEST_CASE(LateInAStopOnlyWhatIsSureToBeFinishedIsTaken) {
  const StopPlan plan(seconds(8), kNews);
  for (Duration at = seconds(3); at < seconds(8); at += kStep) {
    BOOST_TEST(!plan.MayTake(at, {seconds(20), kStep}));
    const bool fits = at + milliseconds(800) <= plan.AnswerBy();
    BOOST_TEST(plan.MayTake(at, {milliseconds(800), kStep}) == fits);
  }
}

// Guards against refusals that leave callers no place to go while all instances
// stop, and against answers that a short stop usually cuts.
BOOST_AUTO_TEST_CASE(UntilCallersKnowWhatIsUsuallyFinishedIsTaken) {
  const ExpectedTime stream{seconds(20), seconds(3)};
  for (Duration at(0); at < milliseconds(2500); at += kStep) {
    BOOST_TEST(StopPlan(seconds(8), kNews).MayTake(at, stream));
    BOOST_TEST(!StopPlan(seconds(2), kNews).MayTake(at, stream));
  }
  const ExpectedTime unknown{seconds(20), std::nullopt};
  BOOST_TEST(!StopPlan(seconds(8), kNews).MayTake(seconds(1), unknown));
}

// Guards against a call of a usual length that is taken so late that the stop
// ends it.
BOOST_AUTO_TEST_CASE(WhatIsExpectedToOutlastTheStopIsNotTaken) {
  const StopPlan plan(seconds(8), kNews);
  for (Duration usual = seconds(5); usual < seconds(9); usual += kStep) {
    for (Duration at(0); at < seconds(8); at += kStep) {
      const bool fits = at + usual <= plan.AnswerBy() && at <= kNews;
      BOOST_TEST(plan.MayTake(at, {seconds(20), usual}) == fits);
    }
  }
  BOOST_TEST(plan.MayTake(seconds(5), {seconds(2), std::nullopt}));
}

// Guards against a call that is trusted to be short by a few runs.
BOOST_AUTO_TEST_CASE(LongestOfFewAnswersSaysNothing) {
  AnswerTimes times;
  for (int i = 0; i < 15; ++i) times.Record("r", milliseconds(100));
  BOOST_TEST(!times.LongestOf("r").has_value());
  times.Record("r", milliseconds(100));
  BOOST_TEST(times.LongestOf("r").has_value());
}

BOOST_AUTO_TEST_CASE(MedianOfTheLastAnswersCounts) {
  AnswerTimes times;
  BOOST_TEST(!times.MedianOf("r").has_value());
  times.Record("other", seconds(20));
  for (int i = 0; i < 100; ++i) times.Record("r", seconds(9));
  for (int i = 0; i < 32; ++i) times.Record("r", milliseconds(100));
  BOOST_TEST(times.MedianOf("r")->count() == Duration(seconds(9)).count());
  for (int i = 0; i < 32; ++i) times.Record("r", milliseconds(100));
  BOOST_TEST(times.MedianOf("r")->count() ==
             Duration(milliseconds(100)).count());
  BOOST_TEST(times.LongestOf("r")->count() ==
             Duration(milliseconds(100)).count());
  times.Record("r", seconds(7));
  BOOST_TEST(times.LongestOf("r")->count() == Duration(seconds(7)).count());
}

}  // namespace
}  // namespace toucanwharf::admission
