#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/endpoints/load_tracker.h"

namespace toucanwharf::endpoints {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGrace = milliseconds(2000);
constexpr Duration kShortestOutage = milliseconds(2400);

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

Endpoint MakeEndpoint(const std::string& id) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.start_time_ms = 1;
  endpoint.service = "service";
  endpoint.address = "10.0.0.1:80";
  return endpoint;
}

std::size_t Ready(const EndpointTable& table) {
  std::size_t count = 0;
  table.ForEachReady("service", [&](const Endpoint&) { ++count; });
  return count;
}

/// Puts the list that a read of \p at shows into \p table.
bool List(EndpointTable& table, std::vector<Endpoint> listed,
          std::uint64_t revision, TimePoint at) {
  return table.Replace(std::move(listed), revision, at, at);
}

// The store is away for some seconds, and the entries of all endpoints run out
// meanwhile. When it returns its list is empty. A router that believed it would
// refuse everything, though every endpoint lives.
BOOST_AUTO_TEST_CASE(EntriesThatLapsedInAnOutageAreKept) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  List(table, {}, 20, At(5000));
  BOOST_TEST(Ready(table) == 2U);
  BOOST_TEST(table.RetainedCount() == 2U);
  List(table, {MakeEndpoint("one")}, 30, At(6000));
  BOOST_TEST(Ready(table) == 2U);
  List(table, {MakeEndpoint("one")}, 31, At(7100));
  BOOST_TEST(Ready(table) == 1U);
}

// The same, and nobody hands this instance another list after the first one,
// but a peer's word that it is still the same: what is missing is gone when the
// time is over.
BOOST_AUTO_TEST_CASE(GraceIsOverWithoutANewList) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  List(table, {MakeEndpoint("one")}, 20, At(5000));
  BOOST_TEST(!table.Confirm(At(6900), At(7100)));
  BOOST_TEST(Ready(table) == 2U);
  BOOST_TEST(table.Confirm(At(7000), At(7200)));
  BOOST_TEST(Ready(table) == 1U);
  BOOST_TEST(table.RetainedCount() == 0U);
}

// An instance reads once right after an outage, when most entries are missing,
// and goes by its peers' word from then on. Entries that come back are news to
// the others: or it would drop living endpoints when the time is over.
BOOST_AUTO_TEST_CASE(EntriesThatComeBackAreAChangeOfTheList) {
  EndpointTable reader(kGrace, kShortestOutage);
  EndpointTable table(kGrace, kShortestOutage);
  for (EndpointTable* one : {&reader, &table}) {
    List(*one, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
    one->OnStoreUnavailable(At(1000));
    List(*one, {MakeEndpoint("one")}, 20, At(5000));
  }
  const auto both = {MakeEndpoint("one"), MakeEndpoint("two")};
  BOOST_TEST(List(reader, both, 30, At(5600)));
  BOOST_REQUIRE(reader.ChangedRevision() > table.Revision());
  table.Adopt(reader.Share(At(5700)), At(5700));
  BOOST_TEST(!table.Confirm(At(7000), At(7200)));
  BOOST_TEST(Ready(table) == 2U);
}

// The store is away, and after its return another instance reads for this one,
// whose list doesn't change. Seconds later an endpoint leaves and its entry is
// gone. Callers were still led to it for two seconds, because the first list
// after the outage was taken as the store's return (I5).
BOOST_AUTO_TEST_CASE(GraceCountsFromTheReturnThatAPeerSaw) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.Confirm(At(5000), At(5250));
  table.Confirm(At(7500), At(7700));
  EndpointListSnapshot list;
  list.endpoints = {MakeEndpoint("one")};
  list.revision = 20;
  BOOST_TEST(table.Adopt(list, At(8000)));
  BOOST_TEST(Ready(table) == 1U);
}

// A peer's word from before the outage doesn't end it.
BOOST_AUTO_TEST_CASE(ProofOfBeforeTheOutageDoesNotBeginTheGrace) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.Confirm(At(900), At(1100));
  List(table, {}, 20, At(5000));
  BOOST_TEST(Ready(table) == 1U);
}

