#include "toucanwharf/attempts/outage_return.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::attempts {
namespace {

using std::chrono::milliseconds;

// Plays a load: the store is away for eight seconds, callers come all the time
// and try once more. Guards against callers that spend their last try on the
// same outage.
BOOST_AUTO_TEST_CASE(MostCallersComeBackAfterTheOutage) {
  constexpr int kOutageMillis = 8000;
  constexpr int kKeysHoldMillis = 4900;
  int refused = 0;
  int served = 0;
  for (int at = kKeysHoldMillis; at < kOutageMillis; at += 10) {
    ++refused;
    const Duration wait = ReturnAfterOutage(milliseconds(at), true);
    if (milliseconds(at) + wait >= milliseconds(kOutageMillis)) ++served;
  }
  BOOST_TEST(served * 10 >= refused * 9);
}

// Guards against callers kept away by one instance that is cut off, while all
// others would serve them.
BOOST_AUTO_TEST_CASE(OneInstanceCutOffSendsCallersElsewhereSoon) {
  BOOST_CHECK(ReturnAfterOutage(milliseconds(9000), false) == kReturnElsewhere);
  BOOST_CHECK(ReturnAfterOutage(std::nullopt, true) == kReturnElsewhere);
}

BOOST_AUTO_TEST_CASE(NobodyIsToldToComeBackWhenCallersHaveLeft) {
  BOOST_CHECK(ReturnAfterOutage(std::chrono::minutes(1), true) ==
              kLongestReturn);
}

}  // namespace
}  // namespace toucanwharf::attempts
