#include "toucanwharf/attempts/startup_wait.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::attempts {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

// A fleet restarts after a power loss, and two hundred callers come back
// immediately. All of them wait, but none once the store has had its time to
// answer.
BOOST_AUTO_TEST_CASE(CallersRightAfterTheStartWait) {
  StartupWait wait(At(1000));
  constexpr int kCallers = 200;
  constexpr std::size_t kBytes = 1500;
  for (int i = 0; i < kCallers; ++i) {
    BOOST_REQUIRE(wait.Enter(kBytes, At(1005)));
  }
  BOOST_TEST(wait.Enter(kBytes, At(1249)));
  BOOST_TEST(!wait.Enter(kBytes, At(1250)));
  BOOST_TEST(wait.Expired(At(1250)));
}

// Requests with large bodies must not exhaust the memory of a small instance.
BOOST_AUTO_TEST_CASE(WaitingBytesAreBounded) {
  StartupWait wait(At(0), {milliseconds(250), 1000});
  BOOST_TEST(wait.Enter(600, At(1)));
  BOOST_TEST(!wait.Enter(600, At(1)));
  wait.Leave(600);
  BOOST_TEST(wait.Enter(600, At(1)));
}

}  // namespace
}  // namespace toucanwharf::attempts
