#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

#include "toucanwharf/routing/endpoint_choice.h"
#include "toucanwharf/routing/load_view.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::routing {
namespace {

using std::chrono::milliseconds;

constexpr EndpointSpec kSpec{4, milliseconds(20), 10000, milliseconds(1)};
constexpr Work kWork{100, 50, 0};

/// Baseline: takes the best of all endpoints by the reports alone.
struct BestReported {
  std::optional<Endpoint> Choose(std::span<const Endpoint> candidates,
                                 const Work& work, std::optional<CachedPrefix>,
                                 const LoadView& loads, Random&) const {
    const auto best = std::min_element(
        candidates.begin(), candidates.end(), [&](Endpoint a, Endpoint b) {
          const LoadReport& left = loads.LastReport(a);
          const LoadReport& right = loads.LastReport(b);
          return left.running * work.Tokens() + left.queued_tokens <
                 right.running * work.Tokens() + right.queued_tokens;
        });
    return *best;
  }
};

/// Simulates routers that place one request each in turn; all see the
/// endpoints' true load only every `kLag` requests. Returns the maximum number
/// of requests on one endpoint.
template <typename Policy>
std::uint32_t MaxRequestsOnOneEndpoint(const Policy& policy) {
  constexpr std::size_t kRouters = 6;
  constexpr std::size_t kEndpoints = 40;
  constexpr std::size_t kLag = 60;
  constexpr std::size_t kRequests = 120;
  std::vector<LoadView> views(kRouters);
  std::vector<Endpoint> endpoints;
  std::vector<std::uint32_t> held(kEndpoints);
  Random random(11);
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    endpoints.push_back(static_cast<Endpoint>(i));
    for (LoadView& view : views) view.Add(endpoints.back(), kSpec);
  }
  for (std::size_t request = 0; request < kRequests; ++request) {
    const TimePoint now{milliseconds(request * 2 + 10)};
    LoadView& view = views[request % kRouters];
    const auto chosen =
        policy.Choose(endpoints, kWork, std::nullopt, view, random);
    view.Started(now, *chosen, kWork);
    ++held[IndexOf(*chosen)];
    if (request % kLag != kLag - 1) continue;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      const double queued = held[i] > 4 ? (held[i] - 4) * 150.0 : 0;
      const LoadReport report{std::min(held[i], 4U), queued, 1e6, now};
      for (LoadView& each : views) each.Report(endpoints[i], report);
    }
  }
  return *std::max_element(held.begin(), held.end());
}

// Six routers read the same report, in which one endpoint is idle. All send it
// every request until the next report; callers there wait while 39 endpoints
// idle, since all routers compute the same best endpoint.
BOOST_AUTO_TEST_CASE(RoutersOnOneLaggingReportDoNotHerd) {
  const std::uint32_t naive = MaxRequestsOnOneEndpoint(BestReported{});
  const std::uint32_t ours = MaxRequestsOnOneEndpoint(BestOfDraws{});
  BOOST_TEST(naive >= 40u);
  // 120 requests on 40 endpoints are 3 each.
  BOOST_TEST(ours <= 8u);
}

// One endpoint is four times slower than it reports. By its reports its queue
// is short, so it keeps getting its full share and a quarter of all callers
// wait.
BOOST_AUTO_TEST_CASE(SlowEndpointGetsLessOnceObserved) {
  LoadView loads;
  const std::vector<Endpoint> both{Endpoint{0}, Endpoint{1}};
  for (const Endpoint endpoint : both) loads.Add(endpoint, kSpec);
  for (int answer = 0; answer < 20; ++answer) {
    const Duration expected = loads.ServiceTime(Endpoint{0}, kWork);
    loads.Observed(Endpoint{0}, expected, milliseconds(4000));
  }
  BOOST_TEST(loads.ServiceTime(Endpoint{0}, kWork).count() > 3000000);
  Random random(3);
  int slow = 0;
  for (int round = 0; round < 1000; ++round) {
    const auto chosen =
        BestOfDraws{}.Choose(both, kWork, std::nullopt, loads, random);
    if (chosen == Endpoint{0}) ++slow;
  }
  // Only if both draws fall on it.
  BOOST_TEST(slow < 330);
}

BOOST_AUTO_TEST_CASE(NearAndFastBeatFarAndSlow) {
  LoadView loads;
  loads.Add(Endpoint{0}, kSpec);
  loads.Add(Endpoint{1}, {4, milliseconds(20), 10000, milliseconds(100)});
  BOOST_TEST(loads.ExpectedFinish(Endpoint{0}, kWork).count() <
             loads.ExpectedFinish(Endpoint{1}, kWork).count());
}

// A popular prompt is cached on one endpoint. Without a bound all requests that
// share it go there and wait, though others could prefill it immediately.
BOOST_AUTO_TEST_CASE(AffinityYieldsToLoad) {
  LoadView loads;
  std::vector<Endpoint> endpoints;
  for (std::uint32_t i = 0; i < 8; ++i) {
    endpoints.push_back(Endpoint{i});
    loads.Add(endpoints.back(), {64, milliseconds(20), 500, milliseconds(1)});
  }
  const CachedPrefix cached{Endpoint{0}, 100};
  Random random(5);
  std::uint32_t on_cached = 0;
  for (int round = 0; round < 80; ++round) {
    const auto chosen =
        BestOfDraws{}.Choose(endpoints, kWork, cached, loads, random);
    loads.Started(TimePoint{milliseconds(round)}, *chosen, kWork);
    if (chosen == Endpoint{0}) ++on_cached;
  }
  // Its even share is 10; it is used for its cache, and within the bound.
  BOOST_TEST(on_cached >= 10u);
  BOOST_TEST(on_cached <= 20u);
}

BOOST_AUTO_TEST_CASE(ReorderedReportIsIgnored) {
  LoadView loads;
  loads.Add(Endpoint{0}, kSpec);
  loads.Report(Endpoint{0}, {3, 0, 100, TimePoint{milliseconds(200)}});
  loads.Report(Endpoint{0}, {0, 0, 100, TimePoint{milliseconds(100)}});
  BOOST_TEST(loads.Occupied(Endpoint{0}) == 3.0);
}

RC_BOOST_PROP(OwnWorkIsNeverLostFromView, (std::vector<bool> steps)) {
  LoadView loads;
  loads.Add(Endpoint{0}, kSpec);
  std::uint32_t running = 0;
  TimePoint now;
  for (const bool start : steps) {
    now = now + milliseconds(10);
    if (start) {
      loads.Started(now, Endpoint{0}, kWork);
      ++running;
    } else if (running > 0) {
      loads.Finished(now, Endpoint{0}, kWork);
      --running;
    }
    // A report so late that it includes nothing of the last steps.
    loads.Report(Endpoint{0}, {0, 0, 1000, now - milliseconds(50)});
    RC_ASSERT(loads.InFlight(Endpoint{0}) == running);
    RC_ASSERT(loads.Occupied(Endpoint{0}) >= running);
  }
}

}  // namespace
}  // namespace toucanwharf::routing
