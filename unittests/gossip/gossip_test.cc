#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "toucanwharf/gossip/backup_leaders.h"
#include "toucanwharf/gossip/beacon.h"
#include "toucanwharf/gossip/beacon_schedule.h"
#include "toucanwharf/gossip/election_policy.h"
#include "toucanwharf/gossip/fleet_loads.h"
#include "toucanwharf/gossip/initial_read_policy.h"
#include "toucanwharf/gossip/key_range.h"
#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/gossip/ready_instance_list.h"

namespace toucanwharf::gossip {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

Beacon MakeBeacon(const std::string& instance, int stamp_millis) {
  Beacon beacon;
  beacon.instance = instance;
  beacon.stamp = Duration(milliseconds(stamp_millis)).count();
  return beacon;
}

/// A beacon of a peer that vouches for the configuration 5, read \p age ago,
/// in answer to what \p to sent at \p echo of its own clock.
Beacon Vouching(const std::string& to, int echo, int age) {
  Beacon beacon = MakeBeacon("peer", 1);
  beacon.configuration_revision = 5;
  beacon.configuration_age = milliseconds(age);
  beacon.echo = Duration(milliseconds(echo)).count();
  beacon.echo_of = to;
  return beacon;
}

RC_BOOST_PROP(BeaconsSurviveTheWire, ()) {
  Beacon beacon;
  beacon.instance =
      *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
  beacon.processor_share = 0.25;
  beacon.ready = *rc::gen::arbitrary<bool>();
  beacon.stopping = *rc::gen::arbitrary<bool>();
  beacon.configuration_revision = *rc::gen::inRange<std::uint64_t>(0, 1 << 30);
  if (*rc::gen::arbitrary<bool>()) {
    beacon.configuration_age = Duration(*rc::gen::inRange(0, 1 << 30));
  }
  beacon.stamp = *rc::gen::inRange(0, 1 << 30);
  beacon.echo = *rc::gen::inRange(0, 1 << 30);
  beacon.echo_of = "receiver";
  beacon.loads = {{"engine", 2, 300, 1}};
  beacon.suspicions = {{"engine", milliseconds(20), true}};
  beacon.covered_keys = {5, *rc::gen::inRange<std::uint32_t>(5, 1U << 31)};
  beacon.engine_statuses = {{7, {0, 26}, 1.5, 4000}};
  beacon.fleet_loads = {{0xfffffffe, 12, 700000, 3}, {8, 1, 2000, 0}};
  beacon.ready_instances = {0x0a010028};
  beacon.backup_leaders = {"10.0.0.2:7"};
  beacon.peers = {"10.0.0.1:7"};
  const auto read = Decode(Encode(beacon));
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == beacon);
}

/// What a leader that tells of \p endpoints endpoints, all loaded, and has as
/// much under way itself, sends in one round.
Beacon WordOn(std::size_t endpoints, KeyRanges& ranges) {
  constexpr std::uint32_t kSpread = 0x9e3779b1;
  constexpr std::size_t kInstances = 420;
  const std::string id(36, 'e');
  Beacon beacon = MakeBeacon("leader", 1);
  for (std::size_t at = 0; at < endpoints; ++at) {
    beacon.loads.push_back({id + std::to_string(at), 190, 70e6, 12});
    beacon.suspicions.push_back(
        {id + std::to_string(at), milliseconds(2900), true});
  }
  TrimToDatagram(beacon);
  beacon.covered_keys = ranges.Next(endpoints);
  for (std::uint32_t at = 0; at < endpoints; ++at) {
    const std::uint32_t key = at * kSpread;
    if (!beacon.covered_keys.Contains(key)) continue;
    beacon.engine_statuses.push_back({key, {1000, 1080}, 12.5, 70e6});
    beacon.fleet_loads.push_back({key, 190, 70e6, 12});
  }
  beacon.ready_instances.assign(kInstances, 0x0a010028);
  return beacon;
}

// Guards against a leader of thousands of endpoints that nobody hears, since
// its word is larger than a datagram.
BOOST_AUTO_TEST_CASE(WordOnThousandsOfEndpointsFitsADatagram) {
  constexpr std::size_t kLargestDatagram = 65507;
  for (const std::size_t endpoints : {800U, 3000U, 10000U}) {
    KeyRanges ranges;
    for (int round = 0; round < 20; ++round) {
      BOOST_TEST(Encode(WordOn(endpoints, ranges)).size() <= kLargestDatagram);
    }
  }
}

