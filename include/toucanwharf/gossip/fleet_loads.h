#ifndef TOUCANWHARF_GOSSIP_FLEET_LOADS_H_
#define TOUCANWHARF_GOSSIP_FLEET_LOADS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "toucanwharf/gossip/beacon.h"
#include "toucanwharf/gossip/key_range.h"

namespace toucanwharf::gossip {

/// What all instances together have under way, put together from the leader's
/// parts. Thread safety: none; for one thread.
class FleetLoads {
 public:
  /// Takes what the leader tells of the endpoints in \p about: those that
  /// \p loads leaves out are idle.
  void Update(const KeyRange& about, const std::vector<KeyedLoad>& loads);
  /// Returns the loads of all parts, by key.
  std::vector<KeyedLoad> All() const;

 private:
  std::map<std::uint32_t, KeyedLoad> by_key;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_FLEET_LOADS_H_
