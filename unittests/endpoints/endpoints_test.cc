#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/endpoints/load_tracker.h"

namespace toucanwharf::endpoints {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGrace = milliseconds(2000);
constexpr Duration kMinOutage = milliseconds(2400);

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

Endpoint MakeEndpoint(const std::string& id) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.start_time_ms = 1;
  endpoint.service = "service";
  endpoint.address = "10.0.0.1:80";
  return endpoint;
}

std::size_t ReadyCount(const EndpointTable& table) {
  std::size_t count = 0;
  table.ForEachReady("service", [&](const Endpoint&) { ++count; });
  return count;
}

/// Applies to \p table the list that a read at \p read returned.
bool ApplyList(EndpointTable& table, std::vector<Endpoint> listed,
               std::uint64_t revision, TimePoint read) {
  return table.Replace(std::move(listed), {0, revision}, read, read);
}

// The store is unavailable for some seconds, and the entries of all endpoints
// expire meanwhile. When it returns its list is empty. A router that applied
// that list would refuse everything, though every endpoint is alive.
BOOST_AUTO_TEST_CASE(EntriesThatExpiredInAnOutageAreRetained) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  ApplyList(table, {}, 20, At(5000));
  BOOST_TEST(ReadyCount(table) == 2U);
  BOOST_TEST(table.RetainedCount() == 2U);
  ApplyList(table, {MakeEndpoint("one")}, 30, At(6000));
  BOOST_TEST(ReadyCount(table) == 2U);
  ApplyList(table, {MakeEndpoint("one")}, 31, At(7100));
  BOOST_TEST(ReadyCount(table) == 1U);
}

// The same, and this instance gets no other list after the first one, but a
// peer's confirmation that it is unchanged: endpoints that are missing are
// dropped when the grace period is over.
BOOST_AUTO_TEST_CASE(GracePeriodEndsWithoutANewList) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  ApplyList(table, {MakeEndpoint("one")}, 20, At(5000));
  BOOST_TEST(!table.Confirm(At(6900), At(7100)));
  BOOST_TEST(ReadyCount(table) == 2U);
  BOOST_TEST(table.Confirm(At(7000), At(7200)));
  BOOST_TEST(ReadyCount(table) == 1U);
  BOOST_TEST(table.RetainedCount() == 0U);
}

// An instance reads once right after an outage, when most entries are missing,
// and relies on its peers' confirmations from then on. Entries that come back
// must count as a change for the others, or this instance drops live endpoints
// when the grace period is over.
BOOST_AUTO_TEST_CASE(EntriesThatComeBackAreAChangeOfTheList) {
  EndpointTable reader(kGrace, kMinOutage);
  EndpointTable table(kGrace, kMinOutage);
  for (EndpointTable* either : {&reader, &table}) {
    ApplyList(*either, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
    either->OnStoreUnavailable(At(1000));
    ApplyList(*either, {MakeEndpoint("one")}, 20, At(5000));
  }
  const auto both = {MakeEndpoint("one"), MakeEndpoint("two")};
  BOOST_TEST(ApplyList(reader, both, 30, At(5600)));
  BOOST_REQUIRE(reader.ChangedRevision() > table.Revision());
  table.Adopt(reader.Share(At(5700)), At(5700));
  BOOST_TEST(!table.Confirm(At(7000), At(7200)));
  BOOST_TEST(ReadyCount(table) == 2U);
}

// The store is unavailable, and after its return another instance reads for
// this one, whose list doesn't change. Seconds later an endpoint leaves and its
// entry is removed. If the first list after the outage counted as the store's
// return, callers would be sent to that endpoint for two more seconds (I5).
BOOST_AUTO_TEST_CASE(GracePeriodStartsAtTheReturnThatAPeerSaw) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.Confirm(At(5000), At(5250));
  table.Confirm(At(7500), At(7700));
  EndpointListSnapshot list;
  list.endpoints = {MakeEndpoint("one")};
  list.revision = {0, 20};
  BOOST_TEST(table.Adopt(list, At(8000)));
  BOOST_TEST(ReadyCount(table) == 1U);
}

