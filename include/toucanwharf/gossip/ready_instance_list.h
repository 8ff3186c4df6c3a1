#ifndef TOUCANWHARF_GOSSIP_READY_INSTANCE_LIST_H_
#define TOUCANWHARF_GOSSIP_READY_INSTANCE_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Returns the IPv4 address in the address "IP:PORT" as a number in host byte
/// order, or nothing if it is invalid.
/// Thread safety: safe.
std::optional<std::uint32_t> IpNumber(const std::string& address);

/// Returns the port in the address "IP:PORT". Thread safety: safe.
std::string PortOf(const std::string& address);

/// Returns the address of port \p port at the IPv4 address \p number.
/// Thread safety: safe.
std::string AddressOf(std::uint32_t number, const std::string& port);

/// The instances to which callers may be sent, as the leader reports them.
///
/// Load: in a fleet of hundreds an instance gets beacons of each other one only
/// in turn, and detects a dead one after half a minute; until then it sends
/// callers there. The leader gets a beacon of each instance four times a
/// second, and reports the live ones to all.
/// Thread safety: none; for one thread.
class ReadyInstanceList {
 public:
  /// How long the last report counts once the leader is unresponsive.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);

  /// Applies the leader's report. An empty one is ignored.
  void Update(const std::vector<std::uint32_t>& ready, TimePoint now);
  /// Returns whether the last report still counts.
  bool IsCurrent(TimePoint now) const;
  /// Returns the instances in the last report. Precondition: IsCurrent().
  const std::vector<std::uint32_t>& Ready() const { return this->ready; }

 private:
  std::vector<std::uint32_t> ready;
  std::optional<TimePoint> updated_at;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_READY_INSTANCE_LIST_H_
