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
  for (std::uint32_t at = 0; at < kEndpoints; ++at) {
    ejection.Add(TimePoint{}, Endpoint{at}, false);
  }
  return ejection;
}

/// Sends requests at random to what is usable for ten seconds; `broken` fails
/// at once. Returns the failures that callers saw.
int FailuresSeen(Ejection ejection, Endpoint broken) {
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

// One endpoint answers each request with an error at once. Callers see one
// request in nine fail for as long as it is in the pool.
BOOST_AUTO_TEST_CASE(BrokenEndpointCostsAFewRequests) {
  EjectionSettings never;
  never.failures_in_a_row = 1000000;
  BOOST_TEST(FailuresSeen(MakePool(never), Endpoint{4}) > 90);
  BOOST_TEST(FailuresSeen(MakePool(), Endpoint{4}) <= 10);
}

/// A router whose own link is down for two seconds: every request fails.
/// Returns the endpoints that are usable right after the link is back.
std::size_t UsableAfterOwnFault(Ejection ejection) {
  TimePoint now;
  for (int round = 0; round < 20; ++round) {
    now = now + milliseconds(100);
    for (std::uint32_t at = 0; at < kEndpoints; ++at) {
      ejection.Failed(now, Endpoint{at});
    }
  }
  return kEndpoints - ejection.EjectedCount(now);
}

// The router's own link breaks for two seconds. Each endpoint seems to fail
// from here; with plain ejection the pool is empty when the link is back, and
// callers are refused though every endpoint is well.
BOOST_AUTO_TEST_CASE(OwnBadLinkDoesNotEmptyThePool) {
  EjectionSettings naive;
  naive.max_share = 1.0;
  naive.self_share = 2.0;
  BOOST_TEST(UsableAfterOwnFault(MakePool(naive)) == 0u);
  BOOST_TEST(UsableAfterOwnFault(MakePool()) == kEndpoints);
}

// Four of nine endpoints fail, one after the other, too few to suspect the own
// link. Were all four ejected, the five others would get nearly twice their
// load.
BOOST_AUTO_TEST_CASE(NoMoreThanTheCapIsOut) {
  Ejection ejection = MakePool();
  TimePoint now;
  for (std::uint32_t at = 0; at < kEndpoints; ++at) {
    ejection.Succeeded(now, Endpoint{at});
  }
  for (int round = 0; round < 10; ++round) {
    now = now + milliseconds(100);
    for (std::uint32_t at = 0; at < 4; ++at) {
      ejection.Failed(now, Endpoint{at});
    }
  }
  BOOST_TEST(!ejection.SuspectsSelf(now));
  BOOST_TEST(ejection.EjectedCount(now) == 3u);
}

// An endpoint restarts and has cold caches. With its full share at once its
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

// An endpoint answers a few requests and fails again, over and over. If one
// success forgot its past, it would be back every five seconds for ever.
BOOST_AUTO_TEST_CASE(FlappingEndpointStaysOutLonger) {
  Ejection ejection = MakePool();
  TimePoint now;
  Duration last{0};
  for (int flap = 0; flap < 4; ++flap) {
    ejection.Succeeded(now, Endpoint{0});
    for (int failure = 0; failure < 5; ++failure) {
      ejection.Failed(now, Endpoint{0});
    }
    const TimePoint out = now;
    while (!ejection.Usable(now, Endpoint{0})) now = now + milliseconds(100);
    BOOST_TEST((now - out).count() > last.count());
    last = now - out;
  }
  BOOST_TEST(last.count() >= Duration(seconds(40)).count());
}

BOOST_AUTO_TEST_CASE(LastOfAPoolIsNeverOut) {
  Ejection ejection;
  ejection.Add(TimePoint{}, Endpoint{0}, false);
  for (int failure = 0; failure < 50; ++failure) {
    ejection.Failed(TimePoint{}, Endpoint{0});
  }
  BOOST_TEST(ejection.Usable(TimePoint{}, Endpoint{0}));
}

}  // namespace
}  // namespace toucanwharf::routing