// A peer's confirmation from before the outage doesn't end it.
BOOST_AUTO_TEST_CASE(
    ConfirmationFromBeforeTheOutageDoesNotStartTheGracePeriod) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.Confirm(At(900), At(1100));
  ApplyList(table, {}, 20, At(5000));
  BOOST_TEST(ReadyCount(table) == 1U);
}

// An instance starts right after an outage and takes its list from a peer that
// retains entries. It retains them as long as the peer, no longer.
BOOST_AUTO_TEST_CASE(GracePeriodOfAPeerContinuesHere) {
  EndpointTable reader(kGrace, kMinOutage);
  ApplyList(reader, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  reader.OnStoreUnavailable(At(1000));
  ApplyList(reader, {MakeEndpoint("one")}, 20, At(5000));
  EndpointTable table(kGrace, kMinOutage);
  table.Adopt(reader.Share(At(5500)), At(5500));
  BOOST_TEST(ReadyCount(table) == 2U);
  BOOST_TEST(table.RetainedCount() == 1U);
  BOOST_TEST(!table.Confirm(At(6999), At(7100)));
  BOOST_TEST(table.Confirm(At(7000), At(7200)));
  BOOST_TEST(ReadyCount(table) == 1U);
}

// The reader restarted in the outage and lost its list, so it retains no
// endpoint whose entry expired. The others must not drop those endpoints with
// its list.
BOOST_AUTO_TEST_CASE(ListOfARestartedPeerDropsNothingInTheGracePeriod) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.Confirm(At(5000), At(5100));
  EndpointListSnapshot list;
  list.revision = {0, 20};
  table.Adopt(list, At(5200));
  BOOST_TEST(ReadyCount(table) == 2U);
  BOOST_TEST(table.Confirm(At(7100), At(7200)));
  BOOST_TEST(ReadyCount(table) == 0U);
}

// Guards against an endpoint that is used for two seconds after it has left,
// because a single read failed just before its entry was removed (I5).
BOOST_AUTO_TEST_CASE(OneFailedReadRetainsNoEndpointThatLeft) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1600));
  BOOST_TEST(ApplyList(table, {MakeEndpoint("two")}, 11, At(2300)));
  BOOST_TEST(ReadyCount(table) == 1U);
  BOOST_TEST(table.RetainedCount() == 0U);
}

// Guards against endpoints that are used for two seconds after they have left,
// because the reader's own link was congested for longer than entries last,
// while the store answered others (I5).
BOOST_AUTO_TEST_CASE(FailedReadsBesideAnswersToOthersRetainNoEndpoint) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.OnStoreAnswered(At(900), At(1200));
  table.OnStoreAnswered(At(2100), At(2400));
  BOOST_TEST(ApplyList(table, {MakeEndpoint("two")}, 11, At(3500)));
  BOOST_TEST(ReadyCount(table) == 1U);
  BOOST_TEST(table.RetainedCount() == 0U);
}

// Guards against endpoints that an instance uses for as long as the store
// refuses its reads, though its peers send it newer lists, and against peers
// that take those endpoints over from it (I5).
BOOST_AUTO_TEST_CASE(InstanceWithRefusedReadsRetainsNoEndpointThatLeft) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  for (int millis = 1000; millis <= 6000; millis += 300) {
    table.OnStoreUnavailable(At(millis));
    table.OnStoreAnswered(At(millis - 1000), At(millis));
  }
  EndpointListSnapshot list;
  list.endpoints = {MakeEndpoint("two")};
  list.revision = {0, 11};
  BOOST_TEST(table.Adopt(list, At(6100)));
  BOOST_TEST(ReadyCount(table) == 1U);
  BOOST_TEST(table.Share(At(6100)).retained_for.count() == 0);
}

