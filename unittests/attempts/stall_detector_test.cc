#include "toucanwharf/attempts/stall_detector.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace toucanwharf::attempts {
namespace {

using std::chrono::milliseconds;

constexpr Duration kObjective = milliseconds(500);
constexpr Duration kAllowedPause = milliseconds(200);

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

StallDetector DetectorWithGaps(int gap_millis) {
  StallDetector detector(kObjective);
  constexpr int kEvents = 20;
  for (int i = 0; i < kEvents; ++i) detector.OnEvent(At(i * gap_millis));
  return detector;
}

// A caller counts a pause over 200 ms as late. While events come at a regular
// rate the engines must be probed when half of it is left.
RC_BOOST_PROP(ProbeLeavesTimeForARerouting, ()) {
  const StallDetector detector = DetectorWithGaps(*rc::gen::inRange(1, 60));
  RC_ASSERT(detector.StallTimeout() <= kAllowedPause / 2);
  RC_ASSERT(detector.SuspectedStallTimeout() <= detector.StallTimeout());
}

// Where all engines are slow, probes must not replace answers.
RC_BOOST_PROP(ProbesAreRarerThanEvents, ()) {
  const int gap = *rc::gen::inRange(1, 2000);
  RC_ASSERT(DetectorWithGaps(gap).StallTimeout() >= milliseconds(gap));
}

BOOST_AUTO_TEST_CASE(FastAnswerIsProbedEarly) {
  BOOST_CHECK(DetectorWithGaps(20).StallTimeout() == milliseconds(60));
}

// Guards against probes at ordinary gaps: a fleet whose gaps vary between 20
// and 80 ms without any fault got 8,000 probes on a calm day, more than
// requests.
BOOST_AUTO_TEST_CASE(VaryingGapsGetMoreTime) {
  StallDetector detector(kObjective);
  int millis = 0;
  for (int event = 0; event < 20; ++event) {
    millis += event % 2 == 0 ? 20 : 80;
    detector.OnEvent(At(millis));
  }
  BOOST_CHECK(detector.StallTimeout() > milliseconds(100));
}

BOOST_AUTO_TEST_CASE(BeforeTheFirstEventTheObjectiveCounts) {
  StallDetector detector(kObjective);
  BOOST_CHECK(detector.StallTimeout() == milliseconds(200));
  detector.OnEvent(At(0));
  BOOST_CHECK(detector.StallTimeout() < milliseconds(200));
  detector.Restart();
  BOOST_CHECK(detector.StallTimeout() == milliseconds(200));
}

}  // namespace
}  // namespace toucanwharf::attempts
