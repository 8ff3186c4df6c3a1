#include <boost/test/unit_test.hpp>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/endpoints/load_book.h"

namespace toucanwharf::endpoints {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGrace = milliseconds(2000);

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

Endpoint MakeEndpoint(const std::string& id) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.born = 1;
  endpoint.service = "service";
  endpoint.address = "10.0.0.1:80";
  return endpoint;
}

std::size_t Ready(const EndpointTable& table) {
  std::size_t count = 0;
  table.ForEachReady("service", [&](const Endpoint&) { ++count; });
  return count;
}

// The store is away for some seconds, and the entries of all endpoints run out
// meanwhile. When it returns its list is empty. A router that believed it would
// refuse everything, though every endpoint lives.
BOOST_AUTO_TEST_CASE(EntriesThatLapsedInAnOutageAreKept) {
  EndpointTable table(kGrace);
  table.Replace({MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  table.OnStoreAway();
  table.Replace({}, 20, At(5000));
  BOOST_TEST(Ready(table) == 2U);
  table.Replace({MakeEndpoint("one")}, 30, At(6000));
  BOOST_TEST(Ready(table) == 2U);
  table.Replace({MakeEndpoint("one")}, 31, At(7100));
  BOOST_TEST(Ready(table) == 1U);
}

// Without an outage an entry that is gone is gone at once (I5).
BOOST_AUTO_TEST_CASE(RemovedEntryIsGone) {
  EndpointTable table(kGrace);
  table.Replace({MakeEndpoint("one"), MakeEndpoint("two")}, 10, At(0));
  BOOST_TEST(table.Replace({MakeEndpoint("two")}, 11, At(100)));
  BOOST_TEST(Ready(table) == 1U);
}

// An endpoint says that it leaves right after an outage: the grace is for
// missing entries only.
BOOST_AUTO_TEST_CASE(DrainingIsBelievedAtOnce) {
  EndpointTable table(kGrace);
  table.Replace({MakeEndpoint("one")}, 10, At(0));
  table.OnStoreAway();
  Endpoint leaving = MakeEndpoint("one");
  leaving.state = EndpointState::kDraining;
  table.Replace({leaving}, 20, At(5000));
  BOOST_TEST(Ready(table) == 0U);
}

// Two answers overtake each other; the older list must not bring an endpoint
// back that is gone.
BOOST_AUTO_TEST_CASE(OlderListIsIgnored) {
  EndpointTable table(kGrace);
  table.Replace({MakeEndpoint("one")}, 10, At(0));
  BOOST_TEST(
      !table.Replace({MakeEndpoint("one"), MakeEndpoint("two")}, 9, At(100)));
  BOOST_TEST(Ready(table) == 1U);
  BOOST_TEST(table.ChangedAt() == 10U);
}

BOOST_AUTO_TEST_CASE(LoadsOfAllInstancesAddUp) {
  LoadBook book;
  book.Began({"engine", 1, 100, 1});
  book.Began({"engine", 1, 50, 0});
  book.SetPeers({{"engine", 2, 30, 1}, {"engine", 1, 10, 0}});
  BOOST_TEST(book.Total("engine").answers == 5);
  BOOST_TEST(book.Total("engine").token_layers == 190);
  book.Ended({"engine", 1, 100, 1});
  book.Ended({"engine", 1, 50, 0});
  BOOST_TEST(book.Own().empty());
  BOOST_TEST(book.Total("engine").answers == 3);
}

// An engine started anew under its old id holds nothing; what it reported in
// its former life must not lead answers to it.
BOOST_AUTO_TEST_CASE(FactOfAnEarlierLifeDoesNotCount) {
  LoadBook book;
  book.SetFact({"engine", 1, {0, 26}, 1.0}, At(3000));
  Endpoint endpoint = MakeEndpoint("engine");
  BOOST_TEST(book.ToEngine(endpoint, At(0)).layers.Count() == 26U);
  endpoint.born = 2;
  BOOST_TEST(book.ToEngine(endpoint, At(0)).layers.Count() == 0U);
}

BOOST_AUTO_TEST_CASE(SuspicionEndsByItself) {
  LoadBook book;
  book.Suspect("engine", At(1000));
  book.Suspect("engine", At(500));
  BOOST_TEST(book.Suspected("engine", At(999)));
  BOOST_TEST(!book.Suspected("engine", At(1000)));
  BOOST_TEST(book.Suspicions(At(400), false).size() == 1U);
  BOOST_TEST(book.Suspicions(At(1000), false).empty());
}

// An engine is dead, and one instance has found out. The others learn which
// suspicions are of silence, and the news is told once.
BOOST_AUTO_TEST_CASE(SilenceIsToldApartFromRefusals) {
  LoadBook book;
  book.Suspect("refuses", At(1000));
  BOOST_TEST(book.FoundSilent("silent", At(1000), At(0)));
  BOOST_TEST(!book.FoundSilent("silent", At(1200), At(10)));
  BOOST_TEST(book.Silent("silent", At(1100)));
  BOOST_TEST(!book.Silent("refuses", At(10)));
  BOOST_TEST(book.Suspected("silent", At(10)));
  for (const gossip::Suspicion& one : book.Suspicions(At(10), false)) {
    BOOST_TEST(one.silent == (one.endpoint == "silent"));
  }
  book.Answered("silent", At(10));
  BOOST_TEST(!book.Suspected("silent", At(10)));
}

// An engine was dead for a moment. Instances that passed on what they had heard
// would keep the word of it going among themselves when it is long back.
BOOST_AUTO_TEST_CASE(HearsayIsNotPassedOn) {
  LoadBook book;
  BOOST_TEST(book.HeardSilent("engine", At(1000), At(0)));
  BOOST_TEST(book.Silent("engine", At(10)));
  BOOST_TEST(book.Suspicions(At(10), false).empty());
  BOOST_TEST(book.Suspicions(At(10), true).size() == 1U);
}

// An instance asks an engine and gets an answer, while others still tell what
// they found before.
BOOST_AUTO_TEST_CASE(OwnAnswerOutweighsOthersWord) {
  LoadBook book;
  book.Answered("engine", At(0));
  BOOST_TEST(!book.HeardSilent("engine", At(1000), At(299)));
  BOOST_TEST(!book.Silent("engine", At(299)));
  BOOST_TEST(book.HeardSilent("engine", At(1000), At(300)));
}

// A third of the instances are cut off from the others. What they last heard
// of their loads is from a calm moment, so they send everything to the same
// engines, which refuse their callers.
BOOST_AUTO_TEST_CASE(InstanceThatHearsNobodyTakesOthersAsLoadedLikeItself) {
  LoadBook book;
  book.Began({"engine", 2, 2000, 1});
  book.SetPeers({{"engine", 3, 3000, 0}, {"other", 5, 5000, 0}});
  book.AssumeAlike(70);
  BOOST_TEST(book.Total("engine").answers == 142);
  BOOST_TEST(book.Total("engine").token_layers == 142000);
  BOOST_TEST(book.Total("other").answers == 5);
  book.AssumeAlike(0);
  BOOST_TEST(book.Total("engine").answers == 5);
}

// Instances that can't be heard fill an engine. Its own report tells, and
// requests go elsewhere instead of being refused there.
BOOST_AUTO_TEST_CASE(EnginesOwnWordCountsWhereItSaysMore) {
  LoadBook book;
  book.Began({"engine", 1, 1000, 1});
  const Endpoint endpoint = MakeEndpoint("engine");
  book.SetFact({"engine", 1, {0, 26}, 1.0, 500000}, At(3000));
  BOOST_TEST(book.ToEngine(endpoint, At(0)).token_layers == 500000);
  BOOST_TEST(book.ToEngine(endpoint, At(3000)).token_layers == 1000);
}

// An engine says that it is well and refuses everything. Every instance tries
// it again after each pause, at the cost of a caller's time.
BOOST_AUTO_TEST_CASE(PausesAfterRefusalsInARowGrow) {
  LoadBook book;
  book.OnRefusal("engine", false, At(0));
  book.OnRefusal("engine", false, At(10));
  BOOST_TEST(book.Suspected("engine", At(999)));
  BOOST_TEST(!book.Suspected("engine", At(1000)));
  BOOST_TEST(book.Suspicions(At(10), false).size() == 1U);
  book.OnRefusal("engine", false, At(1100));
  BOOST_TEST(book.Suspected("engine", At(3099)));
  BOOST_TEST(!book.Suspected("engine", At(3100)));
  book.OnRefusal("engine", false, At(9000));
  BOOST_TEST(!book.Suspected("engine", At(10000)));
}

// A full engine has room again soon. If every instance kept away from it for a
// second because one was refused, a third of its room would lie idle.
BOOST_AUTO_TEST_CASE(FullEngineIsLeftAloneForAMomentByOneInstance) {
  LoadBook book;
  book.OnRefusal("engine", true, At(0));
  BOOST_TEST(book.Suspected("engine", At(399)));
  BOOST_TEST(!book.Suspected("engine", At(400)));
  BOOST_TEST(book.Suspicions(At(10), false).empty());
}

}  // namespace
}  // namespace toucanwharf::endpoints
