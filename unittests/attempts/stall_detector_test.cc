#include "toucanwharf/attempts/stall_detector.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace toucanwharf::attempts {
namespace {

using std::chrono::milliseconds;

constexpr Duration kObjective = milliseconds(500);
constexpr Duration kAllowedPause = milliseconds(200);

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

StallDetector PaceWithGaps(int gap_millis) {
  StallDetector pace(kObjective);
  constexpr int kEvents = 20;
  for (int at = 0; at < kEvents; ++at) pace.OnEvent(At(at * gap_millis));
  return pace;
}

// A caller counts a pause over 200 ms as late. While events come at a usual
// pace the engines must be asked when half of it is left.
RC_BOOST_PROP(QuestionLeavesTimeForTheWayAround, ()) {
  const StallDetector pace = PaceWithGaps(*rc::gen::inRange(1, 60));
  RC_ASSERT(pace.StallTimeout() <= kAllowedPause / 2);
  RC_ASSERT(pace.SuspectedStallTimeout() <= pace.StallTimeout());
}

// Where all engines are slow, answers must not turn into questions.
RC_BOOST_PROP(QuestionsAreRarerThanEvents, ()) {
  const int gap = *rc::gen::inRange(1, 2000);
  RC_ASSERT(PaceWithGaps(gap).StallTimeout() >= milliseconds(gap));
}

BOOST_AUTO_TEST_CASE(FastAnswerIsDoubtedSoon) {
  BOOST_CHECK(PaceWithGaps(20).StallTimeout() == milliseconds(60));
}

// A fleet whose gaps vary between 20 and 80 ms without any fault got 8,000
// questions on a calm day, more than requests.
BOOST_AUTO_TEST_CASE(VaryingGapsGetMoreTime) {
  StallDetector pace(kObjective);
  int at = 0;
  for (int event = 0; event < 20; ++event) {
    at += event % 2 == 0 ? 20 : 80;
    pace.OnEvent(At(at));
  }
  BOOST_CHECK(pace.StallTimeout() > milliseconds(100));
}

BOOST_AUTO_TEST_CASE(BeforeTheFirstEventTheObjectiveCounts) {
  StallDetector pace(kObjective);
  BOOST_CHECK(pace.StallTimeout() == milliseconds(200));
  pace.OnEvent(At(0));
  BOOST_CHECK(pace.StallTimeout() < milliseconds(200));
  pace.Restart();
  BOOST_CHECK(pace.StallTimeout() == milliseconds(200));
}

}  // namespace
}  // namespace toucanwharf::attempts