// Guards against endpoints of a large fleet that no message is about.
BOOST_AUTO_TEST_CASE(PartsTellOfAllEndpointsByTurns) {
  constexpr std::size_t kEndpoints = 3000;
  KeyRanges ranges;
  FleetLoads heard;
  for (int round = 0; round < 5; ++round) {
    const Beacon word = WordOn(kEndpoints, ranges);
    BOOST_TEST(word.covered_keys.Parts() == 5U);
    heard.Update(word.covered_keys, word.fleet_loads);
  }
  BOOST_TEST(heard.All().size() == kEndpoints);
}

// Guards against a lost message after which the sums of loads are wrong: every
// part stands alone, and says which endpoints have become idle.
BOOST_AUTO_TEST_CASE(PartReplacesWhatItIsAboutAndNothingElse) {
  const KeyRange low{0, 99};
  const KeyRange high{100, 199};
  FleetLoads heard;
  heard.Update(low, {{1, 2, 3000, 1}, {50, 1, 1000, 0}});
  heard.Update(high, {{150, 4, 5000, 2}});
  heard.Update(low, {{50, 6, 7000, 3}});
  const std::vector<KeyedLoad> expected = {{50, 6, 7000, 3}, {150, 4, 5000, 2}};
  BOOST_TEST((heard.All() == expected));
}

BOOST_AUTO_TEST_CASE(FewEndpointsAreOnePart) {
  KeyRanges ranges;
  for (const std::size_t endpoints : {0U, 1U, 211U, 600U}) {
    BOOST_TEST((ranges.Next(endpoints) == KeyRange{}));
  }
}

// Bytes of another sender, or of another build, are no beacon.
RC_BOOST_PROP(AnyBytesAreReadSafely, (const std::string& bytes)) {
  const auto read = Decode(bytes);
  RC_ASSERT(!read.has_value() || read->stamp >= 0 || read->stamp < 0);
}

// A datagram of a few bytes claims an array of more elements than there can be.
// The router ended itself on it: the parser throws for that claim even where it
// was told not to.
BOOST_AUTO_TEST_CASE(ClaimOfAnExcessiveArrayIsNone) {
  BOOST_TEST(!Decode("\x9b"
                     "aaaaaaaaaaa\x03")
                  .has_value());
}

BOOST_AUTO_TEST_CASE(CutBeaconIsNone) {
  const std::string whole = Encode(MakeBeacon("peer", 1));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_REQUIRE(!Decode(whole.substr(0, size)).has_value());
  }
}

// A peer read the configuration 300 ms before it answered. However long the
// answer was under way, the proof counts from before the question.
BOOST_AUTO_TEST_CASE(ProofCountsFromBeforeTheQuestion) {
  PeerTable table("own");
  table.OnBeacon("10.0.0.1:7", Vouching("own", 10000, 300), At(11000));
  const auto proved = table.ConfigurationConfirmedAt(5, At(11000));
  BOOST_REQUIRE(proved.has_value());
  BOOST_TEST((*proved == At(9700)));
  BOOST_TEST(!table.ConfigurationConfirmedAt(4, At(11000)).has_value());
}

// An instance lost power and started anew; its clock began at zero. A peer
// still echoes a stamp of the clock before, which lies far in the future. If
// it counted, the configuration would be taken as current for ever, nobody
// would read the store again, and revoked keys would go on working.
BOOST_AUTO_TEST_CASE(EchoOfAnEarlierStartProvesNothing) {
  PeerTable table("second-start");
  table.OnBeacon("10.0.0.1:7", Vouching("first-start", 900000, 300), At(50));
  BOOST_TEST(!table.ConfigurationConfirmedAt(5, At(50)).has_value());
  Beacon negative = Vouching("second-start", 40, -500000);
  negative.stamp += 1;
  table.OnBeacon("10.0.0.1:7", negative, At(60));
  BOOST_TEST(!table.ConfigurationConfirmedAt(5, At(60)).has_value());
}

