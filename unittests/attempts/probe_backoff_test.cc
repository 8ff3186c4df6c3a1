#include "toucanwharf/attempts/probe_backoff.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::attempts {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

// Engines that are well got 8,000 questions on a calm day with 3,100 requests:
// a path's answers paused together about once a second. After some questions in
// vain the router waits three times as long, and forgets it in a calm minute.
BOOST_AUTO_TEST_CASE(QuestionsInVainMakeTheRouterWait) {
  ProbeBackoff restraint;
  BOOST_TEST(restraint.Factor(At(0)) == 1);
  for (int second = 1; second <= 5; ++second) {
    restraint.OnFalseAlarm(At(second * 1000));
  }
  BOOST_TEST(restraint.Factor(At(5000)) > 2.8);
  BOOST_TEST(restraint.Factor(At(60000)) == 1);
}

BOOST_AUTO_TEST_CASE(AnswersThatPauseTogetherAreOneAlarm) {
  ProbeBackoff restraint;
  for (int answer = 0; answer < 20; ++answer) {
    restraint.OnFalseAlarm(At(1000 + answer));
  }
  BOOST_TEST(restraint.Factor(At(1020)) < 1.6);
}

}  // namespace
}  // namespace toucanwharf::attempts
