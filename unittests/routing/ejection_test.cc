#include "toucanwharf/routing/ejection.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "toucanwharf/support/random.h"

namespace toucanwharf::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kEndpoints = 9;

Ejection MakePool(const EjectionSettings& settings = {}) {
  Ejection ejection(settings);
  for (std::uint32_t i = 0; i < kEndpoints; ++i) {
    ejection.Add(TimePoint{}, Endpoint{i}, false);
  }
  return ejection;
}

/// Sends requests at random to usable endpoints for ten seconds; `broken` fails
/// immediately. Returns the failures that callers saw.
int CallerFailures(Ejection ejection, Endpoint broken) {
  Random random(9);
  int failures = 0;
  for (int request = 0; request < 1000; ++request) {
    const TimePoint now{milliseconds(request * 10)};
    const auto endpoint = static_cast<Endpoint>(random.Below(kEndpoints));
    if (!ejection.Usable(now, endpoint)) continue;
    if (endpoint == broken) {
      ++failures;
      ejection.Failed(now, endpoint);
    } else {
      ejection.Succeeded(now, endpoint);
    }
  }
  return failures;
}

// One endpoint answers each request with an error immediately. Callers see one
// request in nine fail for as long as it is in the pool.
BOOST_AUTO_TEST_CASE(BrokenEndpointCostsAFewRequests) {
  EjectionSettings never;
  never.consecutive_failures = 1000000;
  BOOST_TEST(CallerFailures(MakePool(never), Endpoint{4}) > 90);
  BOOST_TEST(CallerFailures(MakePool(), Endpoint{4}) <= 10);
}

/// Simulates a router whose own link is down for two seconds, so that every
/// request fails. Returns the number of usable endpoints right after the link
/// is back.
std::size_t UsableAfterLocalFault(Ejection ejection) {
  TimePoint now;
  for (int round = 0; round < 20; ++round) {
    now = now + milliseconds(100);
    for (std::uint32_t i = 0; i < kEndpoints; ++i) {
      ejection.Failed(now, Endpoint{i});
    }
  }
  return kEndpoints - ejection.EjectedCount(now);
}

// The router's own link is down for two seconds. Each endpoint seems to fail
// from here; with plain ejection the pool is empty when the link is back, and
// callers are refused though every endpoint is healthy.
BOOST_AUTO_TEST_CASE(LocalLinkFaultDoesNotEmptyThePool) {
  EjectionSettings naive;
  naive.max_share = 1.0;
  naive.local_fault_share = 2.0;
  BOOST_TEST(UsableAfterLocalFault(MakePool(naive)) == 0u);
  BOOST_TEST(UsableAfterLocalFault(MakePool()) == kEndpoints);
}

// Four of nine endpoints fail one after the other, too few to suspect the local
// link. If all four were ejected, the other five would get nearly twice their
// load.
BOOST_AUTO_TEST_CASE(NoMoreThanTheCapIsEjected) {
  Ejection ejection = MakePool();
  TimePoint now;
  for (std::uint32_t i = 0; i < kEndpoints; ++i) {
    ejection.Succeeded(now, Endpoint{i});
  }
  for (int round = 0; round < 10; ++round) {
    now = now + milliseconds(100);
    for (std::uint32_t i = 0; i < 4; ++i) {
      ejection.Failed(now, Endpoint{i});
    }
  }
  BOOST_TEST(!ejection.SuspectsLocalFault(now));
  BOOST_TEST(ejection.EjectedCount(now) == 3u);
}

// An endpoint restarts and has cold caches. With its full share immediately its
// first answers are late and it is ejected again.
BOOST_AUTO_TEST_CASE(NewEndpointStartsSlowly) {
  Ejection ejection = MakePool();
  const TimePoint joined{seconds(100)};
  ejection.Add(joined, Endpoint{20}, true);
  BOOST_TEST(ejection.Ramp(joined, Endpoint{20}) < 0.2);
  BOOST_TEST(ejection.Ramp(joined + seconds(5), Endpoint{20}) < 0.6);
  BOOST_TEST(ejection.Ramp(joined + seconds(10), Endpoint{20}) == 1.0);
  BOOST_TEST(ejection.Ramp(joined, Endpoint{0}) == 1.0);
}

// An endpoint repeatedly answers a few requests and fails again. If one success
// reset its ejection count, it would be back every five seconds.
BOOST_AUTO_TEST_CASE(FlappingEndpointStaysOutLonger) {
  Ejection ejection = MakePool();
  TimePoint now;
  Duration last{0};
  for (int flap = 0; flap < 4; ++flap) {
    ejection.Succeeded(now, Endpoint{0});
    for (int failure = 0; failure < 5; ++failure) {
      ejection.Failed(now, Endpoint{0});
    }
    const TimePoint ejected_at = now;
    while (!ejection.Usable(now, Endpoint{0})) now = now + milliseconds(100);
    BOOST_TEST((now - ejected_at).count() > last.count());
    last = now - ejected_at;
  }
  BOOST_TEST(last.count() >= Duration(seconds(40)).count());
}

BOOST_AUTO_TEST_CASE(LastEndpointOfAPoolIsNeverEjected) {
  Ejection ejection;
  ejection.Add(TimePoint{}, Endpoint{0}, false);
  for (int failure = 0; failure < 50; ++failure) {
    ejection.Failed(TimePoint{}, Endpoint{0});
  }
  BOOST_TEST(ejection.Usable(TimePoint{}, Endpoint{0}));
}

}  // namespace
}  // namespace toucanwharf::routing
