#ifndef TOUCANWHARF_GOSSIP_ELECTION_POLICY_H_
#define TOUCANWHARF_GOSSIP_ELECTION_POLICY_H_

#include <cstddef>
#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Delays of ElectionPolicy.
struct ElectionSettings {
  /// Candidates that attempt concurrently. More than one, since one may be cut
  /// off from the store.
  std::size_t concurrent_candidates = 4;
  /// Delay until the next candidates follow: all instances learn of a new
  /// holder within two of the leader's rounds.
  Duration turn_interval = std::chrono::milliseconds(600);
  /// Upper bound of a candidate's delay, since all the first ones may have
  /// failed.
  Duration max_delay = std::chrono::milliseconds(3000);
  /// A process with less than this part of a core delays its first attempt
  /// after a start, because it doesn't know the stronger ones yet. Leading 86
  /// instances takes a tenth of a core.
  double strong_share = 0.2;
  Duration weak_start_delay = std::chrono::milliseconds(1000);

  friend bool operator==(const ElectionSettings&,
                         const ElectionSettings&) = default;
};

/// Decides when an instance may attempt to become the leader where there is
/// none.
///
/// Load: when the holder of the lease loses the store, 86 instances read the
/// lease, write it and read who won, all within milliseconds, and a weak
/// instance may win that spends its processor time on messages to the others
/// while its callers wait. Stronger instances go first, a few at a time; the
/// others learn who won and needn't read the lease.
/// Thread safety: none; for one thread.
class ElectionPolicy {
 public:
  /// \p share is the part of a core that this process may use.
  ElectionPolicy(double share, TimePoint start,
                 const ElectionSettings& chosen = {})
      : settings(chosen),
        strong(share >= chosen.strong_share),
        started(start) {}

  /// Returns whether to attempt at \p now. \p vacant is whether no holder is
  /// known, \p ahead how many live peers precede this instance.
  bool MayAttempt(bool vacant, std::size_t ahead, TimePoint now);

 private:
  ElectionSettings settings;
  bool strong;
  TimePoint started;
  std::optional<TimePoint> vacant_since;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_ELECTION_POLICY_H_
