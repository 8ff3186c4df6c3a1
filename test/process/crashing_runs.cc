#include "test/process/crashing_runs.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace toucanwharf::process_test {

using standins::fleet::CrashForm;
using standins::fleet::Endpoints;
using standins::fleet::Run;

namespace {

constexpr int kCrashing = 45;
constexpr int kGapMillis = 250;

}  // namespace

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

void CheckIsStopped(PlatformFleet& fleet, CrashForm form) {
  fleet.RunOnLoop([&] { fleet.Endpoints().CrashAs(form); });
  std::atomic<int> last_answered = 0;
  constexpr int kLast = 15;
  SendRepeatedly(kCrashing, kGapMillis, [&](int number) {
    std::thread crashing([&] { StreamCrashing(fleet, number); });
    const std::string name = "sound-" + std::to_string(number);
    const EventStream stream =
        fleet.Stream(static_cast<std::size_t>(number) % kRouters, name,
                     "/chat/one", 0, "the prompt of " + name);
    const bool whole = stream.ids.size() == Endpoints::kEvents;
    if (whole && number >= kCrashing - kLast) ++last_answered;
    crashing.join();
  });
  BOOST_TEST_MESSAGE(CrashingRuns(fleet).size()
                     << " runs of it, " << LateRuns(fleet) << " of them late, "
                     << last_answered << " of the last " << kLast
                     << " sound requests served");
  BOOST_TEST(LateRuns(fleet) <= kMaxLateRuns);
  BOOST_TEST(last_answered * 2 >= kLast);
}

}  // namespace toucanwharf::process_test
