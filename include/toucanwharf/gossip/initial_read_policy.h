#ifndef TOUCANWHARF_GOSSIP_INITIAL_READ_POLICY_H_
#define TOUCANWHARF_GOSSIP_INITIAL_READ_POLICY_H_

#include <cstddef>
#include <optional>

#include "toucanwharf/gossip/election_policy.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Delays of the first reads after a start.
struct InitialReadSettings {
  /// Part of a core from which on an instance reads immediately. A large fleet
  /// has some such instances in each failure domain.
  double strong_share = ElectionSettings().strong_share;
  /// By then the strong instances have announced their copies to all others, to
  /// some of them every 250 ms.
  Duration peer_copy_wait = std::chrono::milliseconds(1000);
  /// Interval between two reads of the whole fleet after that: forty reads a
  /// second while no copy is available.
  Duration read_interval = std::chrono::milliseconds(25);

  friend bool operator==(const InitialReadSettings&,
                         const InitialReadSettings&) = default;
};

/// Returns whether an instance that may use the part \p share of a core reads
/// immediately and announces its copies to the others of its failure domain.
/// Thread safety: safe.
inline bool ReadsImmediately(double share,
                             const InitialReadSettings& settings = {}) {
  return share >= settings.strong_share;
}

/// Decides when a process that has just started may read from the store what it
/// doesn't have yet.
///
/// Load: all processes of a large fleet start at the same time. What each reads
/// grows with the fleet: the lists of 3,000 endpoints to 300 instances are 225
/// MB, which saturate the store's link for seconds in which no instance serves.
/// The strong instances read immediately; the others get compressed copies from
/// them, over the links between instances, and read only if none arrives.
/// Thread safety: safe; immutable.
class InitialReadPolicy {
 public:
  /// \p share is the part of a core that this process may use, \p unit a random
  /// number from 0 to 1.
  InitialReadPolicy(double share, TimePoint start, double unit,
                    const InitialReadSettings& chosen = {})
      : settings(chosen),
        strong(ReadsImmediately(share, chosen)),
        started(start),
        jitter(unit) {}

  /// Returns whether to read at \p now. \p instances is the number of
  /// instances, nothing while it is unknown.
  bool MayRead(const std::optional<std::size_t>& instances,
               TimePoint now) const;

 private:
  InitialReadSettings settings;
  bool strong;
  TimePoint started;
  double jitter;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_INITIAL_READ_POLICY_H_
