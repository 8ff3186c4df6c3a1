#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "test/process/crashing_runs.h"
#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::Endpoints;

// Guards against a request that crashes each engine that runs it being sent on
// to one engine after another, at whichever router it comes back.
BOOST_AUTO_TEST_CASE(RequestThatCrashesEnginesIsNotSentOnAndOn) {
  PlatformFleet fleet(kRouters);
  SendRepeatedly(45, 250, [&](int number) { StreamCrashing(fleet, number); });
  BOOST_TEST(LateRuns(fleet) <= kMaxLateRuns);
}

// Guards against the same at plain endpoints, where one may run it only once.
BOOST_AUTO_TEST_CASE(RequestThatCrashesPlainEndpointsIsNotSentOnAndOn) {
  PlatformFleet fleet(kRouters);
  SendRepeatedly(45, 250, [&](int number) {
    fleet.Plain(static_cast<std::size_t>(number) % kRouters, "/sign/x",
                "crashing-" + std::to_string(number), PlatformFleet::kKey,
                Endpoints::kCrashingContent);
  });
  BOOST_TEST(LateRuns(fleet) <= kMaxLateRuns);
}

// Guards against a quarantine that is forgotten when all routers restart.
BOOST_AUTO_TEST_CASE(QuarantineOutlivesARestartOfAllRouters) {
  PlatformFleet fleet(kRouters);
  SendRepeatedly(8, 250, [&](int number) { StreamCrashing(fleet, number); });
  Pause(500);
  for (std::size_t i = 0; i < kRouters; ++i) fleet.Router(i).Kill();
  const std::size_t before = CrashingRuns(fleet).size();
  for (std::size_t i = 0; i < kRouters; ++i) fleet.StartRouter(i);
  for (std::size_t i = 0; i < kRouters; ++i) {
    BOOST_REQUIRE(PlatformFleet::Eventually([&] { return fleet.Ready(i); }));
  }
  SendRepeatedly(9, 50, [&](int number) { StreamCrashing(fleet, number); });
  BOOST_TEST(CrashingRuns(fleet).size() == before);
}

// Operators lift a quarantine by removing its object from the store.
BOOST_AUTO_TEST_CASE(RemovedObjectLiftsTheQuarantine) {
  PlatformFleet fleet(kRouters);
  const std::string id = "after";
  const auto refused = [&](std::size_t router) {
    const EventStream stream =
        fleet.Stream(router, id, "/chat/one", 0, Endpoints::kCrashingContent);
    return stream.answer.status == http::kUnavailable;
  };
  SendRepeatedly(8, 250, [&](int number) { StreamCrashing(fleet, number); });
  BOOST_TEST(refused(0));
  std::vector<std::string> names;
  const auto stored = [&] {
    fleet.RunOnLoop([&] { names = fleet.Store().Names("quarantine"); });
    return names.size() == 1;
  };
  BOOST_REQUIRE(PlatformFleet::Eventually(stored));
  // The leader has to have seen it before.
  Pause(10500);
  fleet.RunOnLoop([&] { fleet.Store().Remove("quarantine", names.front()); });
  constexpr int kLiftedWithinMs = 12000;
  const std::size_t before = CrashingRuns(fleet).size();
  BOOST_TEST(PlatformFleet::Eventually(
      [&] {
        StreamCrashing(fleet, 1);
        return CrashingRuns(fleet).size() > before;
      },
      kLiftedWithinMs));
}

}  // namespace
}  // namespace toucanwharf::process_test
