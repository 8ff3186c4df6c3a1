#include "toucanwharf/store/call_limiter.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace toucanwharf::store {
namespace {

constexpr Duration kStep{std::chrono::milliseconds(10)};
constexpr int kInstances = 48;

/// Returns the calls of all instances together in each step, when each calls as
/// often as it may.
std::vector<int> SimulateOutage(int steps, int outage_begin, int outage_end) {
  std::vector<CallLimiter> limiters;
  for (std::uint64_t seed = 0; seed < kInstances; ++seed) {
    limiters.emplace_back(CallLimits{}, Random(seed));
  }
  std::vector<int> calls(static_cast<std::size_t>(steps), 0);
  ManualClock clock;
  for (int step = 0; step < steps; ++step, clock.Advance(kStep)) {
    const bool down = step >= outage_begin && step < outage_end;
    for (CallLimiter& limiter : limiters) {
      while (limiter.TryAcquire(clock.Now())) {
        ++calls[static_cast<std::size_t>(step)];
        if (down) {
          limiter.OnFailure(clock.Now());
          break;
        }
        limiter.OnSuccess();
      }
    }
  }
  return calls;
}

// The platform is down for a minute while 48 instances all want to write. On
// its return they would send everything in the same instant and take it down
// again. The limiters spread the return: no 10 ms sees more calls than the
// budget, and during the outage only a few probes a second go out.
BOOST_AUTO_TEST_CASE(ReturnAfterAnOutageIsNoBurst) {
  const std::vector<int> calls = SimulateOutage(8000, 1000, 7000);
  const int steady =
      *std::max_element(calls.begin() + 100, calls.begin() + 999);
  const int probes =
      *std::max_element(calls.begin() + 2000, calls.begin() + 6999);
  const int recovery = *std::max_element(calls.begin() + 7000, calls.end());
  BOOST_TEST(steady <= kInstances);
  BOOST_TEST(probes <= 6);
  BOOST_TEST(recovery <= kInstances);
}

BOOST_AUTO_TEST_CASE(BudgetBoundsCallsASecond) {
  const std::vector<int> calls = SimulateOutage(1000, 0, 0);
  int total = 0;
  for (const int count : calls) total += count;
  BOOST_TEST(total <= kInstances * (30 + 60 * 10));
}

}  // namespace
}  // namespace toucanwharf::store