// Guards against an outage that only this instance sees: a peer's word shows
// that the store answers, also with a list that isn't known here.
BOOST_AUTO_TEST_CASE(PeerWithAnotherListShowsThatTheStoreAnswers) {
  PeerTable table("me");
  Beacon beacon = MakeBeacon("peer", 1);
  beacon.endpoints_revision = 99;
  beacon.endpoints_age = milliseconds(300);
  beacon.echo = Duration(milliseconds(1000)).count();
  beacon.echo_of = "me";
  table.OnBeacon("10.0.0.1:7", beacon, At(1100));
  BOOST_TEST((!table.EndpointsConfirmedAt(98, At(1200))));
  BOOST_TEST((table.StoreAnsweredAt(At(1200)) == At(700)));
}

// A beacon overtaken by a newer one must not bring the past back, but a peer
// that started anew counts its clock from zero.
BOOST_AUTO_TEST_CASE(OvertakenBeaconIsDropped) {
  PeerTable table("own");
  BOOST_TEST(table.OnBeacon("10.0.0.1:7", MakeBeacon("peer", 20), At(1)));
  BOOST_TEST(!table.OnBeacon("10.0.0.1:7", MakeBeacon("peer", 10), At(2)));
  BOOST_TEST(table.OnBeacon("10.0.0.1:7", MakeBeacon("anew", 1), At(3)));
}

// A peer that fell silent is not named to callers, but its share of common
// budgets is kept for it: it may still work behind a cut.
BOOST_AUTO_TEST_CASE(SilentPeerIsNotLiveButCounted) {
  PeerTable table("own");
  table.OnBeacon("10.0.0.1:7", MakeBeacon("peer", 20), At(0));
  BOOST_TEST(table.AllLive(At(1000)).size() == 1U);
  BOOST_TEST(table.AllLive(At(2000)).empty());
  BOOST_TEST(table.InstanceCount(At(2000)) == 2U);
  BOOST_TEST(table.Addresses(At(2000)).size() == 1U);
  BOOST_TEST(table.Addresses(At(70000)).empty());
}

// A process has just started and has heard of one of the instances that the
// store told it of. It must not take itself for one of two.
BOOST_AUTO_TEST_CASE(InstanceIsCountedBeforeItIsHeardOf) {
  PeerTable table("own");
  table.AddAddress("10.0.0.1:7", At(0));
  table.AddAddress("10.0.0.2:7", At(0));
  table.OnBeacon("10.0.0.1:7", MakeBeacon("peer", 20), At(10));
  BOOST_TEST(table.InstanceCount(At(20)) == 3U);
  BOOST_TEST(table.InstanceCount(At(60005)) == 2U);
}

// Whoever has not said that it has run for long may have started just now: one
// that isn't heard of, one that fell silent, and one that says so.
BOOST_AUTO_TEST_CASE(InstancesThatMayHaveStartedLately) {
  constexpr Duration kLately = milliseconds(10000);
  PeerTable table("own");
  BOOST_TEST(table.StartedWithin(kLately, At(0)) == 1U);
  table.AddAddress("10.0.0.1:7", At(0));
  BOOST_TEST(table.StartedWithin(kLately, At(0)) == 2U);
  Beacon beacon = MakeBeacon("peer", 20);
  beacon.uptime = milliseconds(9500);
  table.OnBeacon("10.0.0.1:7", beacon, At(0));
  BOOST_TEST(table.StartedWithin(kLately, At(400)) == 2U);
  BOOST_TEST(table.StartedWithin(kLately, At(600)) == 1U);
  BOOST_TEST(table.StartedWithin(kLately, At(3000)) == 2U);
}

std::vector<std::string> Addresses(int count) {
  std::vector<std::string> addresses;
  for (int at = 0; at < count; ++at) {
    addresses.push_back("10.0.0." + std::to_string(at) + ":7");
  }
  return addresses;
}

/// The peers of one of \p size instances in five failure domains.
BeaconTargets MakeAudience(int size) {
  BeaconTargets audience;
  for (const std::string& one : Addresses(size)) {
    const bool near =
        audience.same_domain.size() <= audience.other_domains.size() / 4;
    (near ? audience.same_domain : audience.other_domains).push_back(one);
  }
  audience.leader = audience.other_domains.back();
  audience.backup_leaders = {audience.same_domain.back(),
                             audience.other_domains.front()};
  return audience;
}

