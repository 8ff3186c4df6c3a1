#include <boost/test/unit_test.hpp>
#include <string>

#include "toucanwharf/instance/metrics.h"
#include "toucanwharf/instance/resource_plan.h"
#include "toucanwharf/instance/resource_watch.h"

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSystemMemory = 24'000'000'000;
constexpr std::uint64_t kSystemDescriptors = 20'000;

BOOST_AUTO_TEST_SUITE(ResourceTest)

BOOST_AUTO_TEST_CASE(PlanKeepsWithinTheMachine) {
  const ResourcePlan stated =
      PlanResources({260'000'000, 4200}, kSystemMemory, kSystemDescriptors);
  BOOST_TEST(stated.buffer_bytes == 104'000'000U);
  BOOST_TEST(stated.answer_bytes == 32'500'000U);
  BOOST_TEST(stated.connections == 3984U);
  // The system lets the process have less than the settings say.
  const ResourcePlan less =
      PlanResources({260'000'000, 4200}, 100'000'000, 1024);
  BOOST_TEST(less.buffer_bytes == 40'000'000U);
  BOOST_TEST(less.connections == 808U);
  const ResourcePlan unstated =
      PlanResources({}, kSystemMemory, kSystemDescriptors);
  BOOST_TEST(unstated.connections == kSystemDescriptors - 216);
}

// Guards against a log that grows with each request of a crowd.
BOOST_AUTO_TEST_CASE(FewLinesTellOfPeaksAndShortages) {
  http::Resources resources(1'000'000, 1000);
  ResourceWatch watch;
  int peaks = 0;
  int shortages = 0;
  resources::Lease lease(resources.buffers);
  for (int step = 0; step < 1000; ++step) {
    const TimePoint now{step * milliseconds(10)};
    lease.Resize(1000UL * static_cast<std::size_t>(step));
    ++resources.counters.evicted_requests;
    if (watch.NewPeak(resources)) ++peaks;
    if (watch.Shortage(resources, now)) ++shortages;
  }
  BOOST_TEST(peaks == 4);
  BOOST_TEST(shortages == 10);
}

BOOST_AUTO_TEST_CASE(CalmWritesNoLine) {
  const http::Resources resources(1'000'000, 1000);
  ResourceWatch watch;
  BOOST_TEST(!watch.NewPeak(resources).has_value());
  BOOST_TEST(!watch.Shortage(resources, TimePoint{seconds(1)}).has_value());
}

// Guards against memory of a crowd that the process keeps, so that the next one
// comes on top of it; and against giving it back all the time.
BOOST_AUTO_TEST_CASE(MemoryIsGivenBackAfterACrowd) {
  constexpr std::size_t kCrowd = 50'000'000;
  ResourceWatch watch;
  BOOST_TEST(!watch.HasFreeMemory(100'000, TimePoint{seconds(1)}));
  BOOST_TEST(!watch.HasFreeMemory(kCrowd, TimePoint{seconds(2)}));
  BOOST_TEST(watch.HasFreeMemory(kCrowd / 3, TimePoint{seconds(3)}));
  BOOST_TEST(!watch.HasFreeMemory(1000, TimePoint{milliseconds(3500)}));
  BOOST_TEST(watch.HasFreeMemory(1000, TimePoint{seconds(4)}));
  BOOST_TEST(!watch.HasFreeMemory(1000, TimePoint{seconds(9)}));
}

BOOST_AUTO_TEST_CASE(MetricsTellHowFullTheAccountsAre) {
  http::Resources resources(1000, 100, 64);
  const resources::Lease lease(resources.buffers, 250);
  const std::string text = ResourceMetricsText(resources);
  for (const std::string line :
       {"buffered_bytes 250", "buffered_limit_bytes 1000",
        "limit_connections 100", "evicted_requests_total 0",
        "answer_limit_bytes 64", "evicted_answers_total 0"}) {
    BOOST_TEST(text.find("toucanwharf_" + line + "\n") != std::string::npos,
               line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::instance
