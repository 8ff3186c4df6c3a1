#include "toucanwharf/timeline/hybrid_clock.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "toucanwharf/support/random.h"

namespace toucanwharf::timeline {
namespace {

constexpr std::uint64_t kEpoch = 1'800'000'000'000;
constexpr std::uint64_t kInstances = 6;
constexpr int kMessages = 20000;

struct Misordered {
  int by_wall = 0;
  int by_stamp = 0;
};

/// Sends messages between instances whose wall clocks are off by up to
/// \p skew_millis in either direction, and counts the misordered causal pairs
/// of a send and its receipt. A message takes up to 1 ms, the pause before the
/// next one up to 20 ms. Equal times count as misordered, since a sort by time
/// alone may put the effect first.
Misordered CountMisordered(std::uint64_t skew_millis, std::uint64_t seed) {
  Random random(seed);
  std::vector<HybridClock> clocks(kInstances);
  std::vector<std::uint64_t> offsets;
  for (std::uint64_t index = 0; index < kInstances; ++index) {
    offsets.push_back(kEpoch + random.Below(2 * skew_millis + 1));
  }
  Misordered misordered;
  std::uint64_t micros = 0;
  for (int message = 0; message < kMessages; ++message) {
    const std::uint64_t from = random.Below(kInstances);
    const std::uint64_t to =
        (from + 1 + random.Below(kInstances - 1)) % kInstances;
    micros += random.Below(20000);
    const std::uint64_t sent_wall = offsets[from] + micros / 1000;
    const Stamp sent = clocks[from].Tick(sent_wall);
    micros += 200 + random.Below(800);
    const std::uint64_t read_wall = offsets[to] + micros / 1000;
    clocks[to].Observe(sent, read_wall);
    const Stamp read = clocks[to].Tick(read_wall);
    if (read_wall <= sent_wall) ++misordered.by_wall;
    if (read <= sent) ++misordered.by_stamp;
  }
  return misordered;
}

// With wall clocks that differ by a few milliseconds, a time line ordered by
// them can show that an answer resumed on one instance before its stage was
// lost on another, and an operator then looks for the wrong fault.
BOOST_AUTO_TEST_CASE(EffectsComeAfterCausesUnderSkew) {
  for (const std::uint64_t skew : {0, 1, 5, 50, 500}) {
    const Misordered misordered = CountMisordered(skew, 7);
    BOOST_TEST_MESSAGE("skew up to " << skew << " ms: misordered of "
                                     << kMessages << " pairs: by wall clock "
                                     << misordered.by_wall << ", by stamp "
                                     << misordered.by_stamp);
    BOOST_TEST(misordered.by_stamp == 0);
    BOOST_TEST(misordered.by_wall > 0);
  }
}

// One instance starts with its clock years ahead. Every instance that receives
// its messages would adopt that date for all later events.
BOOST_AUTO_TEST_CASE(RemoteClockTooFarAheadIsIgnored) {
  HybridClock clock;
  clock.Observe(Stamp{kEpoch + kMaxRemoteLeadMillis + 1, 0}, kEpoch);
  BOOST_TEST((clock.Tick(kEpoch) == Stamp{kEpoch, 0}));
}

RC_BOOST_PROP(TicksRiseWhateverTheWallClockDoes,
              (const std::vector<std::uint64_t>& walls)) {
  HybridClock clock;
  Stamp last;
  for (const std::uint64_t wall : walls) {
    const Stamp next = clock.Tick(wall);
    RC_ASSERT(next > last);
    last = next;
  }
}

RC_BOOST_PROP(StampsRoundTripThroughText,
              (std::uint64_t millis, std::uint32_t n)) {
  RC_ASSERT(ParseStamp(ToText(Stamp{millis, n})) == (Stamp{millis, n}));
}

}  // namespace
}  // namespace toucanwharf::timeline