// Guards against an outage that is missed because a peer saw its end while the
// last read of this instance was still failing.
BOOST_AUTO_TEST_CASE(FailureThatEndsAfterThePeersReadHidesNoOutage) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(5500));
  table.OnStoreAnswered(At(5100), At(5600));
  ApplyList(table, {}, 20, At(5900));
  BOOST_TEST(ReadyCount(table) == 2U);
}

// Guards against a peer's report that the store is back from an outage, with a
// list not known here yet, that leaves no grace period to the entries missing
// in it.
BOOST_AUTO_TEST_CASE(OutageThatAPeerSawTheEndOfStartsTheGracePeriod) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  table.OnStoreAnswered(At(500), At(1100));
  table.OnStoreAnswered(At(5000), At(5200));
  ApplyList(table, {}, 20, At(5600));
  BOOST_TEST(ReadyCount(table) == 2U);
  ApplyList(table, {}, 21, At(7300));
  BOOST_TEST(ReadyCount(table) == 0U);
}

// Without an outage a removed entry takes effect immediately (I5).
BOOST_AUTO_TEST_CASE(RemovedEntryIsDroppedImmediately) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  BOOST_TEST(ApplyList(table, {MakeEndpoint("two")}, 11, At(100)));
  BOOST_TEST(ReadyCount(table) == 1U);
}

// An endpoint announces that it drains right after an outage: the grace period
// is for missing entries only.
BOOST_AUTO_TEST_CASE(DrainingTakesEffectImmediately) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one")}, 10, At(0));
  table.OnStoreUnavailable(At(1000));
  Endpoint leaving = MakeEndpoint("one");
  leaving.state = EndpointState::kDraining;
  ApplyList(table, {leaving}, 20, At(5000));
  BOOST_TEST(ReadyCount(table) == 0U);
}

/// Applies to \p table the list of the store's epoch \p epoch that a read at
/// \p read returned.
bool ApplyInEpoch(EndpointTable& table, std::uint64_t epoch,
                  std::vector<Endpoint> listed, std::uint64_t revision,
                  TimePoint read) {
  return table.Replace(std::move(listed), {epoch, revision}, read, read);
}

Endpoint MakeDraining(const std::string& id) {
  Endpoint endpoint = MakeEndpoint(id);
  endpoint.state = EndpointState::kDraining;
  return endpoint;
}

// Guards against lists that are ignored for as long as the store's revisions
// are lower than before its return (I5).
BOOST_AUTO_TEST_CASE(ListAfterTheStoresReturnTakesEffect) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyInEpoch(table, 1, {MakeEndpoint("one")}, 112, At(0));
  table.OnStoreReturned(At(3000));
  ApplyInEpoch(table, 2, {MakeEndpoint("one")}, 100, At(3000));
  BOOST_TEST(ApplyInEpoch(table, 2, {MakeDraining("one")}, 101, At(3600)));
  BOOST_TEST(ReadyCount(table) == 0U);
}

// Guards against endpoints that get work again, because a copy of the store
// lists them from before they drained or were removed (I5).
BOOST_AUTO_TEST_CASE(EndpointsThatLeftStayUnusedAfterTheStoresReturn) {
  EndpointTable table(kGrace, kMinOutage);
  const auto before = {MakeEndpoint("drains"), MakeEndpoint("goes"),
                       MakeEndpoint("stays")};
  ApplyInEpoch(table, 1, before, 100, At(0));
  ApplyInEpoch(table, 1, {MakeDraining("drains"), MakeEndpoint("stays")}, 110,
               At(600));
  table.OnStoreReturned(At(3000));
  ApplyInEpoch(table, 2, before, 100, At(3000));
  BOOST_TEST(ReadyCount(table) == 1U);
  BOOST_TEST(table.CorrectedCount() == 2U);
  // The entry of the one that has gone expires.
  ApplyInEpoch(table, 2, {MakeDraining("drains"), MakeEndpoint("stays")}, 101,
               At(5000));
  BOOST_TEST(ReadyCount(table) == 1U);
  BOOST_TEST(table.CorrectedCount() == 0U);
}

