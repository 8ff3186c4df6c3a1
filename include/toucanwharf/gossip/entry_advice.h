#ifndef TOUCANWHARF_GOSSIP_ENTRY_ADVICE_H_
#define TOUCANWHARF_GOSSIP_ENTRY_ADVICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

/// Which instances callers are directed to.
///
/// Load: all instances of a fleet restart, and all callers ask at once where to
/// connect. Told only who is ready in the first 100 ms, 900 callers keep the
/// addresses of six of 114 instances for two seconds, and the part of the
/// engines' capacity that these six may claim isn't enough for them.
namespace toucanwharf::gossip {

/// An instance that callers can be directed to.
struct AdvisedInstance {
  std::string callers_address;
  /// Part of a core that it may use; 0 if it is not known.
  double processor_share = 0;

  friend bool operator==(const AdvisedInstance&,
                         const AdvisedInstance&) = default;
};

/// Returns whether \p peer has started so lately that it may not be ready yet
/// and will be in a moment: requests that arrive there meanwhile wait.
/// Thread safety: safe.
bool IsStarting(const Peer& peer, TimePoint now);

/// Returns whether more than half of \p live have started lately; false without
/// any. Thread safety: safe.
bool MostAreStarting(const std::vector<const Peer*>& live, TimePoint now);

/// Returns how many peers, of which nothing is known, count as loaded like the
/// local instance, which has run for \p uptime, while nobody tells the loads of
/// the fleet.
///
/// Failure guarded against: an instance that is cut off takes the engines for
/// less loaded than they are, because it doesn't hear of the others' answers.
/// Processes that have just started have none: while a whole fleet restarts,
/// each instance would otherwise believe its own few answers to be a hundred
/// times as many, and refuse callers whom idle engines could serve.
/// Thread safety: safe.
std::size_t CountAssumedLoaded(const PeerTable& peers, Duration uptime,
                               TimePoint now);

/// Returns the addresses of up to \p count of \p advised in random order. Of
/// more, those with a larger part of a core are more likely to be drawn, since
/// each gets about as many callers as the others.
/// Thread safety: safe.
std::vector<std::string> DrawAdvised(std::vector<AdvisedInstance> advised,
                                     std::size_t count, Random& random);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_ENTRY_ADVICE_H_
