#ifndef TOUCANWHARF_GOSSIP_BACKUP_LEADERS_H_
#define TOUCANWHARF_GOSSIP_BACKUP_LEADERS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Two, since one may fail together with the leader.
inline constexpr std::size_t kBackupLeaders = 2;

/// A peer that may be chosen as a backup leader.
struct BackupLeaderCandidate {
  /// Address on which it receives datagrams.
  std::string address;
  std::string failure_domain;
  /// Part of a core that it may use.
  double processor_share = 0;

  friend bool operator==(const BackupLeaderCandidate&,
                         const BackupLeaderCandidate&) = default;
};

/// Returns the addresses of the backup leaders among \p candidates for a leader
/// in the failure domain \p domain: the candidates with the largest processor
/// share, in failure domains that differ from the leader's and from one another
/// where possible. Instances that know the same candidates choose the same
/// backup leaders.
/// Thread safety: safe.
std::vector<std::string> ChooseBackupLeaders(
    std::vector<BackupLeaderCandidate> candidates, const std::string& domain);

/// Chooses the backup leaders among the live peers.
///
/// Load: when the leader of a large fleet dies, hundreds of instances lose the
/// confirmations of the configuration, the liveness state and the loads for as
/// long as the lease lasts, and each reads the store for itself meanwhile.
/// Every instance therefore reports to the backup leaders as well, so that they
/// can report to all in the leader's place.
/// Thread safety: safe.
std::vector<std::string> ChooseBackupLeaders(const PeerTable& peers,
                                             const std::string& domain,
                                             TimePoint now);

/// Returns whether the instance with the datagram address \p own acts for a
/// missing leader: no leader is known, and \p own is the first live one of
/// \p backup_leaders.
/// Thread safety: safe.
bool ActsForLeader(const PeerTable& peers,
                   const std::vector<std::string>& backup_leaders,
                   const std::string& own, TimePoint now);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_BACKUP_LEADERS_H_
