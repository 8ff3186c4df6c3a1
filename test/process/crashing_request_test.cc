#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::Endpoints;
using standins::fleet::Run;

constexpr std::size_t kRouters = 3;
/// Runs of a crashing request that began later than this after the third are
/// counted; instances know of it by then.
constexpr Duration kAllKnow = std::chrono::seconds(3);
constexpr std::size_t kMaxLateRuns = 3;

void Pause(int millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

/// Returns the runs of the request that crashes endpoints, oldest first.
std::vector<Run> CrashingRuns(PlatformFleet& fleet) {
  std::vector<Run> found;
  fleet.RunOnLoop([&] {
    for (const Run& run : fleet.Endpoints().Runs()) {
      const bool crashes = run.body == Endpoints::kCrashingContent ||
                           run.target.ends_with(Endpoints::kCrashingContent);
      if (crashes) found.push_back(run);
    }
  });
  return found;
}

/// Returns how many runs began later than kAllKnow after the third.
std::size_t LateRuns(PlatformFleet& fleet) {
  const std::vector<Run> runs = CrashingRuns(fleet);
  constexpr std::size_t kThird = 2;
  if (runs.size() <= kThird) return 0;
  const TimePoint from = runs[kThird].at + kAllKnow;
  return static_cast<std::size_t>(
      std::count_if(runs.begin(), runs.end(),
                    [from](const Run& run) { return run.at > from; }));
}

/// Calls \p send for each number below \p count, in threads of their own, with
/// a pause of \p pause_ms between two, and waits for all.
void SendRepeatedly(int count, int pause_ms,
                    const std::function<void(int)>& send) {
  std::vector<std::thread> threads;
  for (int number = 0; number < count; ++number) {
    threads.emplace_back([&send, number] { send(number); });
    Pause(pause_ms);
  }
  for (std::thread& thread : threads) thread.join();
}

/// Streams the crashing request at router \p number modulo kRouters.
void StreamCrashing(PlatformFleet& fleet, int number) {
  fleet.Stream(static_cast<std::size_t>(number) % kRouters,
               "crashing-" + std::to_string(number), "/chat/one", 0,
               Endpoints::kCrashingContent);
}

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
