#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::EndpointFault;
using std::chrono::milliseconds;

// Guards against a crash of a process that ends while requests are under way.
BOOST_AUTO_TEST_CASE(ProcessThatEndsBesideRequestsDoesNotCrash) {
  // From then on the requests outlast the grace, and are still taken.
  constexpr milliseconds kAfterSignal{2700};
  PlatformFleet fleet(1);
  fleet.RunOnLoop([&] {
    for (const std::string& id : PlatformFleet::PlainIds()) {
      fleet.Endpoints().SetFault(id, EndpointFault::kUnresponsive);
    }
  });
  const auto send = [&fleet](const std::string& id) {
    Call call;
    call.method = "POST";
    call.url = fleet.CallersAddress(0) + "/sign/x";
    call.headers = {std::string("Host: ") + PlatformFleet::kHost,
                    "X-Request-Id: " + id, "X-Deadline-Ms: 5000",
                    std::string("Authorization: Token ") + PlatformFleet::kKey};
    call.body = "a body";
    Send(call);
  };
  std::thread before(send, "before");
  std::this_thread::sleep_for(milliseconds(200));
  fleet.Router(0).Signal(SIGTERM);
  std::this_thread::sleep_for(kAfterSignal);
  std::thread caller(send, "late");
  BOOST_TEST(PlatformFleet::Eventually(
      [&] { return !fleet.Router(0).ExitDescription().empty(); }));

  BOOST_TEST(fleet.Router(0).ExitDescription() == "exit code 0");
  before.join();
  caller.join();
}

}  // namespace
}  // namespace toucanwharf::process_test
