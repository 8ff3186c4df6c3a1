#ifndef TOUCANWHARF_GOSSIP_BACKUP_LEADERS_H_
#define TOUCANWHARF_GOSSIP_BACKUP_LEADERS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// So many backup leaders: one may fall together with the leader.
inline constexpr std::size_t kBackupLeaders = 2;

/// An instance that may be a backup leader.
struct BackupLeaderCandidate {
  /// Where it takes datagrams.
  std::string address;
  std::string failure_domain;
  /// Part of a core that it may use.
  double processor_share = 0;

  friend bool operator==(const BackupLeaderCandidate&,
                         const BackupLeaderCandidate&) = default;
};

/// Returns the addresses of those of \p candidates that are backup leaders of a
/// leader in the failure domain \p domain: the strongest, in other domains than
/// its own and one another where there are such. All instances that know the
/// same candidates choose the same. Thread safety: safe.
std::vector<std::string> ChooseBackupLeaders(
    std::vector<BackupLeaderCandidate> candidates, const std::string& domain);

/// The same, of the live peers.
///
/// Load that it answers: when the leader of a large fleet dies, hundreds of
/// instances lose their proofs of the configuration, their word of who lives
/// and of all loads, for as long as the lease lasts, and each reads the store
/// for itself meanwhile. All tell the backup leaders what they tell the leader,
/// so that the backup leaders can tell everyone in its place. Thread safety:
/// safe.
std::vector<std::string> ChooseBackupLeaders(const PeerTable& peers,
                                             const std::string& domain,
                                             TimePoint now);

/// Returns whether the instance whose datagram address is \p own acts for a
/// leader that there isn't: it is the first of \p backup_leaders that is heard
/// of. Thread safety: safe.
bool ActsForLeader(const PeerTable& peers,
                   const std::vector<std::string>& backup_leaders,
                   const std::string& own, TimePoint now);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_DEPUTIES_H_