// Guards against an endpoint that is unused for good though it lives: its entry
// had expired before the store's return, and the copy lists it.
BOOST_AUTO_TEST_CASE(ListedEndpointIsUsedOnceItsEntryWouldHaveExpired) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyInEpoch(table, 1, {MakeEndpoint("one")}, 100, At(0));
  ApplyInEpoch(table, 1, {}, 110, At(600));
  table.OnStoreReturned(At(3000));
  ApplyInEpoch(table, 2, {MakeEndpoint("one")}, 100, At(3000));
  BOOST_TEST(ReadyCount(table) == 0U);
  BOOST_TEST(!table.Confirm(At(7600), At(7700)));
  BOOST_TEST(table.Confirm(At(7800), At(7900)));
  BOOST_TEST(ReadyCount(table) == 1U);
}

// Guards against an endpoint that is taken for gone though it registered again
// after the store's return.
BOOST_AUTO_TEST_CASE(EndpointThatRegistersAgainAfterTheReturnIsUsed) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyInEpoch(table, 1, {MakeEndpoint("one"), MakeEndpoint("late")}, 100,
               At(0));
  table.OnStoreReturned(At(3000));
  ApplyInEpoch(table, 2, {MakeEndpoint("one")}, 90, At(3000));
  BOOST_TEST(ReadyCount(table) == 2U);
  ApplyInEpoch(table, 2, {MakeEndpoint("one")}, 91, At(5100));
  BOOST_TEST(ReadyCount(table) == 1U);
  ApplyInEpoch(table, 2, {MakeEndpoint("one"), MakeEndpoint("late")}, 92,
               At(5200));
  BOOST_TEST(ReadyCount(table) == 2U);
}

// Guards against paths over layers that an engine no longer holds, as an older
// copy of the store lists them.
BOOST_AUTO_TEST_CASE(LayersOrderedSinceTheCopyAreKept) {
  EndpointTable table(kGrace, kMinOutage);
  Endpoint copied = MakeEndpoint("engine");
  copied.layers = {0, 3};
  copied.sequence = 1;
  Endpoint ordered = copied;
  ordered.layers = {3, 6};
  ordered.sequence = 2;
  ApplyInEpoch(table, 1, {ordered}, 110, At(0));
  table.OnStoreReturned(At(3000));
  ApplyInEpoch(table, 2, {copied}, 90, At(3000));
  BOOST_TEST(table.Find("engine")->layers.begin == 3U);
  // Restarted, it holds what it registers.
  copied.start_time_ms = 2;
  ApplyInEpoch(table, 2, {copied}, 91, At(3600));
  BOOST_TEST(table.Find("engine")->layers.begin == 0U);
}

// Guards against an instance whose list is from before the store's return and
// that a peer's first list of the epoch, of the same contents, seems to
// confirm.
BOOST_AUTO_TEST_CASE(FirstListOfAnEpochIsAChange) {
  EndpointTable reader(kGrace, kMinOutage);
  ApplyInEpoch(reader, 1, {MakeEndpoint("one")}, 100, At(0));
  reader.OnStoreReturned(At(3000));
  BOOST_TEST(ApplyInEpoch(reader, 2, {MakeEndpoint("one")}, 90, At(3000)));
  BOOST_TEST((reader.ChangedRevision() == store::Revision{2, 90}));
}

// Guards against endpoints that a peer retains as missing in the copy, though
// this instance knows that they have gone.
BOOST_AUTO_TEST_CASE(EndpointKnownToBeGoneIsNotRetainedForAPeer) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyInEpoch(table, 1, {MakeEndpoint("one"), MakeEndpoint("two")}, 100,
               At(0));
  ApplyInEpoch(table, 1, {MakeEndpoint("two")}, 101, At(600));
  table.OnStoreReturned(At(3000));
  EndpointListSnapshot list;
  list.endpoints = {MakeEndpoint("two")};
  list.retained = {MakeEndpoint("one")};
  list.retained_for = kGrace;
  list.revision = {2, 90};
  table.Adopt(list, At(3100));
  BOOST_TEST(ReadyCount(table) == 1U);
}

