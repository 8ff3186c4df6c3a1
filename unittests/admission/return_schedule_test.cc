#include "toucanwharf/admission/return_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <map>
#include <vector>

#include "toucanwharf/admission/answer_meter.h"

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLong = seconds(20);

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

/// Returns how many of \p retries wait for over 200 ms, as their callers don't,
/// if one is served each \p period. Capacity that nobody uses is lost.
int CountRefusedAgain(std::vector<TimePoint> retries, Duration period) {
  std::sort(retries.begin(), retries.end());
  TimePoint next_free;
  int refused = 0;
  for (const TimePoint retry : retries) {
    const TimePoint served = std::max(retry, next_free);
    const bool in_time = served - retry <= milliseconds(200);
    if (in_time) next_free = served + period;
    if (!in_time) ++refused;
  }
  return refused;
}

std::int64_t MillisOf(TimePoint time) {
  return std::chrono::duration_cast<milliseconds>(time.since_start).count();
}

// 900 callers refused within 300 ms retry together, and most are refused again,
// although capacity for all of them comes free within 2 s.
BOOST_AUTO_TEST_CASE(NoSlotGetsMoreRetriesThanCapacity) {
  for (const std::size_t waiting : {0U, 90U}) {
    ReturnSchedule schedule;
    Random random(7);
    std::map<std::int64_t, int> retries;
    for (int caller = 0; caller < 900; ++caller) {
      const TimePoint now = At(1000 + caller / 3);
      const auto delay = schedule.Schedule(now, 0, 450, waiting, kLong, random);
      BOOST_REQUIRE(delay.has_value());
      ++retries[MillisOf(now + *delay) / 100];
    }
    for (const auto& [slot, count] : retries) BOOST_TEST(count <= 45);
    const std::int64_t free_from = 11 + static_cast<std::int64_t>(waiting) / 45;
    BOOST_TEST(retries.begin()->first >= free_from - 1);
    BOOST_TEST(retries.rbegin()->first <= free_from + 21);
  }
}

// A second refusal is worth less to a caller than a late answer: under 1 in 50
// may get one. With 400 ms for all, times 0.75 to 1.25, 602 of 900 do.
BOOST_AUTO_TEST_CASE(FewCallersAreRefusedAgain) {
  constexpr Duration kPeriod = Duration(seconds(1)) / 450;
  ReturnSchedule schedule;
  Random random(7);
  std::vector<TimePoint> scheduled;
  std::vector<TimePoint> together;
  for (int caller = 0; caller < 900; ++caller) {
    const TimePoint now = At(1000 + caller / 3);
    const auto delay =
        schedule.Schedule(now, caller % 3, 450, 0, kLong, random);
    scheduled.push_back(now + delay.value());
    together.push_back(now + milliseconds(300 + random.Below(200)));
  }
  BOOST_TEST(CountRefusedAgain(scheduled, kPeriod) < 900 / 50);
  BOOST_TEST(CountRefusedAgain(together, kPeriod) > 900 / 2);
}

// Capacity for less than one request a slot must neither be lost to rounding
// nor be promised several times.
BOOST_AUTO_TEST_CASE(FractionsOfCapacityCarryOver) {
  ReturnSchedule schedule;
  Random random(7);
  std::vector<std::int64_t> slots;
  for (int caller = 0; caller < 10; ++caller) {
    const auto delay = schedule.Schedule(At(0), 0, 4, 0, kLong, random);
    slots.push_back(MillisOf(At(0) + delay.value()) / 100);
  }
  const std::vector<std::int64_t> expected{2, 4, 7, 9, 12, 14, 17, 19, 22, 24};
  BOOST_TEST(slots == expected, boost::test_tools::per_element());
}

// Without its part of each slot an urgent caller waits for all that were
// refused before it.
BOOST_AUTO_TEST_CASE(MoreUrgentRanksRetryEarlier) {
  ReturnSchedule schedule;
  Random random(7);
  std::map<int, double> sum;
  for (int caller = 0; caller < 600; ++caller) {
    const int rank = caller % 6 == 0 ? 0 : caller % 6 < 3 ? 1 : 2;
    const auto delay =
        schedule.Schedule(At(1000 + caller / 2), rank, 400, 0, kLong, random);
    const int callers = rank == 0 ? 100 : rank == 1 ? 200 : 300;
    sum[rank] += static_cast<double>(delay.value().count()) / callers;
  }
  BOOST_TEST(sum[0] < sum[1]);
  BOOST_TEST(sum[1] < sum[2]);
}

// The same where the less urgent callers were all refused before it.
BOOST_AUTO_TEST_CASE(UrgentCallerFindsAnEarlySlot) {
  ReturnSchedule schedule;
  Random random(7);
  for (int caller = 0; caller < 600; ++caller) {
    schedule.Schedule(At(1000), 2, 400, 0, kLong, random);
  }
  const auto urgent = schedule.Schedule(At(1000), 0, 400, 0, kLong, random);
  const auto other = schedule.Schedule(At(1000), 2, 400, 0, kLong, random);
  BOOST_TEST((*urgent <= milliseconds(200)));
  BOOST_TEST((*other >= milliseconds(1500)));
}

// A shortage of any size, or a rate or rank that makes no sense, must not give
// a delay that callers ignore.
BOOST_AUTO_TEST_CASE(DelayStaysWithinItsBounds) {
  ReturnSchedule schedule;
  Random random(7);
  for (int caller = 0; caller < 2000; ++caller) {
    const Duration left = milliseconds(caller % 7 * 1500);
    const auto delay = schedule.Schedule(At(1000 + caller), caller % 30 - 10,
                                         20, 1'000'000, left, random);
    BOOST_TEST((*delay >= milliseconds(100)));
    BOOST_TEST((*delay <= std::max<Duration>(milliseconds(100), left / 3)));
    BOOST_TEST((*delay <= seconds(3)));
  }
  BOOST_TEST((*schedule.Schedule(At(5055), 0, 20, 5000, milliseconds(300),
                                 random) == milliseconds(100)));
}

// A delay computed from no knowledge would send callers away for seconds.
BOOST_AUTO_TEST_CASE(UnknownRateSchedulesNothing) {
  ReturnSchedule schedule;
  Random random(7);
  for (const double rate : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity()}) {
    BOOST_TEST(!schedule.Schedule(At(0), 0, rate, 0, kLong, random));
  }
}

// Soon after a start a mean over seconds reports far too little, and callers
// would stay away longer than the shortage lasts.
BOOST_AUTO_TEST_CASE(AnswerRateIsRightSoonAfterAStart) {
  AnswerMeter meter;
  BOOST_TEST(meter.PerSecond(At(0)) == 0);
  meter.Record(At(9000));
  meter.Record(At(9001));
  BOOST_TEST(meter.PerSecond(At(9001)) == 0);
  for (int now = 9020; now <= 19000; now += 20) {
    meter.Record(At(now));
    if (now < 9500) continue;
    BOOST_TEST(meter.PerSecond(At(now)) > 45);
    BOOST_TEST(meter.PerSecond(At(now)) < 57);
  }
  BOOST_TEST(meter.PerSecond(At(29000)) == 0);
}

}  // namespace
}  // namespace toucanwharf::admission
