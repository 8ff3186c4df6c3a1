#ifndef TOUCANWHARF_GOSSIP_ELECTION_POLICY_H_
#define TOUCANWHARF_GOSSIP_ELECTION_POLICY_H_

#include <cstddef>
#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Times of ElectionPolicy, with the reason of each.
struct ElectionSettings {
  /// So many candidates try at once: one of them may be cut off from the store.
  std::size_t at_once = 4;
  /// The next ones follow after this long: a holder is heard of by all within
  /// two of the leader's rounds.
  Duration next_after = std::chrono::milliseconds(600);
  /// But nobody waits longer: the first ones may all be gone.
  Duration longest = std::chrono::milliseconds(3000);
  /// A process with less than this part of a core leaves the first try after
  /// its start to stronger ones, which it has not heard of yet. The leader of
  /// 86 instances used a tenth of a core.
  double strong_share = 0.2;
  Duration weak_start = std::chrono::milliseconds(1000);

  friend bool operator==(const ElectionSettings&,
                         const ElectionSettings&) = default;
};

/// Decides when an instance may try to take a leadership that is vacant.
///
/// Load that it answers: when the holder of the lease loses the store, 86
/// instances look at the lease, write it and read who won, all within
/// milliseconds, and a weak instance may win that spends its processor on
/// talking to the others while its callers wait. Stronger ones go first, a few
/// at a time; the others hear of the winner and needn't ask.
/// Thread safety: none; for one thread.
class ElectionPolicy {
 public:
  /// \p share is the part of a core that this process may use.
  ElectionPolicy(double share, TimePoint start,
                 const ElectionSettings& chosen = {})
      : settings(chosen),
        strong(share >= chosen.strong_share),
        started(start) {}

  /// Returns whether to try at \p now. \p vacant is whether no holder is known,
  /// \p ahead how many live peers go before this instance.
  bool MayAttempt(bool vacant, std::size_t ahead, TimePoint now);

 private:
  ElectionSettings settings;
  bool strong;
  TimePoint started;
  std::optional<TimePoint> vacant_since;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_CANDIDACY_H_
