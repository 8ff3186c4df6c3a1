#ifndef TOUCANWHARF_GOSSIP_FLEET_LOADS_H_
#define TOUCANWHARF_GOSSIP_FLEET_LOADS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "toucanwharf/gossip/beacon.h"
#include "toucanwharf/gossip/key_range.h"

namespace toucanwharf::gossip {

/// Returns whether \p beacon tells the loads of the endpoints that it covers,
/// where \p from_coordinator is whether its sender is the leader or a backup
/// leader. Without any load it means that they are idle if it lists the ready
/// instances, as coordinators do once they have received the loads of all.
/// Thread safety: safe.
bool TellsFleetLoads(const Beacon& beacon, bool from_coordinator);

/// What all instances together have in flight, assembled from the leader's
/// partial reports.
/// Thread safety: none; for one thread.
class FleetLoads {
 public:
  /// Applies the leader's report on the endpoints in \p covered_keys; those
  /// that \p loads leaves out are idle.
  void Update(const KeyRange& covered_keys,
              const std::vector<KeyedLoad>& loads);
  /// Returns the loads of all parts, by key.
  std::vector<KeyedLoad> All() const;

 private:
  std::map<std::uint32_t, KeyedLoad> by_key;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_FLEET_LOADS_H_
