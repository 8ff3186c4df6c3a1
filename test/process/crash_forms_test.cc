#include <boost/test/unit_test.hpp>
#include <chrono>

#include "test/process/crashing_runs.h"
#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::CrashForm;

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

// Guards against a request being sent on and on whose engines fall silent less
// than half a second after they began: the silence counts as time it ran.
BOOST_AUTO_TEST_CASE(RequestThatSilencesEnginesWhileTheyWriteIsStopped) {
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SetEventGap(std::chrono::milliseconds(100));
    fleet.Endpoints().CrashAfterBegin(std::chrono::milliseconds(400));
  });
  CheckIsStopped(fleet, CrashForm::kSilent);
}

// Guards against the same where the engines close their connections.
BOOST_AUTO_TEST_CASE(RequestThatClosesEnginesWhileTheyWriteIsStopped) {
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SetEventGap(std::chrono::milliseconds(100));
    fleet.Endpoints().CrashAfterBegin(std::chrono::milliseconds(400));
  });
  CheckIsStopped(fleet, CrashForm::kWhileWriting);
}

}  // namespace
}  // namespace toucanwharf::process_test
