#include "toucanwharf/gossip/confirmation_exchange.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::gossip {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

Beacon MakeBeacon(const std::string& instance, const std::string& domain,
                  std::optional<Duration> age) {
  Beacon beacon;
  beacon.instance = instance;
  beacon.failure_domain = domain;
  beacon.configuration_age = age;
  beacon.stamp = 1;
  return beacon;
}

// 108 restarted instances would keep six others from serving with requests.
BOOST_AUTO_TEST_CASE(RequestsAreLimitedInEachPeriod) {
  ConfirmationExchange exchange;
  for (int i = 0; i < 3; ++i) BOOST_TEST(exchange.MayRequest(At(i)));
  BOOST_TEST(!exchange.MayRequest(At(99)));
  BOOST_TEST(exchange.MayRequest(At(100)));
}

// An instance of half a core would spend its time on answers, not on callers.
BOOST_AUTO_TEST_CASE(AnswersAreLimited) {
  ConfirmationExchange exchange;
  int answered = 0;
  for (int millis = 0; millis < 1000; ++millis) {
    for (int i = 0; i < 5; ++i) {
      if (exchange.MayAnswer(At(millis))) ++answered;
    }
  }
  BOOST_TEST(answered >= 200);
  BOOST_TEST(answered <= 250);
}

// A whole failure domain restarts, and its two confirmed instances refuse most.
BOOST_AUTO_TEST_CASE(OneDomainIsAnsweredWithinAPeriod) {
  ConfirmationExchange exchange;
  for (int i = 0; i < 38; ++i) BOOST_TEST(exchange.MayAnswer(At(i)));
}

// Requests to peers that can't confirm anything would only add load.
BOOST_AUTO_TEST_CASE(OnlyConfirmedPeersAreAskedNearbyOnesFirst) {
  constexpr Duration kMaxAge = milliseconds(4900);
  PeerTable peers("self");
  Random random(7);
  peers.OnBeacon("unconfirmed", MakeBeacon("a", "d", std::nullopt), At(0));
  peers.OnBeacon("outdated", MakeBeacon("b", "d", milliseconds(4900)), At(0));
  const auto ask = [&](int millis) {
    return OrderSources(ConfirmedPeers(peers, kMaxAge, At(millis)), "d",
                        random);
  };
  BOOST_TEST(ask(0).empty());
  peers.OnBeacon("far", MakeBeacon("c", "e", milliseconds(0)), At(0));
  BOOST_TEST(ask(0) == std::vector<std::string>{"far"});
  peers.OnBeacon("near", MakeBeacon("e", "d", milliseconds(4000)), At(0));
  BOOST_TEST(ask(800) == std::vector<std::string>{"near"});
  BOOST_TEST(ask(1000) == std::vector<std::string>{"far"});
}

}  // namespace
}  // namespace toucanwharf::gossip
