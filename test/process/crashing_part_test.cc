#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::CutAt;
using standins::fleet::Endpoints;
using standins::fleet::Run;

constexpr int kRouters = 3;
constexpr int kFirstParts = 3;
/// Runs that began later than this after the fifth crash are counted; all
/// instances know of the part by then.
constexpr Duration kAllKnow = std::chrono::seconds(3);
constexpr std::size_t kMaxLateRuns = 3;
constexpr int kGapMillis = 125;
/// At this rate an engine rarely has two requests with the part at a time.
constexpr int kRareStep = 7;
constexpr Duration kLateBegin = std::chrono::milliseconds(1200);
/// Long enough for five crashes and twice kAllKnow after them.
constexpr int kDiscovery = 80;
constexpr int kAfterDiscovery = 40;

/// Returns the runs whose prompts have the part that crashes engines.
std::vector<Run> CrashingRuns(PlatformFleet& fleet) {
  std::vector<Run> found;
  fleet.RunOnLoop([&] {
    for (const Run& run : fleet.Endpoints().Runs()) {
      const auto parts = run.headers.Get("X-Prompt-Prefix");
      if (parts.find(Endpoints::kCrashingPart) != std::string_view::npos) {
        found.push_back(run);
      }
    }
  });
  return found;
}

/// Returns how many runs reached engines later than kAllKnow after the fifth
/// crash, where engines begin to write \p begin_delay after that. Each run
/// crashes its engine, and two at one engine share a crash.
std::size_t LateRuns(PlatformFleet& fleet, Duration begin_delay) {
  const std::vector<Run> runs = CrashingRuns(fleet);
  constexpr std::size_t kFifth = 5;
  std::vector<std::string> crashed;
  TimePoint from{Duration::max()};
  std::size_t late = 0;
  for (const Run& run : runs) {
    if (run.at > from) ++late;
    const bool known = std::find(crashed.begin(), crashed.end(),
                                 run.endpoint) != crashed.end();
    if (known) continue;
    crashed.push_back(run.endpoint);
    if (crashed.size() == kFifth) {
      from = run.at + begin_delay + Endpoints::kCrashDelay + kAllKnow;
    }
  }
  return late;
}

/// What is sent beside the sound requests, and how engines answer.
struct CrashingLoad {
  /// Sound requests for each one with the part that crashes engines.
  int step = 2;
  /// From the head of an answer to the first event.
  Duration begin_delay{0};
  /// Whether the requests with the part come at the first router only.
  bool at_first_router = false;
};

/// Sends \p count sound requests, and beside them those of \p load, all
/// different and at any router. Returns how many sound ones were answered in
/// full.
int SendBeside(PlatformFleet& fleet, int first, int count,
               const CrashingLoad& load) {
  std::atomic<int> answered = 0;
  std::vector<std::thread> threads;
  const auto stream = [&](int router, const std::string& id,
                          const std::string& shared) {
    return fleet
        .Stream(static_cast<std::size_t>(router), id, "/chat/one", 0,
                "the prompt of " + id,
                shared + ",0" + id.substr(id.find('-') + 1) + ":60")
        .ids.size();
  };
  for (int number = first; number < first + count; ++number) {
    const int router = number % kRouters;
    const std::string part =
        "f1" + std::to_string(number % kFirstParts) + ":40";
    threads.emplace_back([&, number, router, part] {
      const bool whole = stream(router, "sound-" + std::to_string(number),
                                part) == Endpoints::kEvents;
      if (whole) ++answered;
    });
    if (number % load.step == 0) {
      threads.emplace_back([&, number, router, part] {
        stream(load.at_first_router ? 0 : router,
               "crashing-" + std::to_string(number),
               part + "," + Endpoints::kCrashingPart + ":9");
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kGapMillis));
  }
  for (std::thread& thread : threads) thread.join();
  return answered;
}

/// Checks what engines and callers see while requests with the part come.
void CheckPartIsStopped(PlatformFleet& fleet, const CrashingLoad& load = {}) {
  fleet.RunOnLoop([&] { fleet.Endpoints().BeginAfter(load.begin_delay); });
  SendBeside(fleet, 0, kDiscovery, load);
  const int answered = SendBeside(fleet, kDiscovery, kAfterDiscovery, load);
  const std::size_t late = LateRuns(fleet, load.begin_delay);
  BOOST_TEST_MESSAGE(CrashingRuns(fleet).size()
                     << " runs with the part, " << late << " of them late, "
                     << answered << " of " << kAfterDiscovery
                     << " sound requests answered");
  BOOST_TEST(late <= kMaxLateRuns);
  BOOST_TEST(answered * 2 >= kAfterDiscovery);
}

// Guards against different requests that share one part of their prompts
// crashing one engine after another, and against refusing sound ones for it.
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesIsNotSentOnAndOn) {
  PlatformFleet fleet(kRouters);
  CheckPartIsStopped(fleet);
}

// Guards against the same where answers end with their connection, so that a
// crash looks like the end of an answer.
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesOfUnframedAnswersIsStopped) {
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] { fleet.Endpoints().SendUnframed(true); });
  CheckPartIsStopped(fleet);
}

// Guards against the same where engines crash before the first event, which
// leaves only the head of an answer as evidence, framed or not.
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesBeforeTheFirstEventIsStopped) {
  for (const bool unframed : {false, true}) {
    PlatformFleet fleet(kRouters);
    fleet.RunOnLoop([&] {
      fleet.Endpoints().SendUnframed(unframed);
      fleet.Endpoints().CutAnswersAt(CutAt::kBeforeFirstEvent);
    });
    CheckPartIsStopped(fleet);
  }
}

// Guards against the same where the head of an answer comes long before the
// engine begins to write it, so that each run seems to have lasted.
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesThatBeginLateIsStopped) {
  PlatformFleet fleet(kRouters);
  CheckPartIsStopped(fleet, {kRareStep, kLateBegin});
}

// Guards against the same where the requests come at a router that is cut off
// from all engines: its peers' answers go on over several crashes, and would
// show that the part crashes nothing.
BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesIsStoppedWhereItIsForwarded) {
  PlatformFleet fleet(kRouters);
  fleet.CutLinks(0, standins::fleet::LinkFault::kReset);
  const bool forwards = PlatformFleet::Eventually([&] {
    return fleet.Stream(0, "first-forwarded").answer.status == http::kOk;
  });
  BOOST_REQUIRE(forwards);
  CheckPartIsStopped(fleet, {kRareStep, kLateBegin, true});
}

}  // namespace
}  // namespace toucanwharf::process_test
