#include "toucanwharf/gossip/backup_leaders.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace toucanwharf::gossip {

std::vector<std::string> ChooseBackupLeaders(
    std::vector<BackupLeaderCandidate> candidates, const std::string& domain) {
  std::sort(candidates.begin(), candidates.end(),
            [](const BackupLeaderCandidate& left,
               const BackupLeaderCandidate& right) {
              return std::tie(right.processor_share, left.address) <
                     std::tie(left.processor_share, right.address);
            });
  std::vector<std::string> chosen;
  std::set<std::string> domains = {domain};
  for (const bool elsewhere : {true, false}) {
    for (const BackupLeaderCandidate& candidate : candidates) {
      if (chosen.size() == kBackupLeaders) return chosen;
      const bool known = std::find(chosen.begin(), chosen.end(),
                                   candidate.address) != chosen.end();
      if (known) continue;
      if (elsewhere && !domains.insert(candidate.failure_domain).second) {
        continue;
      }
      chosen.push_back(candidate.address);
    }
  }
  return chosen;
}

std::vector<std::string> ChooseBackupLeaders(const PeerTable& peers,
                                             const std::string& domain,
                                             TimePoint now) {
  std::vector<BackupLeaderCandidate> candidates;
  for (const std::string& address : peers.Addresses(now)) {
    const Peer* peer = peers.Live(address, now);
    if (peer == nullptr || peer->beacon.stopping) continue;
    candidates.push_back(
        {address, peer->beacon.failure_domain, peer->beacon.processor_share});
  }
  return ChooseBackupLeaders(std::move(candidates), domain);
}

bool ActsForLeader(const PeerTable& peers,
                   const std::vector<std::string>& backup_leaders,
                   const std::string& own, TimePoint now) {
  if (!peers.Leader(now).empty()) return false;
  const auto first = std::find_if(
      backup_leaders.begin(), backup_leaders.end(), [&](const auto& candidate) {
        return candidate == own || peers.Live(candidate, now) != nullptr;
      });
  return first != backup_leaders.end() && *first == own;
}

}  // namespace toucanwharf::gossip