// However large the fleet, an instance sends about as many messages a second as
// a small one, everybody hears of everybody in its failure domain within the
// time after which a peer is called silent, the leader hears of everybody in
// every round, and its backup leaders in every second one.
BOOST_AUTO_TEST_CASE(TalkDoesNotGrowWithTheFleet) {
  for (const int size : {5, 85, 295, 420}) {
    const BeaconTargets audience = MakeAudience(size);
    BeaconSchedule rotation;
    std::map<std::string, int> last_told;
    std::size_t sent = 0;
    const Duration silence = rotation.PeerTimeout(audience.same_domain.size());
    const int rounds =
        static_cast<int>(silence.count() / rotation.Period().count());
    for (int round = 0; round < rounds; ++round) {
      const auto chosen = rotation.Next(audience);
      BOOST_REQUIRE(chosen.size() <= 16U);
      BOOST_REQUIRE(std::count(chosen.begin(), chosen.end(), audience.leader) ==
                    1);
      for (const std::string& backup_leader : audience.backup_leaders) {
        const bool told = std::find(chosen.begin(), chosen.end(),
                                    backup_leader) != chosen.end();
        BOOST_REQUIRE((told || round % 2 == 0));
      }
      sent += chosen.size();
      for (const std::string& one : chosen) last_told[one] = round;
    }
    for (const std::string& one : audience.same_domain) {
      BOOST_REQUIRE(last_told.contains(one));
    }
    BOOST_TEST(sent <= static_cast<std::size_t>(rounds) * 16);
  }
}

// Domains that have lost the leader and one another find together again.
BOOST_AUTO_TEST_CASE(EveryOtherDomainIsToldByTurns) {
  const BeaconTargets audience = MakeAudience(85);
  BeaconSchedule rotation;
  std::set<std::string> told;
  for (std::size_t round = 0; round < 4 * audience.other_domains.size();
       ++round) {
    for (const std::string& one : rotation.Next(audience)) told.insert(one);
  }
  for (const std::string& one : audience.other_domains)
    BOOST_TEST(told.contains(one));
}

BOOST_AUTO_TEST_CASE(HubTellsEverybodyInEverySecondRound) {
  BeaconTargets audience = MakeAudience(85);
  audience.is_coordinator = true;
  BeaconSchedule rotation;
  int whole = 0;
  for (int round = 0; round < 10; ++round) {
    const std::size_t told = rotation.Next(audience).size();
    if (told == 85U) ++whole;
    BOOST_TEST(rotation.LastRoundWasBroadcast() == (told == 85U));
    BOOST_TEST((told == 85U || told == 1 + audience.backup_leaders.size()));
  }
  BOOST_TEST(whole == 5);
}

// Guards against a large fleet that serves nothing for seconds after all its
// processes were killed, since each asks the store for all of its lists: the
// few strong ones read, and the others only if nobody has told them.
BOOST_AUTO_TEST_CASE(FewReadWhenAllStartAtOnce) {
  constexpr std::size_t kInstances = 300;
  constexpr std::size_t kStrong = 15;
  const auto reading = [&](TimePoint now) {
    std::size_t count = 0;
    for (std::size_t at = 0; at < kInstances; ++at) {
      const double unit = static_cast<double>(at) / kInstances;
      const InitialReadPolicy one(at < kStrong ? 0.5 : 0.12, At(0), unit);
      if (one.MayRead(kInstances, now)) ++count;
    }
    return count;
  };
  BOOST_TEST(reading(At(0)) == kStrong);
  BOOST_TEST(reading(At(999)) == kStrong);
  // Where all strong ones are gone, one of the others is soon the first.
  BOOST_TEST(reading(At(1500)) > kStrong);
  BOOST_TEST(reading(At(2000)) < kInstances / 4);
  BOOST_TEST(reading(At(9000)) == kInstances);
}

BOOST_AUTO_TEST_CASE(InstanceOfASmallFleetReadsAtOnce) {
  const InitialReadPolicy weak(0.12, At(0), 0.9);
  BOOST_TEST(!weak.MayRead(std::nullopt, At(10)));
  BOOST_TEST(weak.MayRead(6, At(10)));
}

