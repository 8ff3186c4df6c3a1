#include "toucanwharf/instance/store_sync.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

// An engine said that it leaves, and one instance sent it a request 4 ms after
// the bound (I5): nobody vouched for its list any more, and its own read was
// begun so late that a slow answer came after the bound.
BOOST_AUTO_TEST_CASE(ReadAfterTheLastProofEndsWithinTheBound) {
  for (const int bound_millis : {2000, 3000}) {
    const Duration bound = milliseconds(bound_millis);
    const StoreSyncTimes times(bound);
    BOOST_CHECK(times.oldest_proof + times.look_period +
                    kStoreInactivityTimeout <=
                bound);
    // What the reader vouches for, and a beacon that is lost, come before it.
    BOOST_CHECK(times.reader_period + times.look_period + milliseconds(250) <
                times.oldest_proof);
  }
}

// Guards against hundreds of instances that read for themselves because a
// message of the leader to each was lost, or two where the bound is longer.
BOOST_AUTO_TEST_CASE(FollowersOfALargeFleetOutlastLostMessages) {
  constexpr Duration kBetweenLeadersMessages = milliseconds(500);
  constexpr Duration kBetweenOwnMessages = milliseconds(250);
  struct Case {
    milliseconds bound;
    int lost;
  };
  for (const Case& one :
       {Case{milliseconds(3000), 1}, Case{milliseconds(4000), 2}}) {
    const StoreSyncTimes times{one.bound};
    const Duration oldest = times.ReaderPeriod(true) + times.look_period +
                            kBetweenOwnMessages +
                            (1 + one.lost) * kBetweenLeadersMessages;
    BOOST_CHECK(oldest < times.oldest_proof);
  }
}

// Guards against hundreds of instances that read for themselves when the leader
// has died: a backup leader has read, and told them, before their proofs get
// too old.
BOOST_AUTO_TEST_CASE(DeputyReadsBeforeTheOthersMust) {
  constexpr Duration kBetweenDeputysMessages = milliseconds(500);
  constexpr Duration kBetweenOwnMessages = milliseconds(500);
  const StoreSyncTimes times{milliseconds(4000)};
  BOOST_CHECK(times.backup_leader_confirmation + times.look_period +
                  kBetweenOwnMessages + kBetweenDeputysMessages <
              times.oldest_proof);
}

// Guards against a fleet that spends its calls on an outage: every instance
// asks whether the store is back, and each question is a call.
BOOST_AUTO_TEST_CASE(QuestionsInAnOutageDoNotGrowWithTheFleet) {
  const StoreSyncTimes times{milliseconds(4000)};
  for (const std::size_t instances : {86U, 295U, 420U}) {
    const double seconds =
        std::chrono::duration<double>(times.FollowerBackoff(instances)).count();
    BOOST_TEST(static_cast<double>(instances) / seconds <= 40.001);
  }
}

}  // namespace
}  // namespace toucanwharf::instance
