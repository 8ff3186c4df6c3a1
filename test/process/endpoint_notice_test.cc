#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

constexpr std::size_t kRouters = 3;
constexpr int kCallers = 9;
/// What an endpoint asks for, and the time after its first answer from which
/// on it must be heeded.
constexpr Duration kPause = std::chrono::seconds(3);
constexpr Duration kHeeded = std::chrono::milliseconds(500);
/// Requests from one router that may arrive in that time.
constexpr std::ptrdiff_t kAllowedPerRouter = 2;
constexpr std::chrono::seconds kBudgetWindow{10};
constexpr Duration kDrainBound = std::chrono::seconds(2);

/// Calls \p send with the number of each request in kCallers threads for
/// \p length.
template <typename Send>
void SendConcurrently(std::chrono::milliseconds length, const Send& send) {
  std::atomic<int> numbers{0};
  const auto until = std::chrono::steady_clock::now() + length;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&] {
      while (std::chrono::steady_clock::now() < until) {
        send(++numbers);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
}

std::vector<TimePoint> NoticesOf(PlatformFleet& fleet, const std::string& id) {
  std::vector<TimePoint> times;
  fleet.RunOnLoop([&] { times = fleet.Endpoints().NoticesOf(id); });
  return times;
}

std::ptrdiff_t CountBetween(const std::vector<TimePoint>& times, Duration begin,
                            Duration end) {
  if (times.empty()) return 0;
  const TimePoint first = times.front();
  return std::count_if(times.begin(), times.end(), [&](TimePoint at) {
    return at >= first + begin && at < first + end;
  });
}

// Guards against a plain endpoint that asks for rest and is asked again at
// once, since it is the emptiest.
BOOST_AUTO_TEST_CASE(PlainEndpointThatAsksForRestGetsIt) {
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] { fleet.Endpoints().SetShedding("plain-0", "3"); });
  std::atomic<int> failed{0};
  SendConcurrently(std::chrono::milliseconds(4500), [&](int number) {
    const auto answer =
        fleet.Plain(static_cast<std::size_t>(number) % kRouters, "/sign/x",
                    "sign-" + std::to_string(number));
    if (answer.status != http::kOk) ++failed;
  });
  BOOST_TEST(failed == 0);
  const auto times = NoticesOf(fleet, "plain-0");
  BOOST_TEST(!times.empty());
  BOOST_TEST(CountBetween(times, kHeeded, kPause) <=
             kAllowedPerRouter * static_cast<std::ptrdiff_t>(kRouters));
}

// The same for engines at which answers begin. The other failure domain serves
// all.
BOOST_AUTO_TEST_CASE(EngineThatAsksForRestGetsIt) {
  PlatformFleet fleet(kRouters);
  const std::vector<std::string> engines = {
      "domain-a-0", "domain-a-1", "domain-a-2", "domain-a-3", "domain-a-4"};
  // Routers that have just started may hardly try a request twice.
  std::this_thread::sleep_for(kBudgetWindow);
  fleet.RunOnLoop([&] {
    for (const auto& id : engines) fleet.Endpoints().SetShedding(id, "3");
  });
  std::atomic<int> failed{0};
  SendConcurrently(std::chrono::milliseconds(4500), [&](int number) {
    const auto stream =
        fleet.Stream(static_cast<std::size_t>(number) % kRouters,
                     "stream-" + std::to_string(number));
    if (stream.answer.status != http::kOk) ++failed;
  });
  BOOST_TEST(failed == 0);
  for (const std::string& id : engines) {
    BOOST_TEST(CountBetween(NoticesOf(fleet, id), kHeeded, kPause) <=
                   kAllowedPerRouter * static_cast<std::ptrdiff_t>(kRouters),
               id);
  }
}

// Guards against callers that wait, or try again, while all endpoints rest.
BOOST_AUTO_TEST_CASE(CallersAreToldWhenTheFirstEndpointIsBack) {
  PlatformFleet fleet(1);
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SetShedding("plain-0", "3");
    fleet.Endpoints().SetShedding("plain-1", "2");
  });
  fleet.Plain(0, "/read/x", "first");
  const auto before = std::chrono::steady_clock::now();
  const auto answer = fleet.Plain(0, "/read/x", "second");
  const auto took = std::chrono::steady_clock::now() - before;
  BOOST_TEST(answer.status == http::kUnavailable);
  BOOST_TEST((took < std::chrono::milliseconds(300)));
  const double seconds = std::stod(answer.headers.at("retry-after"));
  BOOST_TEST(seconds > 1.2);
  BOOST_TEST(seconds < 2.6);
}

// Guards against an endpoint that says that it leaves and gets requests until
// the store says so too.
BOOST_AUTO_TEST_CASE(EndpointThatSaysThatItLeavesGetsNothingNew) {
  PlatformFleet fleet(kRouters);
  fleet.RunOnLoop([&] { fleet.Endpoints().SetLeaving("plain-0"); });
  std::atomic<int> failed{0};
  SendConcurrently(std::chrono::milliseconds(5000), [&](int number) {
    const auto answer =
        fleet.Plain(static_cast<std::size_t>(number) % kRouters, "/read/x",
                    "read-" + std::to_string(number));
    if (answer.status != http::kOk) ++failed;
  });
  BOOST_TEST(failed == 0);
  const auto times = NoticesOf(fleet, "plain-0");
  BOOST_TEST(!times.empty());
  BOOST_TEST(CountBetween(times, kDrainBound, std::chrono::seconds(60)) == 0);
}

}  // namespace
}  // namespace toucanwharf::process_test
