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

/// An instance that may be a deputy.
struct DeputyCandidate {
  /// Where it takes datagrams.
  std::string address;
  std::string failure_domain;
  /// Part of a core that it may use.
  double processor_share = 0;

  friend bool operator==(const DeputyCandidate&,
                         const DeputyCandidate&) = default;
};

/// Returns the addresses of those of \p candidates that are deputies of a
/// leader in the failure domain \p domain: the strongest, in other domains than
/// its own and one another where there are such. All instances that know the
/// same candidates choose the same. Thread safety: safe.
std::vector<std::string> ChooseDeputies(std::vector<DeputyCandidate> candidates,
                                        const std::string& domain);

/// The same, of the live peers.
///
/// Load that it answers: when the leader of a large fleet dies, hundreds of
/// instances lose their proofs of the configuration, their word of who lives
/// and of all loads, for as long as the lease lasts, and each reads the store
/// for itself meanwhile. All tell the deputies what they tell the leader, so
/// that the deputies can tell everyone in its place. Thread safety: safe.
std::vector<std::string> ChooseDeputies(const PeerTable& peers,
                                        const std::string& domain,
                                        TimePoint now);

/// Returns whether the instance whose datagram address is \p own acts for a
/// leader that there isn't: it is the first of \p deputies that is heard of.
/// Thread safety: safe.
bool ActsForLeader(const PeerTable& peers,
                   const std::vector<std::string>& deputies,
                   const std::string& own, TimePoint now);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_DEPUTIES_H_
