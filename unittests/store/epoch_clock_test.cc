#include "toucanwharf/store/epoch_clock.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::store {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

// Guards against a read right after the store's return that counts as proof of
// what the store has lost.
BOOST_AUTO_TEST_CASE(ReadsCountOnlyAfterTheTimeForWritingAgain) {
  EpochClock clock;
  BOOST_TEST(!clock.OnAnswer(1, At(0)));
  BOOST_TEST(clock.IsSettled(At(150)));
  BOOST_TEST(clock.OnAnswer(2, At(10000)));
  BOOST_TEST(!clock.IsSettled(At(11999)));
  BOOST_TEST(clock.IsSettled(At(12000)));
  BOOST_TEST(!clock.OnAnswer(1, At(12100)));
  BOOST_TEST((clock.Epoch() == 2U));
}

// Guards against a process that starts right after the return and trusts the
// copy at once, and against one that waits though the return is long ago.
BOOST_AUTO_TEST_CASE(NewProcessGoesByItsPeers) {
  EpochClock after_return;
  after_return.OnAnswer(2, At(0));
  BOOST_TEST(!after_return.IsSettled(At(149)));
  BOOST_TEST(!after_return.OnPeer(2, milliseconds(500), At(100)));
  BOOST_TEST(!after_return.IsSettled(At(1599)));
  BOOST_TEST(after_return.IsSettled(At(1600)));
  EpochClock later;
  later.OnAnswer(2, At(0));
  later.OnPeer(2, milliseconds(60000), At(100));
  BOOST_TEST(later.IsSettled(At(100)));
}

// Guards against a wait that begins anew at each process that hears of the
// return.
BOOST_AUTO_TEST_CASE(WaitRunsFromTheFirstSightByAnyProcess) {
  EpochClock clock;
  clock.OnAnswer(1, At(0));
  BOOST_TEST(clock.OnPeer(2, milliseconds(1500), At(10000)));
  BOOST_TEST(clock.IsSettled(At(10500)));
  BOOST_TEST((clock.Age(At(10500)) == milliseconds(2000)));
}

// Guards against processes that have all just started and hold each other up.
BOOST_AUTO_TEST_CASE(PeersThatKnowNoMoreTellNoAge) {
  EpochClock clock;
  clock.OnAnswer(2, At(0));
  BOOST_TEST(!clock.Age(At(1000)).has_value());
  clock.OnPeer(2, std::nullopt, At(100));
  BOOST_TEST(clock.IsSettled(At(150)));
  BOOST_TEST((clock.Age(At(2000)) == milliseconds(2000)));
}

// Guards against callers of the only instance who are refused while it waits
// for news of others.
BOOST_AUTO_TEST_CASE(OnlyInstanceWaitsForNobody) {
  EpochClock clock;
  clock.OnAnswer(1, At(0));
  clock.OnAlone(At(10));
  BOOST_TEST(!clock.IsSettled(At(0)));
  BOOST_TEST(clock.IsSettled(At(10)));
  clock.OnAnswer(2, At(5000));
  BOOST_TEST(!clock.IsSettled(At(5010)));
}

BOOST_AUTO_TEST_CASE(StoreWithoutEpochsIsAlwaysSettled) {
  EpochClock clock;
  BOOST_TEST(!clock.IsSettled(At(0)));
  clock.OnAnswer(0, At(0));
  BOOST_TEST(clock.IsSettled(At(0)));
}

}  // namespace
}  // namespace toucanwharf::store
