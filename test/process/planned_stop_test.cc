#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::EndpointFault;
using std::chrono::milliseconds;

constexpr int kGraceSeconds = 2;

void SetPlainFault(PlatformFleet& fleet, EndpointFault fault) {
  fleet.RunOnLoop([&] {
    for (const std::string& id : PlatformFleet::PlainIds()) {
      fleet.Endpoints().SetFault(id, fault);
    }
  });
}

// Guards against a request that comes late in a planned stop, is taken, and is
// cut by its end.
BOOST_AUTO_TEST_CASE(RequestLateInAStopIsRefusedOrAnswered) {
  MachineLimits limits;
  limits.grace_seconds = kGraceSeconds;
  PlatformFleet fleet(1, false, false, {}, limits);
  SetPlainFault(fleet, EndpointFault::kUnresponsive);
  // Keeps the router from ending early.
  auto before = std::async(std::launch::async, [&] {
    return fleet.Plain(0, "/sign/before", "before");
  });
  std::this_thread::sleep_for(milliseconds(100));
  fleet.Router(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1000));
  const Answer late = fleet.Plain(0, "/sign/late", "late");
  BOOST_TEST(late.status != 0);
  if (late.status == http::kUnavailable) {
    BOOST_TEST(fleet.RunsOf("late").empty());
  }
  before.wait();
}

// Guards against a request under way that gets no answer at the end of a
// planned stop.
BOOST_AUTO_TEST_CASE(RequestUnderWayAtTheEndOfAStopGetsAnAnswer) {
  MachineLimits limits;
  limits.grace_seconds = kGraceSeconds;
  PlatformFleet fleet(1, false, false, {}, limits);
  SetPlainFault(fleet, EndpointFault::kUnresponsive);
  auto before = std::async(std::launch::async, [&] {
    return fleet.Plain(0, "/sign/before", "before");
  });
  std::this_thread::sleep_for(milliseconds(100));
  fleet.Router(0).Signal(SIGTERM);
  // Whether it ran is not known.
  BOOST_TEST(before.get().status == http::kBadGateway);
}

Answer Sign(PlatformFleet& fleet, const std::string& id, int left_ms) {
  Call call;
  call.method = "POST";
  call.url = fleet.CallersAddress(0) + "/sign/" + id;
  call.headers = {std::string("Host: ") + PlatformFleet::kHost,
                  "X-Request-Id: " + id,
                  "X-Deadline-Ms: " + std::to_string(left_ms),
                  std::string("Authorization: Token ") + PlatformFleet::kKey};
  call.body = "the body of " + id;
  return Send(call);
}

// Guards against a call that must not run twice, is sent on in a stop and
// outlasts it.
BOOST_AUTO_TEST_CASE(CallThatMayOutlastTheStopIsNotTaken) {
  MachineLimits limits;
  limits.grace_seconds = kGraceSeconds;
  PlatformFleet fleet(1, false, false, {}, limits);
  SetPlainFault(fleet, EndpointFault::kSlow);
  auto before = std::async(std::launch::async,
                           [&] { return Sign(fleet, "before", 10000); });
  std::this_thread::sleep_for(milliseconds(100));
  fleet.Router(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1000));
  const Answer late = Sign(fleet, "late", 4000);
  BOOST_TEST(late.status == http::kUnavailable);
  before.wait();
  std::this_thread::sleep_for(milliseconds(1000));
  BOOST_TEST(fleet.RunsOf("late").empty());
}

// Guards against refusals of what is sure to be finished in a stop that callers
// don't know of yet.
BOOST_AUTO_TEST_CASE(ShortRequestsAreServedInAStop) {
  PlatformFleet fleet(1);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "read-" + std::to_string(i);
    BOOST_TEST(fleet.Plain(0, "/read/one", id).status == http::kOk);
  }
  fleet.Router(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(500));
  BOOST_TEST(fleet.Plain(0, "/read/one", "read-late").status == http::kOk);
  BOOST_TEST(Sign(fleet, "sign-late", 1500).status == http::kOk);
}

}  // namespace
}  // namespace toucanwharf::process_test