// An instance starts right after an outage and takes its list from a peer that
// keeps entries. It keeps them as long as the peer, no longer.
BOOST_AUTO_TEST_CASE(GraceOfAPeerGoesOnHere) {
  EndpointTable reader(kGrace, kShortestOutage);
  List(reader, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  reader.OnStoreUnavailable(At(1000));
  List(reader, {MakeEndpoint("one")}, 20, At(5000));
  EndpointTable table(kGrace, kShortestOutage);
  table.Adopt(reader.Share(At(5500)), At(5500));
  BOOST_TEST(Ready(table) == 2U);
  BOOST_TEST(table.RetainedCount() == 1U);
  BOOST_TEST(!table.Confirm(At(6999), At(7100)));
  BOOST_TEST(table.Confirm(At(7000), At(7200)));
  BOOST_TEST(Ready(table) == 1U);
}

// The reader lost its memory in the outage and knows of nobody whose entry has
// run out. The others must not drop those endpoints with its list.
BOOST_AUTO_TEST_CASE(ListOfAPeerWithoutMemoryDropsNothingInTheGrace) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.Confirm(At(5000), At(5100));
  EndpointListSnapshot list;
  list.revision = 20;
  table.Adopt(list, At(5200));
  BOOST_TEST(Ready(table) == 2U);
  BOOST_TEST(table.Confirm(At(7100), At(7200)));
  BOOST_TEST(Ready(table) == 0U);
}

// Guards against an endpoint that is used for two seconds after it has left,
// because a single read failed just before its entry was removed (I5).
BOOST_AUTO_TEST_CASE(OneFailedReadKeepsNoEndpointThatLeft) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1600));
  BOOST_TEST(List(table, {MakeEndpoint("two")}, 11, At(2300)));
  BOOST_TEST(Ready(table) == 1U);
  BOOST_TEST(table.RetainedCount() == 0U);
}

// Guards against endpoints that are used for two seconds after they have left,
// because the reader's own link was crowded for longer than entries last, while
// the store answered others (I5).
BOOST_AUTO_TEST_CASE(FailedReadsBesideAnswersToOthersKeepNoEndpoint) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.OnStoreAnswered(At(900), At(1200));
  table.OnStoreAnswered(At(2100), At(2400));
  BOOST_TEST(List(table, {MakeEndpoint("two")}, 11, At(3500)));
  BOOST_TEST(Ready(table) == 1U);
  BOOST_TEST(table.RetainedCount() == 0U);
}

// Guards against endpoints that an instance uses for as long as the store turns
// it away, though its peers hand it newer lists, and against peers that take
// that from it (I5).
BOOST_AUTO_TEST_CASE(InstanceThatIsTurnedAwayKeepsNoEndpointThatLeft) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  for (int at = 1000; at <= 6000; at += 300) {
    table.OnStoreUnavailable(At(at));
    table.OnStoreAnswered(At(at - 1000), At(at));
  }
  EndpointListSnapshot list;
  list.endpoints = {MakeEndpoint("two")};
  list.revision = 11;
  BOOST_TEST(table.Adopt(list, At(6100)));
  BOOST_TEST(Ready(table) == 1U);
  BOOST_TEST(table.Share(At(6100)).retained_for.count() == 0);
}

// Guards against an outage whose end a peer saw while the last read of this
// instance was still failing.
BOOST_AUTO_TEST_CASE(FailureThatEndsAfterThePeersReadHidesNoOutage) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(5500));
  table.OnStoreAnswered(At(5100), At(5600));
  List(table, {}, 20, At(5900));
  BOOST_TEST(Ready(table) == 2U);
}

// Guards against a peer's word that the store is back from an outage, with a
// list not known here yet, which takes the grace from the entries missing in
// it.
BOOST_AUTO_TEST_CASE(OutageThatAPeerSawTheEndOfBeginsTheGrace) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.OnStoreAnswered(At(500), At(1100));
  table.OnStoreAnswered(At(5000), At(5200));
  List(table, {}, 20, At(5600));
  BOOST_TEST(Ready(table) == 2U);
  List(table, {}, 21, At(7300));
  BOOST_TEST(Ready(table) == 0U);
}

