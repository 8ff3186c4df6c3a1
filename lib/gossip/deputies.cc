#include "toucanwharf/gossip/deputies.h"

#include <algorithm>
#include <set>

namespace toucanwharf::gossip {

std::vector<std::string> ChooseDeputies(const PeerTable& peers,
                                        const std::string& domain,
                                        TimePoint now) {
  struct Candidate {
    std::string address;
    const Beacon* beacon;
  };
  std::vector<Candidate> candidates;
  for (const std::string& address : peers.Addresses(now)) {
    const Peer* peer = peers.Live(address, now);
    if (peer == nullptr || peer->beacon.stopping) continue;
    candidates.push_back({address, &peer->beacon});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.beacon->processor_share >
                            right.beacon->processor_share;
                   });
  std::vector<std::string> chosen;
  std::set<std::string> domains = {domain};
  for (const bool elsewhere : {true, false}) {
    for (const Candidate& one : candidates) {
      if (chosen.size() == kDeputies) return chosen;
      const bool known =
          std::find(chosen.begin(), chosen.end(), one.address) != chosen.end();
      if (known) continue;
      if (elsewhere && !domains.insert(one.beacon->failure_domain).second) {
        continue;
      }
      chosen.push_back(one.address);
    }
  }
  return chosen;
}

}  // namespace toucanwharf::gossip
