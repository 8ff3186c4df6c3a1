#include <boost/test/unit_test.hpp>

#include "toucanwharf/instance/instance_state.h"

namespace toucanwharf::instance {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr const char* kAddress = "10.0.0.9:7";

endpoints::Endpoint LimitedEndpoint() {
  endpoints::Endpoint endpoint;
  endpoint.id = "engine";
  endpoint.service = "model";
  endpoint.address = "10.1.0.1:80";
  return endpoint;
}

/// An instance that has been told of a limit of 10 requests a second.
InstanceState Limited() {
  InstanceState state(InstanceSettings{}, "instance");
  state.instances_known = true;
  state.endpoints.Replace({LimitedEndpoint()}, {0, 1}, kStart, kStart);
  state.limits.OnAnswer(endpoints::EndpointKey(LimitedEndpoint()), 10, kStart,
                        kStart);
  return state;
}

/// Returns whether \p state lets a request through within a second.
bool Sends(InstanceState& state) {
  state.ShareLimits(kAddress, kStart);
  return state.pacer.MaySend(endpoints::EndpointKey(LimitedEndpoint()),
                             kStart + seconds(1));
}

BOOST_AUTO_TEST_CASE(SingleInstanceHasTheWholeLimit) {
  InstanceState state = Limited();
  BOOST_TEST(Sends(state));
}

// Guards against a starting instance that takes the limit for itself.
BOOST_AUTO_TEST_CASE(NothingIsSentUntilTheOthersAreKnown) {
  InstanceState state = Limited();
  state.instances_known = false;
  BOOST_TEST(!Sends(state));
}

// Guards against a part that is sent twice: the others divide the limit among
// themselves as soon as an instance announces its stop.
BOOST_AUTO_TEST_CASE(StoppingInstanceHasNoPart) {
  InstanceState state = Limited();
  state.stopping_since = kStart;
  BOOST_TEST(!Sends(state));
}

BOOST_AUTO_TEST_CASE(LimitOfAnEndpointThatIsGoneEnds) {
  InstanceState state = Limited();
  state.ShareLimits(kAddress, kStart);
  state.endpoints.Replace({}, {0, 2}, kStart + seconds(1), kStart + seconds(1));
  state.ShareLimits(kAddress, kStart + seconds(1));
  BOOST_TEST(state.pacer.Empty());
}

}  // namespace
}  // namespace toucanwharf::instance
