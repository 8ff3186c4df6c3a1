#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::Arrival;
using standins::fleet::EndpointFault;
using std::chrono::milliseconds;

constexpr std::size_t kRouters = 4;
constexpr Duration kBudgetWindow = std::chrono::seconds(10);
constexpr const char* kModelService = "model-service";
constexpr const char* kEngines[] = {
    "domain-a-0", "domain-a-1", "domain-a-2", "domain-a-3", "domain-a-4",
    "domain-b-0", "domain-b-1", "domain-b-2", "domain-b-3", "domain-b-4"};

bool IsInDomainA(const std::string& engine) {
  return engine.starts_with("domain-a");
}

/// Sets the fault of the engines that \p chosen returns true for.
template <typename Predicate>
void SetFault(PlatformFleet& fleet, EndpointFault fault, Predicate chosen) {
  fleet.RunOnLoop([&] {
    for (const std::string engine : kEngines) {
      if (chosen(engine)) fleet.Endpoints().SetFault(engine, fault);
    }
  });
}

void StopFor(PlatformFleet& fleet, milliseconds length,
             const std::function<bool(const std::string&)>& chosen) {
  SetFault(fleet, EndpointFault::kStopped, chosen);
  std::this_thread::sleep_for(length);
  SetFault(fleet, EndpointFault::kNone, chosen);
}

/// Callers of streams, one request after the other, until they are stopped.
class StreamCallers {
 public:
  StreamCallers(PlatformFleet& called, std::size_t count) : fleet(called) {
    for (std::size_t i = 0; i < count; ++i) {
      this->threads.emplace_back([this] { this->Run(); });
    }
  }

  /// Waits for the answers under way and returns when requests were sent.
  std::vector<TimePoint> Stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads) thread.join();
    return this->sent;
  }

 private:
  void Run() {
    constexpr milliseconds kPauseAfterFailure{200};
    while (!this->stopping) {
      std::size_t number = 0;
      {
        const std::lock_guard lock(this->mutex);
        number = this->sent.size();
        this->sent.push_back(BootClock().Now());
      }
      const auto stream = this->fleet.Stream(
          number % kRouters, "stream-" + std::to_string(number));
      if (stream.answer.status == http::kOk) continue;
      std::this_thread::sleep_for(kPauseAfterFailure);
    }
  }

  PlatformFleet& fleet;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<TimePoint> sent;
  std::vector<std::thread> threads;
};

std::ptrdiff_t CountIn(const std::vector<TimePoint>& times, TimePoint end) {
  return std::count_if(times.begin(), times.end(), [end](TimePoint at) {
    return at > end - kBudgetWindow && at <= end;
  });
}

/// Returns when requests reached engines beyond the first time.
std::vector<TimePoint> RepeatsAmong(const std::vector<Arrival>& arrivals) {
  std::set<std::string> seen;
  std::vector<TimePoint> repeats;
  for (const Arrival& arrival : arrivals) {
    if (arrival.service != kModelService) continue;
    if (!seen.insert(arrival.request_id).second) repeats.push_back(arrival.at);
  }
  return repeats;
}

/// Returns the largest share of \p bound that the repeats of one window take.
double WorstShare(const std::vector<TimePoint>& repeats,
                  const std::vector<TimePoint>& sent,
                  const ArrivalBound& bound) {
  double worst = 0;
  for (const TimePoint end : repeats) {
    const auto requests =
        std::max({CountIn(sent, end), CountIn(sent, end - kBudgetWindow / 2),
                  CountIn(sent, end - kBudgetWindow)});
    const double allowed =
        bound.ratio * static_cast<double>(requests) + bound.slack;
    worst =
        std::max(worst, static_cast<double>(CountIn(repeats, end)) / allowed);
  }
  return worst;
}

// Guards against repeats that stopped engines read only when they go on, beside
// those that a later window of sends allows.
BOOST_AUTO_TEST_CASE(RepeatsThatStoppedEnginesReadLaterAreWithinTheBudget) {
  constexpr ArrivalBound kBound{0.05, 60};
  constexpr std::size_t kCallers = 160;
  constexpr milliseconds kStopped{1200};
  PlatformFleet fleet(kRouters, false, false, kBound);
  // Routers that have just started may hardly try a request twice.
  std::this_thread::sleep_for(kBudgetWindow);
  fleet.RunOnLoop([&] { fleet.Endpoints().SetEventGap(milliseconds(100)); });
  StreamCallers callers(fleet, kCallers);
  std::this_thread::sleep_for(milliseconds(4000));
  fleet.Configure({PlatformFleet::kKey, PlatformFleet::kOtherKey});
  StopFor(fleet, kStopped, [](const std::string&) { return true; });
  std::this_thread::sleep_for(milliseconds(9350));
  StopFor(fleet, kStopped, IsInDomainA);
  std::this_thread::sleep_for(milliseconds(1000));
  const std::vector<TimePoint> sent = callers.Stop();
  std::vector<Arrival> arrivals;
  fleet.RunOnLoop([&] { arrivals = fleet.Endpoints().Arrivals(); });
  const auto repeats = RepeatsAmong(arrivals);
  BOOST_TEST(!repeats.empty());
  BOOST_TEST(WorstShare(repeats, sent, kBound) <= 1.0);
}

