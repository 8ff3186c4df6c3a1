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

using standins::fleet::EndpointFault;
using standins::fleet::Run;

constexpr std::size_t kRouters = 3;
constexpr int kCallers = 12;
constexpr std::chrono::seconds kTestLength{11};
/// Requests in any such window are counted, from kAllKnow after the limit was
/// first stated.
constexpr Duration kWindow = std::chrono::seconds(4);
constexpr Duration kAllKnow = std::chrono::seconds(3);
/// Bound on the requests in a window: kTolerance times the limit, and kSlack.
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;

/// Calls \p send with the number of each request in kCallers threads for
/// kTestLength.
void SendConcurrently(const std::function<void(int)>& send) {
  std::atomic<int> numbers{0};
  const auto until = std::chrono::steady_clock::now() + kTestLength;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      while (std::chrono::steady_clock::now() < until) {
        send(++numbers);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
}

/// Returns when the endpoint \p id began runs.
std::vector<TimePoint> RunsAt(PlatformFleet& fleet, const std::string& id) {
  std::vector<TimePoint> times;
  fleet.RunOnLoop([&] {
    for (const Run& run : fleet.Endpoints().Runs()) {
      if (run.endpoint == id) times.push_back(run.at);
    }
  });
  return times;
}

/// Returns the most of \p times in a window that ends kAllKnow after the first
/// of them or later.
std::ptrdiff_t MostInAWindow(const std::vector<TimePoint>& times) {
  std::ptrdiff_t most = 0;
  for (const TimePoint end : times) {
    if (end < times.front() + kAllKnow) continue;
    most = std::max(
        most, std::count_if(times.begin(), times.end(), [end](TimePoint at) {
          return at > end - kWindow && at <= end;
        }));
  }
  return most;
}

double Allowed(double per_second) {
  const double seconds = std::chrono::duration<double>(kWindow).count();
  return kTolerance * per_second * seconds + kSlack;
}

// Guards against a plain endpoint in need that is sent as much as before by all
// routers together.
BOOST_AUTO_TEST_CASE(LimitOfAPlainEndpointHoldsForAllRoutersTogether) {
  constexpr double kLimit = 2;
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] { fleet.Endpoints().SetLimit("plain-0", kLimit); });
  std::atomic<int> failed{0};
  SendConcurrently([&](int number) {
    const auto answer =
        fleet.Plain(static_cast<std::size_t>(number) % kRouters, "/read/x",
                    "read-" + std::to_string(number));
    if (answer.status != http::kOk) ++failed;
  });
  BOOST_TEST(failed == 0);
  const auto runs = RunsAt(fleet, "plain-0");
  BOOST_TEST(static_cast<double>(MostInAWindow(runs)) <= Allowed(kLimit));
}

// The same for the engines that answers begin at. The other failure domain has
// room for all.
BOOST_AUTO_TEST_CASE(LimitOfAnEngineHoldsForAllRoutersTogether) {
  constexpr double kLimit = 2;
  const std::vector<std::string> engines = {
      "domain-a-0", "domain-a-1", "domain-a-2", "domain-a-3", "domain-a-4"};
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] {
    for (const auto& id : engines) fleet.Endpoints().SetLimit(id, kLimit);
  });
  std::atomic<int> failed{0};
  SendConcurrently([&](int number) {
    const auto stream =
        fleet.Stream(static_cast<std::size_t>(number) % kRouters,
                     "stream-" + std::to_string(number));
    if (stream.answer.status != http::kOk) ++failed;
  });
  BOOST_TEST(failed == 0);
  for (const std::string& id : engines) {
    const auto runs = RunsAt(fleet, id);
    if (runs.empty()) continue;
    BOOST_TEST(static_cast<double>(MostInAWindow(runs)) <= Allowed(kLimit), id);
  }
}

// Guards against the limit of an endpoint that has taken over an address and is
// held against the one that had it before, and against callers being refused
// because that one is tried again and again.
BOOST_AUTO_TEST_CASE(LimitOfAnotherEndpointAtTheAddressDoesNotCount) {
  constexpr double kLimit = 0.001;
  constexpr int kReads = 40;
  PlatformFleet fleet(1);
  int count = 0;
  const auto read = [&] {
    const auto answer =
        fleet.Plain(0, "/read/x", "read-" + std::to_string(++count));
    BOOST_TEST(answer.status == http::kOk);
  };
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SetLimit("plain-0", kLimit);
    fleet.Endpoints().SetFault("plain-0", EndpointFault::kMisdirects);
  });
  while (count < kReads) read();
  BOOST_TEST(RunsAt(fleet, "plain-0").empty());
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SetLimit("plain-0", std::nullopt);
    fleet.Endpoints().SetFault("plain-0", EndpointFault::kNone);
  });
  const bool used_again = PlatformFleet::Eventually([&] {
    read();
    return !RunsAt(fleet, "plain-0").empty();
  });
  BOOST_TEST(used_again);
}

}  // namespace
}  // namespace toucanwharf::process_test
