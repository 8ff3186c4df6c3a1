#include "toucanwharf/gossip/fleet_start.h"

#include <boost/test/unit_test.hpp>

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
  BOOST_TEST(!MostAreStarting({&young, &young}, At(0)));
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

// In a fleet of large instances each would ask all engines for reports as it
// starts, and keep them from answering.
BOOST_AUTO_TEST_CASE(TwoReadersOfADomainAssistARestart) {
  PeerTable peers("self");
  const auto hear = [&](const std::string& address, const std::string& domain,
                        double share) {
    Beacon beacon = MakePeer(100).beacon;
    beacon.instance = address;
    beacon.callers_address = address;
    beacon.failure_domain = domain;
    beacon.processor_share = share;
    beacon.stamp = 1;
    peers.OnBeacon(address, beacon, At(0));
  };
  const auto ahead = [&] {
    return CountReadersAhead(peers, "d", 0.3, "m", At(0));
  };
  hear("b", "d", 0.1);
  hear("c", "e", 0.5);
  hear("z", "d", 0.3);
  BOOST_TEST(ahead() == 0U);
  hear("a", "d", 0.3);
  BOOST_TEST(ahead() == 1U);
  hear("y", "d", 0.5);
  BOOST_TEST(ahead() == 2U);
}

}  // namespace
}  // namespace toucanwharf::gossip
