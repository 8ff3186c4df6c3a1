#ifndef TOUCANWHARF_GOSSIP_FLEET_START_H_
#define TOUCANWHARF_GOSSIP_FLEET_START_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/support/clock.h"

/// What an instance concludes from its peers while a whole fleet starts.
namespace toucanwharf::gossip {

/// For so long after its start an instance may list the instances of a fleet
/// that restarts without having received the loads of all.
inline constexpr Duration kMaxAssistUptime = std::chrono::seconds(3);

/// In each failure domain so many instances list the others of a fleet that
/// restarts, and ask the engines for their reports. Two, since one may fail.
inline constexpr std::size_t kAssistingReaders = 2;

/// Returns whether \p peer has started so lately that it may not be ready yet
/// and will be in a moment: requests that arrive there meanwhile wait.
/// Thread safety: safe.
bool IsStarting(const Peer& peer, TimePoint now);

/// Returns whether more than half of \p live have started lately; false with
/// fewer than three, of which nothing follows about the fleet.
/// Thread safety: safe.
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

/// Returns how many live peers in the failure domain \p domain that read the
/// store as they start precede an instance of \p share of a core at
/// \p callers_address: those with a larger share, and of equals those with the
/// lesser address.
///
/// Load: in a fleet of large instances all read the store. If each of 60 asked
/// every engine for reports as it starts, the questions alone would keep
/// engines from answering.
/// Thread safety: safe.
std::size_t CountReadersAhead(const PeerTable& peers, const std::string& domain,
                              double share, const std::string& callers_address,
                              TimePoint now);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_FLEET_START_H_