// Two answers arrive out of order; the older list must not restore an endpoint
// that was removed.
BOOST_AUTO_TEST_CASE(OlderListIsIgnored) {
  EndpointTable table(kGrace, kMinOutage);
  ApplyList(table, {MakeEndpoint("one")}, 10, At(0));
  BOOST_TEST(!ApplyList(table, {MakeEndpoint("one"), MakeEndpoint("two")}, 9,
                        At(100)));
  BOOST_TEST(ReadyCount(table) == 1U);
  BOOST_TEST(table.ChangedRevision().number == 10U);
}

BOOST_AUTO_TEST_CASE(LoadsOfAllInstancesAddUp) {
  LoadTracker tracker;
  tracker.AddInFlight({"engine", 1, 100, 1});
  tracker.AddInFlight({"engine", 1, 50, 0});
  tracker.SetPeerLoads({{"engine", 2, 30, 1}, {"engine", 1, 10, 0}});
  BOOST_TEST(tracker.Total("engine").answers == 5);
  BOOST_TEST(tracker.Total("engine").token_layers == 190);
  tracker.RemoveInFlight({"engine", 1, 100, 1});
  tracker.RemoveInFlight({"engine", 1, 50, 0});
  BOOST_TEST(tracker.Local().empty());
  BOOST_TEST(tracker.Total("engine").answers == 3);
}

// An engine that restarted under its old id holds nothing; its status from
// before the restart must not attract answers.
BOOST_AUTO_TEST_CASE(StatusFromBeforeARestartDoesNotCount) {
  LoadTracker tracker;
  tracker.SetEngineStatus({"engine", 1, {0, 26}, 1.0}, At(3000));
  Endpoint endpoint = MakeEndpoint("engine");
  BOOST_TEST(tracker.ToEngine(endpoint, At(0)).layers.Count() == 26U);
  endpoint.start_time_ms = 2;
  BOOST_TEST(tracker.ToEngine(endpoint, At(0)).layers.Count() == 0U);
}

BOOST_AUTO_TEST_CASE(SuspicionExpires) {
  LoadTracker tracker;
  tracker.Suspect("engine", At(1000));
  tracker.Suspect("engine", At(500));
  BOOST_TEST(tracker.IsSuspected("engine", At(999)));
  BOOST_TEST(!tracker.IsSuspected("engine", At(1000)));
  BOOST_TEST(tracker.Suspicions(At(400), false).size() == 1U);
  BOOST_TEST(tracker.Suspicions(At(1000), false).empty());
}

// An engine is dead, and one instance has found out. The others learn which
// suspicions mean that the endpoint is unresponsive, and the event is signalled
// once.
BOOST_AUTO_TEST_CASE(UnresponsiveEndpointsAreDistinguishedFromRefusals) {
  LoadTracker tracker;
  tracker.Suspect("refuses", At(1000));
  BOOST_TEST(tracker.MarkUnresponsive("silent", At(1000), At(0)));
  BOOST_TEST(!tracker.MarkUnresponsive("silent", At(1200), At(10)));
  BOOST_TEST(tracker.IsUnresponsive("silent", At(1100)));
  BOOST_TEST(!tracker.IsUnresponsive("refuses", At(10)));
  BOOST_TEST(tracker.IsSuspected("silent", At(10)));
  for (const gossip::Suspicion& suspicion : tracker.Suspicions(At(10), false)) {
    BOOST_TEST(suspicion.unresponsive == (suspicion.endpoint == "silent"));
  }
  tracker.OnResponse("silent", At(10));
  BOOST_TEST(!tracker.IsSuspected("silent", At(10)));
}

