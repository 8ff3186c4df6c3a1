#include "toucanwharf/gossip/entry_advice.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace toucanwharf::gossip {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

Peer MakePeer(int uptime_millis) {
  Peer peer;
  peer.beacon.uptime = milliseconds(uptime_millis);
  peer.beacon.reaches_endpoints = true;
  peer.last_beacon_at = At(0);
  return peer;
}

// Callers of a fleet that restarts all connect to the few that are ready first.
BOOST_AUTO_TEST_CASE(StartingPeerIsAdvisedForAMomentOnly) {
  Peer peer = MakePeer(50);
  BOOST_TEST(IsStarting(peer, At(100)));
  BOOST_TEST(!IsStarting(peer, At(1000)));
  peer.beacon.stopping = true;
  BOOST_TEST(!IsStarting(peer, At(100)));
  BOOST_TEST(!IsStarting(MakePeer(3000), At(0)));
}

// A single restart must not make all callers ask four times as often.
BOOST_AUTO_TEST_CASE(AFleetStartsOnlyIfMostInstancesDo) {
  const Peer young = MakePeer(100);
  const Peer old = MakePeer(60000);
  BOOST_TEST(MostAreStarting({&young, &young, &old}, At(0)));
  BOOST_TEST(!MostAreStarting({&young, &old}, At(0)));
  BOOST_TEST(!MostAreStarting({}, At(0)));
}

// An instance of a fleet that restarts takes all others to be loaded like
// itself, and refuses callers for want of capacity that is free.
BOOST_AUTO_TEST_CASE(InstancesThatHaveJustStartedAreNotAssumedLoaded) {
  PeerTable peers("self");
  for (int i = 0; i < 100; ++i) {
    peers.AddAddress("10.0.0." + std::to_string(i) + ":1", At(0));
  }
  const auto hear = [&](int number, int uptime_millis) {
    Beacon beacon = MakePeer(uptime_millis).beacon;
    beacon.instance = std::to_string(number);
    beacon.stamp = 1;
    peers.OnBeacon("10.0.0." + std::to_string(number) + ":1", beacon, At(0));
  };
  const Duration started_lately = milliseconds(500);
  // Cut off right after its start, or as the only one that restarted.
  BOOST_TEST(CountAssumedLoaded(peers, started_lately, At(0)) == 100U);
  hear(1, 60000);
  BOOST_TEST(CountAssumedLoaded(peers, started_lately, At(0)) == 100U);
  for (const int number : {2, 3, 4}) hear(number, 400);
  BOOST_TEST(CountAssumedLoaded(peers, started_lately, At(0)) == 0U);
  // One that has run all the time knows that the others had answers.
  BOOST_TEST(CountAssumedLoaded(peers, milliseconds(60000), At(0)) == 97U);
  // Their silence means as before that nothing is known of them.
  BOOST_TEST(CountAssumedLoaded(peers, milliseconds(9000), At(9000)) == 100U);
}

// Small instances would get as many callers as those with six times the core.
BOOST_AUTO_TEST_CASE(LargerInstancesAreDrawnMoreOften) {
  std::vector<AdvisedInstance> advised = {{"large", 0.5}};
  for (int i = 0; i < 99; ++i) advised.push_back({std::to_string(i), 0.084});
  Random random(7);
  std::map<std::string, int> drawn;
  constexpr int kRounds = 400;
  for (int i = 0; i < kRounds; ++i) {
    const auto chosen = DrawAdvised(advised, 64, random);
    BOOST_REQUIRE(chosen.size() == 64U);
    for (const std::string& address : chosen) ++drawn[address];
  }
  BOOST_TEST(drawn["large"] > kRounds * 95 / 100);
  BOOST_TEST(drawn["5"] < kRounds * 8 / 10);
  BOOST_TEST(DrawAdvised({{"a", 0}}, 64, random).size() == 1U);
}

}  // namespace
}  // namespace toucanwharf::gossip
