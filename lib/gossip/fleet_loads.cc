#include "toucanwharf/gossip/fleet_loads.h"

#include "toucanwharf/gossip/fleet_start.h"

namespace toucanwharf::gossip {

bool TellsFleetLoads(const Beacon& beacon, bool from_coordinator) {
  if (!beacon.fleet_loads.empty()) return true;
  return from_coordinator && !beacon.ready_instances.empty() &&
         beacon.uptime >= kMaxAssistUptime;
}

void FleetLoads::Update(const KeyRange& covered_keys,
                        const std::vector<KeyedLoad>& loads) {
  this->by_key.erase(this->by_key.lower_bound(covered_keys.first),
                     this->by_key.upper_bound(covered_keys.last));
  for (const KeyedLoad& load : loads) {
    if (covered_keys.Contains(load.key)) this->by_key[load.key] = load;
  }
}

std::vector<KeyedLoad> FleetLoads::All() const {
  std::vector<KeyedLoad> all;
  for (const auto& [key, load] : this->by_key) all.push_back(load);
  return all;
}

}  // namespace toucanwharf::gossip
