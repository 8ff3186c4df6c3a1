#include "toucanwharf/admission/stop_plan.h"

#include <boost/test/unit_test.hpp>

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

}  // namespace
}  // namespace toucanwharf::admission
