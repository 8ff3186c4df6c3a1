#include "toucanwharf/instance/store_sync.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

// Guards against a request to a draining endpoint 4 ms after the bound (I5): no
// peer confirmed the instance's list any more, and its own read started so late
// that a slow answer came after the bound.
BOOST_AUTO_TEST_CASE(ReadAfterTheLastConfirmationEndsWithinTheBound) {
  for (const int bound_millis : {2000, 3000}) {
    const Duration bound = milliseconds(bound_millis);
    const StoreSyncTimes times(bound);
    BOOST_CHECK(times.max_confirmation_age + times.poll_period +
                    kStoreInactivityTimeout <=
                bound);
    // The reader's confirmations, with one lost beacon, arrive before it.
    BOOST_CHECK(times.reader_period + times.poll_period + milliseconds(250) <
                times.max_confirmation_age);
  }
}

// Guards against hundreds of instances that read for themselves because each
// missed one message of the leader, or two where the bound is longer.
BOOST_AUTO_TEST_CASE(FollowersOfALargeFleetTolerateLostMessages) {
  constexpr Duration kLeaderPeriod = milliseconds(500);
  constexpr Duration kOwnPeriod = milliseconds(250);
  struct Case {
    milliseconds bound;
    int lost;
  };
  for (const Case& tested :
       {Case{milliseconds(3000), 1}, Case{milliseconds(4000), 2}}) {
    const StoreSyncTimes times{tested.bound};
    const Duration oldest = times.ReaderPeriod(true) + times.poll_period +
                            kOwnPeriod + (1 + tested.lost) * kLeaderPeriod;
    BOOST_CHECK(oldest < times.max_confirmation_age);
  }
}

// Guards against hundreds of instances that read for themselves after the
// leader has died: a backup leader reads and announces the result before their
// confirmations get too old.
BOOST_AUTO_TEST_CASE(BackupLeaderReadsBeforeTheOthersMust) {
  constexpr Duration kBackupLeaderPeriod = milliseconds(500);
  constexpr Duration kOwnPeriod = milliseconds(500);
  const StoreSyncTimes times{milliseconds(4000)};
  BOOST_CHECK(times.backup_leader_confirmation + times.poll_period +
                  kOwnPeriod + kBackupLeaderPeriod <
              times.max_confirmation_age);
}

// Guards against a fleet whose calls during an outage grow with its size: every
// instance tests whether the store has returned, and each test is a call.
BOOST_AUTO_TEST_CASE(CallsInAnOutageDoNotGrowWithTheFleet) {
  const StoreSyncTimes times{milliseconds(4000)};
  for (const std::size_t instances : {86U, 295U, 420U}) {
    const double seconds =
        std::chrono::duration<double>(times.FollowerBackoff(instances)).count();
    BOOST_TEST(static_cast<double>(instances) / seconds <= 40.001);
  }
}

}  // namespace
}  // namespace toucanwharf::instance