// Without an outage an entry that is gone is gone at once (I5).
BOOST_AUTO_TEST_CASE(RemovedEntryIsGone) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  BOOST_TEST(List(table, {MakeEndpoint("two")}, 11, At(100)));
  BOOST_TEST(Ready(table) == 1U);
}

// An endpoint says that it leaves right after an outage: the grace is for
// missing entries only.
BOOST_AUTO_TEST_CASE(DrainingIsBelievedAtOnce) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  Endpoint leaving = MakeEndpoint("one");
  leaving.state = EndpointState::kDraining;
  List(table, {leaving}, 20, At(5000));
  BOOST_TEST(Ready(table) == 0U);
}

// Two answers overtake each other; the older list must not bring an endpoint
// back that is gone.
BOOST_AUTO_TEST_CASE(OlderListIsIgnored) {
  EndpointTable table(kGrace, kShortestOutage);
  List(table, {MakeEndpoint("one")}, 10, At(0));
  BOOST_TEST(
      !List(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 9, At(100)));
  BOOST_TEST(Ready(table) == 1U);
  BOOST_TEST(table.ChangedRevision() == 10U);
}

BOOST_AUTO_TEST_CASE(LoadsOfAllInstancesAddUp) {
  LoadTracker book;
  book.AddInFlight({"engine", 1, 100, 1});
  book.AddInFlight({"engine", 1, 50, 0});
  book.SetPeerLoads({{"engine", 2, 30, 1}, {"engine", 1, 10, 0}});
  BOOST_TEST(book.Total("engine").answers == 5);
  BOOST_TEST(book.Total("engine").token_layers == 190);
  book.RemoveInFlight({"engine", 1, 100, 1});
  book.RemoveInFlight({"engine", 1, 50, 0});
  BOOST_TEST(book.Local().empty());
  BOOST_TEST(book.Total("engine").answers == 3);
}

// An engine started anew under its old id holds nothing; what it reported in
// its former life must not lead answers to it.
BOOST_AUTO_TEST_CASE(FactOfAnEarlierLifeDoesNotCount) {
  LoadTracker book;
  book.SetEngineStatus({"engine", 1, {0, 26}, 1.0}, At(3000));
  Endpoint endpoint = MakeEndpoint("engine");
  BOOST_TEST(book.ToEngine(endpoint, At(0)).layers.Count() == 26U);
  endpoint.start_time_ms = 2;
  BOOST_TEST(book.ToEngine(endpoint, At(0)).layers.Count() == 0U);
}

BOOST_AUTO_TEST_CASE(SuspicionEndsByItself) {
  LoadTracker book;
  book.Suspect("engine", At(1000));
  book.Suspect("engine", At(500));
  BOOST_TEST(book.IsSuspected("engine", At(999)));
  BOOST_TEST(!book.IsSuspected("engine", At(1000)));
  BOOST_TEST(book.Suspicions(At(400), false).size() == 1U);
  BOOST_TEST(book.Suspicions(At(1000), false).empty());
}

// An engine is dead, and one instance has found out. The others learn which
// suspicions are of silence, and the news is told once.
BOOST_AUTO_TEST_CASE(SilenceIsToldApartFromRefusals) {
  LoadTracker book;
  book.Suspect("refuses", At(1000));
  BOOST_TEST(book.MarkUnresponsive("silent", At(1000), At(0)));
  BOOST_TEST(!book.MarkUnresponsive("silent", At(1200), At(10)));
  BOOST_TEST(book.IsUnresponsive("silent", At(1100)));
  BOOST_TEST(!book.IsUnresponsive("refuses", At(10)));
  BOOST_TEST(book.IsSuspected("silent", At(10)));
  for (const gossip::Suspicion& one : book.Suspicions(At(10), false)) {
    BOOST_TEST(one.unresponsive == (one.endpoint == "silent"));
  }
  book.OnResponse("silent", At(10));
  BOOST_TEST(!book.IsSuspected("silent", At(10)));
}

