#ifndef TOUCANWHARF_GOSSIP_DEPUTIES_H_
#define TOUCANWHARF_GOSSIP_DEPUTIES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// So many deputies: one may fall together with the leader.
inline constexpr std::size_t kDeputies = 2;

/// Returns the datagram addresses of the live peers that the leader, in the
/// failure domain \p domain, names as its deputies: the strongest, in other
/// domains than its own and one another where there are such.
///
/// Load that it answers: when the leader of a large fleet dies, hundreds of
/// instances lose their proofs of the configuration, their word of who lives
/// and of all loads, for as long as the lease lasts, and each reads the store
/// for itself meanwhile. All tell the deputies what they tell the leader, so
/// that the deputies can tell everyone in its place. Thread safety: safe.
std::vector<std::string> ChooseDeputies(const PeerTable& peers,
                                        const std::string& domain,
                                        TimePoint now);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_DEPUTIES_H_