// The holder of the lease lost the store, and 86 instances asked for the lease
// at the same moment: hundreds of calls for one winner. The strongest try
// first, and the others only if none of them could.
BOOST_AUTO_TEST_CASE(FewTryForAVacantLeadership) {
  constexpr std::size_t kInstances = 86;
  std::size_t at_once = 0;
  std::size_t in_the_end = 0;
  for (std::size_t ahead = 0; ahead < kInstances; ++ahead) {
    ElectionPolicy one(0.5, At(0));
    BOOST_TEST(!one.MayAttempt(false, ahead, At(9000)));
    if (one.MayAttempt(true, ahead, At(10000))) ++at_once;
    if (one.MayAttempt(true, ahead, At(13000))) ++in_the_end;
  }
  BOOST_TEST(at_once == ElectionSettings().at_once);
  BOOST_TEST(in_the_end == kInstances);
}

// All processes start at once and none has heard of another. A weak one that
// took the lease would spend its processor on it for the rest of the day.
BOOST_AUTO_TEST_CASE(WeakInstanceLetsStrongOnesGoFirstAtStart) {
  ElectionPolicy weak(0.12, At(0));
  BOOST_TEST(!weak.MayAttempt(true, 0, At(900)));
  BOOST_TEST(weak.MayAttempt(true, 0, At(1000)));
  ElectionPolicy strong(0.25, At(0));
  BOOST_TEST(strong.MayAttempt(true, 0, At(0)));
}

BOOST_AUTO_TEST_CASE(StrongerPeersAreAhead) {
  PeerTable table("own");
  Beacon beacon = MakeBeacon("strong", 1);
  beacon.processor_share = 0.5;
  beacon.callers_address = "10.0.0.9:80";
  table.OnBeacon("10.0.0.9:7", beacon, At(0));
  beacon.instance = "equal";
  beacon.processor_share = 0.12;
  beacon.callers_address = "10.0.0.1:80";
  table.OnBeacon("10.0.0.1:7", beacon, At(0));
  BOOST_TEST(table.CandidatesAhead(0.12, "10.0.0.5:80", At(100)) == 2U);
  BOOST_TEST(table.CandidatesAhead(0.5, "10.0.0.5:80", At(100)) == 0U);
  BOOST_TEST(table.CandidatesAhead(0.12, "10.0.0.5:80", At(9000)) == 0U);
}

// Guards against a leader and its backup leaders that fall together with one
// failure domain, and against a weak backup leader that spends its processor on
// talk.
BOOST_AUTO_TEST_CASE(DeputiesAreStrongAndInOtherDomains) {
  PeerTable table("own");
  int at = 0;
  for (const char* domain : {"a", "a", "b", "b", "c"}) {
    for (const double share : {0.12, 0.5}) {
      Beacon beacon = MakeBeacon("peer" + std::to_string(++at), 1);
      beacon.failure_domain = domain;
      beacon.processor_share = share;
      table.OnBeacon("10.0.0." + std::to_string(at) + ":7", beacon, At(0));
    }
  }
  const std::vector<std::string> expected = {"10.0.0.10:7", "10.0.0.6:7"};
  BOOST_TEST(ChooseBackupLeaders(table, "a", At(100)) == expected,
             boost::test_tools::per_element());
  BOOST_TEST(ChooseBackupLeaders(table, "a", At(9000)).empty());
}

// Guards against a fleet that knows nothing of its engines while nobody leads,
// and against several that ask them all.
BOOST_AUTO_TEST_CASE(FirstLiveDeputyActsForTheLeader) {
  PeerTable table("own");
  const std::vector<std::string> backup_leaders = {"10.0.0.1:7", "10.0.0.2:7"};
  BOOST_TEST(ActsForLeader(table, backup_leaders, "10.0.0.1:7", At(0)));
  BOOST_TEST(ActsForLeader(table, backup_leaders, "10.0.0.2:7", At(0)));
  table.OnBeacon("10.0.0.1:7", MakeBeacon("first", 1), At(0));
  BOOST_TEST(!ActsForLeader(table, backup_leaders, "10.0.0.2:7", At(100)));
  BOOST_TEST(!ActsForLeader(table, backup_leaders, "10.0.0.3:7", At(100)));
  BOOST_TEST(ActsForLeader(table, backup_leaders, "10.0.0.2:7", At(9000)));
  Beacon beacon = MakeBeacon("leader", 1);
  beacon.leads = true;
  table.OnBeacon("10.0.0.9:7", beacon, At(9000));
  BOOST_TEST(!ActsForLeader(table, backup_leaders, "10.0.0.2:7", At(9000)));
}