// An engine was dead for a moment. Instances that passed on what they had heard
// would keep the word of it going among themselves when it is long back.
BOOST_AUTO_TEST_CASE(HearsayIsNotPassedOn) {
  LoadTracker book;
  BOOST_TEST(book.MarkReportedUnresponsive("engine", At(1000), At(0)));
  BOOST_TEST(book.IsUnresponsive("engine", At(10)));
  BOOST_TEST(book.Suspicions(At(10), false).empty());
  BOOST_TEST(book.Suspicions(At(10), true).size() == 1U);
}

// An instance asks an engine and gets an answer, while others still tell what
// they found before.
BOOST_AUTO_TEST_CASE(OwnAnswerOutweighsOthersWord) {
  LoadTracker book;
  book.OnResponse("engine", At(0));
  BOOST_TEST(!book.MarkReportedUnresponsive("engine", At(1000), At(299)));
  BOOST_TEST(!book.IsUnresponsive("engine", At(299)));
  BOOST_TEST(book.MarkReportedUnresponsive("engine", At(1000), At(300)));
}

// A third of the instances are cut off from the others. What they last heard
// of their loads is from a calm moment, so they send everything to the same
// engines, which refuse their callers.
BOOST_AUTO_TEST_CASE(InstanceThatHearsNobodyTakesOthersAsLoadedLikeItself) {
  LoadTracker book;
  book.AddInFlight({"engine", 2, 2000, 1});
  book.SetPeerLoads({{"engine", 3, 3000, 0}, {"other", 5, 5000, 0}});
  book.AssumeEqualPeerLoad(70);
  BOOST_TEST(book.Total("engine").answers == 142);
  BOOST_TEST(book.Total("engine").token_layers == 142000);
  BOOST_TEST(book.Total("other").answers == 5);
  book.AssumeEqualPeerLoad(0);
  BOOST_TEST(book.Total("engine").answers == 5);
}

// Instances that can't be heard fill an engine. Its own report tells, and
// requests go elsewhere instead of being refused there.
BOOST_AUTO_TEST_CASE(EnginesOwnWordCountsWhereItSaysMore) {
  LoadTracker book;
  book.AddInFlight({"engine", 1, 1000, 1});
  const Endpoint endpoint = MakeEndpoint("engine");
  book.SetEngineStatus({"engine", 1, {0, 26}, 1.0, 500000}, At(3000));
  BOOST_TEST(book.ToEngine(endpoint, At(0)).token_layers == 500000);
  BOOST_TEST(book.ToEngine(endpoint, At(3000)).token_layers == 1000);
}

// An engine says that it is well and refuses everything. Every instance tries
// it again after each pause, at the cost of a caller's time.
BOOST_AUTO_TEST_CASE(PausesAfterRefusalsInARowGrow) {
  LoadTracker book;
  book.OnRefusal("engine", false, At(0));
  book.OnRefusal("engine", false, At(10));
  BOOST_TEST(book.IsSuspected("engine", At(999)));
  BOOST_TEST(!book.IsSuspected("engine", At(1000)));
  BOOST_TEST(book.Suspicions(At(10), false).size() == 1U);
  book.OnRefusal("engine", false, At(1100));
  BOOST_TEST(book.IsSuspected("engine", At(3099)));
  BOOST_TEST(!book.IsSuspected("engine", At(3100)));
  book.OnRefusal("engine", false, At(9000));
  BOOST_TEST(!book.IsSuspected("engine", At(10000)));
}

// A full engine has room again soon. If every instance kept away from it for a
// second because one was refused, a third of its room would lie idle.
BOOST_AUTO_TEST_CASE(FullEngineIsLeftAloneForAMomentByOneInstance) {
  LoadTracker book;
  book.OnRefusal("engine", true, At(0));
  BOOST_TEST(book.IsSuspected("engine", At(399)));
  BOOST_TEST(!book.IsSuspected("engine", At(400)));
  BOOST_TEST(book.Suspicions(At(10), false).empty());
}

}  // namespace
}  // namespace toucanwharf::endpoints
