#ifndef TOUCANWHARF_GOSSIP_INITIAL_READ_POLICY_H_
#define TOUCANWHARF_GOSSIP_INITIAL_READ_POLICY_H_

#include <cstddef>
#include <optional>

#include "toucanwharf/gossip/election_policy.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Times of the first reads after a start, with the reason of each.
struct InitialReadSettings {
  /// Part of a core from which on an instance reads at once. A large fleet has
  /// some such in each failure domain.
  double strong_share = ElectionSettings().strong_share;
  /// By then the strong ones have told all others, each 250 ms some.
  Duration peers_first = std::chrono::milliseconds(1000);
  /// All together read forty times a second after that, while nobody has
  /// anything to tell.
  Duration turn = std::chrono::milliseconds(25);

  friend bool operator==(const InitialReadSettings&,
                         const InitialReadSettings&) = default;
};

/// Returns whether an instance that may use the part \p share of a core reads
/// at once, and tells the others of its failure domain. Thread safety: safe.
inline bool ReadsImmediately(double share,
                             const InitialReadSettings& settings = {}) {
  return share >= settings.strong_share;
}

/// Decides when a process that has just started may read the store for what it
/// doesn't have yet.
///
/// Load that it answers: all processes of a large fleet start at once. What
/// each reads grows with the fleet: the lists of 3,000 endpoints to 300
/// instances are 225 MB, which take the store's link for seconds in which
/// nobody serves. The strong ones read at once; the others get their copies
/// from them, deflated and over links of their own, and read only if none
/// comes. Thread safety: safe; immutable.
class InitialReadPolicy {
 public:
  /// \p share is the part of a core that this process may use, \p unit a number
  /// from 0 to 1 that was drawn at random.
  InitialReadPolicy(double share, TimePoint start, double unit,
                    const InitialReadSettings& chosen = {})
      : settings(chosen),
        strong(ReadsImmediately(share, chosen)),
        started(start),
        drawn(unit) {}

  /// Returns whether to read at \p now. \p instances is how many there are,
  /// nothing while that is not known.
  bool MayRead(const std::optional<std::size_t>& instances,
               TimePoint now) const;

 private:
  InitialReadSettings settings;
  bool strong;
  TimePoint started;
  double drawn;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_FIRST_READ_H_
