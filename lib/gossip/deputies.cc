#include "toucanwharf/gossip/deputies.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace toucanwharf::gossip {

std::vector<std::string> ChooseDeputies(std::vector<DeputyCandidate> candidates,
                                        const std::string& domain) {
  std::sort(candidates.begin(), candidates.end(),
            [](const DeputyCandidate& left, const DeputyCandidate& right) {
              return std::tie(right.processor_share, left.address) <
                     std::tie(left.processor_share, right.address);
            });
  std::vector<std::string> chosen;
  std::set<std::string> domains = {domain};
  for (const bool elsewhere : {true, false}) {
    for (const DeputyCandidate& one : candidates) {
      if (chosen.size() == kDeputies) return chosen;
      const bool known =
          std::find(chosen.begin(), chosen.end(), one.address) != chosen.end();
      if (known) continue;
      if (elsewhere && !domains.insert(one.failure_domain).second) continue;
      chosen.push_back(one.address);
    }
  }
  return chosen;
}

std::vector<std::string> ChooseDeputies(const PeerTable& peers,
                                        const std::string& domain,
                                        TimePoint now) {
  std::vector<DeputyCandidate> candidates;
  for (const std::string& address : peers.Addresses(now)) {
    const Peer* peer = peers.Live(address, now);
    if (peer == nullptr || peer->beacon.stopping) continue;
    candidates.push_back(
        {address, peer->beacon.failure_domain, peer->beacon.processor_share});
  }
  return ChooseDeputies(std::move(candidates), domain);
}

bool ActsForLeader(const PeerTable& peers,
                   const std::vector<std::string>& deputies,
                   const std::string& own, TimePoint now) {
  if (!peers.Leader(now).empty()) return false;
  const auto first =
      std::find_if(deputies.begin(), deputies.end(), [&](const auto& one) {
        return one == own || peers.Live(one, now) != nullptr;
      });
  return first != deputies.end() && *first == own;
}

}  // namespace toucanwharf::gossip
