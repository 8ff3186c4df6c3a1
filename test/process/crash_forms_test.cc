#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "test/process/crashing_runs.h"
#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::CrashForm;
using standins::fleet::Endpoints;

constexpr int kCrashing = 45;
constexpr int kGapMillis = 250;

/// Streams the crashing request again and again while engines crash as \p form
/// says, and sound requests beside it. Checks that it is stopped and that they
/// are served once it is.
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

// Guards against a request that crashes engines before the head of its answer
// being sent on and on, because nothing counted at the crashes.
BOOST_AUTO_TEST_CASE(RequestThatCrashesEnginesBeforeTheHeadIsStopped) {
  PlatformFleet fleet(kRouters);
  CheckIsStopped(fleet, CrashForm::kBeforeHead);
}

// Guards against the same where an engine falls silent without closing its
// connections.
BOOST_AUTO_TEST_CASE(RequestThatSilencesEnginesIsStopped) {
  PlatformFleet fleet(kRouters);
  CheckIsStopped(fleet, CrashForm::kSilent);
}

// Guards against the same where the engine that crashes isn't the first of the
// request's path.
BOOST_AUTO_TEST_CASE(RequestThatCrashesTheLastEngineOfItsPathIsStopped) {
  PlatformFleet fleet(kRouters);
  CheckIsStopped(fleet, CrashForm::kAtLastEngine);
}

// Guards against the same where the crash comes long after the engine began to
// write.
BOOST_AUTO_TEST_CASE(RequestThatCrashesEnginesLateIsStopped) {
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SetEventGap(std::chrono::milliseconds(60));
    fleet.Endpoints().CrashAfterBegin(std::chrono::milliseconds(700));
  });
  CheckIsStopped(fleet, CrashForm::kWhileWriting);
}

}  // namespace
}  // namespace toucanwharf::process_test
