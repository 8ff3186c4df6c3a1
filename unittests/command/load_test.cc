#include <boost/test/unit_test.hpp>
#include <map>

#include "toucanwharf/command/load_plan.h"
#include "toucanwharf/command/load_report.h"

namespace toucanwharf::command {
namespace {

constexpr int kArrivals = 20000;
constexpr double kRate = 100;

BOOST_AUTO_TEST_CASE(ArrivalsRepeatForASeedAndDifferBetweenSeeds) {
  ArrivalSource first(*FindProfile("atlas"), kRate, 7);
  ArrivalSource same_seed(*FindProfile("atlas"), kRate, 7);
  ArrivalSource other_seed(*FindProfile("atlas"), kRate, 8);
  bool differs = false;
  for (int count = 0; count < 100; ++count) {
    const Arrival arrival = first.Next();
    BOOST_TEST((arrival == same_seed.Next()));
    differs = differs || !(arrival == other_seed.Next());
  }
  BOOST_TEST(differs);
}

BOOST_AUTO_TEST_CASE(MixFollowsTheProfile) {
  const LoadProfile profile = *FindProfile("rangi");
  ArrivalSource source(profile, kRate, 7);
  std::map<std::size_t, int> by_customer;
  int to_service = 0;
  Arrival last;
  for (int count = 0; count < kArrivals; ++count) {
    last = source.Next();
    ++by_customer[last.customer];
    if (last.to_service) ++to_service;
  }
  const double seconds = static_cast<double>(last.offset.count()) / 1e6;
  BOOST_TEST(kArrivals / seconds == kRate, boost::test_tools::tolerance(0.05));
  BOOST_TEST(to_service / double{kArrivals} == profile.service_fraction,
             boost::test_tools::tolerance(0.05));
  BOOST_TEST(by_customer[0] / static_cast<double>(by_customer[2]) == 6.0,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(UnknownProfileIsNone) {
  BOOST_TEST(!FindProfile("other").has_value());
}

BOOST_AUTO_TEST_CASE(PercentilesAreNearestRanks) {
  std::vector<Duration> samples;
  for (int value = 100; value >= 1; --value) samples.emplace_back(value);
  BOOST_TEST(Percentile(samples, 0.5).count() == 50);
  BOOST_TEST(Percentile(samples, 0.95).count() == 95);
  BOOST_TEST(Percentile(samples, 1.0).count() == 100);
  BOOST_TEST(Percentile({}, 0.5).count() == 0);
}

}  // namespace
}  // namespace toucanwharf::command
