#include <boost/test/unit_test.hpp>
#include <chrono>

#include "test/process/crashing_runs.h"
#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::CrashForm;

// Guards against a request being sent on and on that crashes engines long after
// they began to write.
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