// Guards against an instance that takes its own failed reads for an outage of
// the store, and uses an endpoint for seconds after it has left.
BOOST_AUTO_TEST_CASE(HubThatHasReadLatelyShowsThatTheStoreIsUp) {
  PeerTable table("own");
  BOOST_CHECK(!table.CoordinatorConfirmationAge({"10.0.0.2:7"}, At(0)));
  Beacon beacon = MakeBeacon("leader", 1);
  beacon.leads = true;
  beacon.configuration_age = milliseconds(4000);
  table.OnBeacon("10.0.0.1:7", beacon, At(0));
  BOOST_CHECK(table.CoordinatorConfirmationAge({}, At(100)) ==
              milliseconds(4100));
  beacon = MakeBeacon("deputy", 1);
  beacon.configuration_age = milliseconds(300);
  table.OnBeacon("10.0.0.2:7", beacon, At(0));
  BOOST_CHECK(table.CoordinatorConfirmationAge({"10.0.0.2:7"}, At(100)) ==
              milliseconds(400));
  BOOST_CHECK(!table.CoordinatorConfirmationAge({"10.0.0.2:7"}, At(1600)));
}

// Where there is one failure domain only, backup leaders are in it too.
BOOST_AUTO_TEST_CASE(DeputiesOfOneDomain) {
  PeerTable table("own");
  for (const char* address : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"}) {
    table.OnBeacon(address, MakeBeacon(address, 1), At(0));
  }
  BOOST_TEST(ChooseBackupLeaders(table, "", At(100)).size() == kBackupLeaders);
}

// Guards against callers that are sent for half a minute to an instance which
// has gone: the leader's word counts for a moment, and an empty one for
// nothing.
BOOST_AUTO_TEST_CASE(RosterCountsForAMoment) {
  ReadyInstanceList ready_list;
  ready_list.Update({}, At(0));
  BOOST_TEST(!ready_list.IsCurrent(At(0)));
  ready_list.Update({1, 2}, At(0));
  ready_list.Update({}, At(1000));
  BOOST_TEST(ready_list.IsCurrent(At(1500)));
  BOOST_TEST(!ready_list.IsCurrent(At(1501)));
}

BOOST_AUTO_TEST_CASE(AddressesSurviveAsNumbers) {
  const auto number = IpNumber("10.1.0.40:8227");
  BOOST_REQUIRE(number.has_value());
  BOOST_TEST(AddressOf(*number, "8220") == "10.1.0.40:8220");
  BOOST_TEST(!IpNumber("nowhere:1").has_value());
}

// A leader that has fallen silent is looked for again sooner than any other
// peer of a large fleet, whose turn comes seldom.
BOOST_AUTO_TEST_CASE(SilentLeaderIsNoLeader) {
  PeerTable table("own");
  table.SetPeerTimeout(milliseconds(20000));
  Beacon beacon = MakeBeacon("leader", 1);
  beacon.leads = true;
  table.OnBeacon("10.0.0.1:7", beacon, At(0));
  BOOST_TEST(table.Leader(At(1500)) == "10.0.0.1:7");
  BOOST_TEST(table.Leader(At(1501)).empty());
  BOOST_TEST(table.AllLive(At(1501)).size() == 1U);
}

// An instance of a large fleet talks to its own failure domain; one of which
// only the address is known may be in it.
BOOST_AUTO_TEST_CASE(NearPeersAreThoseOfTheOwnDomain) {
  PeerTable table("own");
  Beacon beacon = MakeBeacon("near", 1);
  beacon.failure_domain = "a";
  table.OnBeacon("10.0.0.1:7", beacon, At(0));
  beacon = MakeBeacon("far", 1);
  beacon.failure_domain = "b";
  table.OnBeacon("10.0.0.2:7", beacon, At(0));
  table.AddAddress("10.0.0.3:7", At(0));
  const std::vector<std::string> near = {"10.0.0.1:7", "10.0.0.3:7"};
  BOOST_TEST(table.AddressesInDomain("a", At(0)) == near,
             boost::test_tools::per_element());
  BOOST_TEST(table.AddressesInOtherDomains("a", At(0)).size() == 1U);
}

}  // namespace
}  // namespace toucanwharf::gossip
