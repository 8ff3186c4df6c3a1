#ifndef TOUCANWHARF_INSTANCE_STORE_SYNC_TIMES_H_
#define TOUCANWHARF_INSTANCE_STORE_SYNC_TIMES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::instance {

/// Periods and age limits of the reads.
struct StoreSyncTimes {
  /// \p configuration is how soon a change must be in force everywhere.
  explicit StoreSyncTimes(Duration configuration)
      : reader_period(configuration * 13 / 40),
        reader_period_large(configuration / 8),
        backup_leader_confirmation(configuration * 3 / 10),
        max_confirmation_age(configuration * 6 / 10) {}

  /// Returns how often the leader reads, whose beacons confirm the result to
  /// the others.
  Duration ReaderPeriod(bool large) const {
    return large ? this->reader_period_large : this->reader_period;
  }
  /// Returns the delay until a follower, one of \p instances, retries after a
  /// read without an answer. All followers together make forty attempts a
  /// second, however many there are, while the leader keeps trying and
  /// announces the store's return.
  Duration FollowerBackoff(std::size_t instances) const {
    return this->backoff_per_instance * static_cast<std::int64_t>(instances);
  }

  /// The leader reads this often, and confirms the result to the others.
  Duration reader_period;
  /// Like reader_period, for a large fleet, where the others receive the
  /// leader's beacons twice a second: two in a row may be lost before they read
  /// for themselves.
  Duration reader_period_large;
  /// A backup leader whose newest confirmation is older than this reads: the
  /// leader has probably been lost, and the others rely on the backup leader's
  /// confirmation before their own get too old.
  Duration backup_leader_confirmation;
  Duration backoff_per_instance = std::chrono::milliseconds(25);
  /// An instance whose newest confirmation is older than this reads for itself.
  /// The reader's period plus the delay of the beacons in both directions stays
  /// below it. Plus the duration of the read, it stays below the bound also
  /// when the reader dies.
  Duration max_confirmation_age;
  /// Between polls, and between attempts while the store is unavailable.
  Duration poll_period = std::chrono::milliseconds(100);
  Duration retry_period = std::chrono::milliseconds(300);
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_STORE_SYNC_TIMES_H_