/// Streams an answer whose engine is stopped after some events; the others have
/// \p fault when it is to go on there.
EventStream ResumeWith(EndpointFault fault) {
  PlatformFleet fleet(1);
  std::this_thread::sleep_for(kBudgetWindow);
  fleet.RunOnLoop([&] { fleet.Endpoints().SetEventGap(milliseconds(100)); });
  EventStream stream;
  std::thread caller([&] { stream = fleet.Stream(0, "resumed"); });
  std::this_thread::sleep_for(milliseconds(700));
  const auto runs = fleet.RunsOf("resumed");
  BOOST_REQUIRE(runs.size() == 1U);
  const std::string first = runs.front().endpoint;
  SetFault(fleet, fault,
           [&](const std::string& engine) { return engine != first; });
  SetFault(fleet, EndpointFault::kStopped,
           [&](const std::string& engine) { return engine == first; });
  caller.join();
  return stream;
}

// Guards against a failure that ends an answer which the caller has in part as
// if it were whole.
BOOST_AUTO_TEST_CASE(AnswerWhoseResumptionIsRejectedIsNotComplete) {
  const EventStream stream = ResumeWith(EndpointFault::kRejectsResumed);
  BOOST_TEST(stream.ids.size() < standins::fleet::Endpoints::kEvents);
  BOOST_TEST(!stream.answer.complete);
}

// Guards against events that come twice where an engine begins anew instead of
// going on.
BOOST_AUTO_TEST_CASE(AnswerThatBeginsAnewIsBrokenOff) {
  const EventStream stream = ResumeWith(EndpointFault::kIgnoresLastEvent);
  BOOST_TEST(!stream.ids.empty());
  const bool increases =
      std::adjacent_find(stream.ids.begin(), stream.ids.end(),
                         std::greater_equal<>()) == stream.ids.end();
  BOOST_TEST(increases);
  BOOST_TEST(!stream.answer.complete);
}

// Guards against an unframed answer that its engine, which lives, ends early
// because another engine of its path is silent: it must not seem whole.
BOOST_AUTO_TEST_CASE(UnframedAnswerThatALiveEngineCutsOffIsNotComplete) {
  PlatformFleet fleet(1, false, false, ArrivalBound{0, 0});
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SetEventGap(milliseconds(100));
    fleet.Endpoints().SendUnframed(true);
    fleet.Endpoints().EndStalledAfter(milliseconds(600));
  });
  EventStream stream;
  std::thread caller([&] { stream = fleet.Stream(0, "cut-off"); });
  std::this_thread::sleep_for(milliseconds(700));
  const auto runs = fleet.RunsOf("cut-off");
  BOOST_REQUIRE(runs.size() == 1U);
  const std::string first = runs.front().endpoint;
  SetFault(fleet, EndpointFault::kStopped,
           [&](const std::string& engine) { return engine != first; });
  caller.join();
  BOOST_TEST(stream.ids.size() < standins::fleet::Endpoints::kEvents);
  BOOST_TEST(!stream.answer.complete);
}

std::int64_t CountedRequests(PlatformFleet& fleet, std::size_t routers) {
  constexpr std::string_view kName = "\ntoucanwharf_budget_requests_total ";
  std::int64_t counted = 0;
  for (std::size_t router = 0; router < routers; ++router) {
    const std::string text = fleet.Metrics(router);
    const std::size_t at = text.find(kName);
    BOOST_REQUIRE(at != std::string::npos);
    counted += std::atoll(text.c_str() + at + kName.size());
  }
  return counted;
}

// Guards against a budget that grows with requests that come to several
// routers, as one without a path to the endpoints forwards them.
BOOST_AUTO_TEST_CASE(ForwardedRequestsCountOnce) {
  constexpr std::size_t kCount = 3;
  constexpr int kRequests = 30;
  PlatformFleet fleet(kCount);
  const std::int64_t before = CountedRequests(fleet, kCount);
  fleet.CutLinks(0, standins::fleet::LinkFault::kSilent);
  std::vector<std::thread> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back(
        [&fleet, i] { fleet.Stream(0, "forwarded-" + std::to_string(i)); });
  }
  for (std::thread& caller : callers) caller.join();
  BOOST_TEST(CountedRequests(fleet, kCount) - before == kRequests);
}

}  // namespace
}  // namespace toucanwharf::process_test