// An engine was dead for a moment. Instances that passed on reports of others
// would keep the suspicion alive among themselves long after the engine is
// back.
BOOST_AUTO_TEST_CASE(ReportsOfOthersAreNotPassedOn) {
  LoadTracker tracker;
  BOOST_TEST(tracker.MarkReportedUnresponsive("engine", At(1000), At(0)));
  BOOST_TEST(tracker.IsUnresponsive("engine", At(10)));
  BOOST_TEST(tracker.Suspicions(At(10), false).empty());
  BOOST_TEST(tracker.Suspicions(At(10), true).size() == 1U);
}

// An instance probes an engine and gets a response, while others still report
// what they found before.
BOOST_AUTO_TEST_CASE(LocalResponseTakesPrecedenceOverReports) {
  LoadTracker tracker;
  tracker.OnResponse("engine", At(0));
  BOOST_TEST(!tracker.MarkReportedUnresponsive("engine", At(1000), At(299)));
  BOOST_TEST(!tracker.IsUnresponsive("engine", At(299)));
  BOOST_TEST(tracker.MarkReportedUnresponsive("engine", At(1000), At(300)));
}

// A third of the instances are cut off from the others. The last reported loads
// are from a moment of less load, so they send everything to the same engines,
// which refuse their callers.
BOOST_AUTO_TEST_CASE(IsolatedInstanceAssumesThatOthersHaveItsLoad) {
  LoadTracker tracker;
  tracker.AddInFlight({"engine", 2, 2000, 1});
  tracker.SetPeerLoads({{"engine", 3, 3000, 0}, {"other", 5, 5000, 0}});
  tracker.AssumeEqualPeerLoad(70);
  BOOST_TEST(tracker.Total("engine").answers == 142);
  BOOST_TEST(tracker.Total("engine").token_layers == 142000);
  BOOST_TEST(tracker.Total("other").answers == 5);
  tracker.AssumeEqualPeerLoad(0);
  BOOST_TEST(tracker.Total("engine").answers == 5);
}

// Instances whose loads are unknown here fill an engine. Its own report shows
// that, and requests go to other engines instead of being refused there.
BOOST_AUTO_TEST_CASE(HigherLoadReportedByTheEngineCounts) {
  LoadTracker tracker;
  tracker.AddInFlight({"engine", 1, 1000, 1});
  const Endpoint endpoint = MakeEndpoint("engine");
  tracker.SetEngineStatus({"engine", 1, {0, 26}, 1.0, 500000}, At(3000));
  BOOST_TEST(tracker.ToEngine(endpoint, At(0)).token_layers == 500000);
  BOOST_TEST(tracker.ToEngine(endpoint, At(3000)).token_layers == 1000);
}

// An engine reports itself as healthy and refuses everything. Every instance
// tries it again after each pause, which costs a caller's time.
BOOST_AUTO_TEST_CASE(PausesGrowWithConsecutiveRefusals) {
  LoadTracker tracker;
  tracker.OnRefusal("engine", false, At(0));
  tracker.OnRefusal("engine", false, At(10));
  BOOST_TEST(tracker.IsSuspected("engine", At(999)));
  BOOST_TEST(!tracker.IsSuspected("engine", At(1000)));
  BOOST_TEST(tracker.Suspicions(At(10), false).size() == 1U);
  tracker.OnRefusal("engine", false, At(1100));
  BOOST_TEST(tracker.IsSuspected("engine", At(3099)));
  BOOST_TEST(!tracker.IsSuspected("engine", At(3100)));
  tracker.OnRefusal("engine", false, At(9000));
  BOOST_TEST(!tracker.IsSuspected("engine", At(10000)));
}

// A full engine has free capacity again soon. If every instance avoided it for
// a second because one was refused, a third of its capacity would be idle.
BOOST_AUTO_TEST_CASE(FullEngineIsAvoidedBrieflyByOneInstance) {
  LoadTracker tracker;
  tracker.OnRefusal("engine", true, At(0));
  BOOST_TEST(tracker.IsSuspected("engine", At(399)));
  BOOST_TEST(!tracker.IsSuspected("engine", At(400)));
  BOOST_TEST(tracker.Suspicions(At(10), false).empty());
}

}  // namespace
}  // namespace toucanwharf::endpoints
