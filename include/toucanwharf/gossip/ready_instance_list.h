#ifndef TOUCANWHARF_GOSSIP_READY_INSTANCE_LIST_H_
#define TOUCANWHARF_GOSSIP_READY_INSTANCE_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Returns the IPv4 address in the address "IP:PORT" as a number in host byte
/// order, or nothing if it is none. Thread safety: safe.
std::optional<std::uint32_t> IpNumber(const std::string& address);

/// Returns the port in the address "IP:PORT". Thread safety: safe.
std::string PortOf(const std::string& address);

/// Returns the address of port \p port at the IPv4 address \p number.
/// Thread safety: safe.
std::string AddressOf(std::uint32_t number, const std::string& port);

/// Which instances callers may be sent to, by the leader's word.
///
/// Load that it answers: in a fleet of hundreds an instance hears of each other
/// one by turns, and learns of a dead one after half a minute; until then it
/// sends callers there. The leader hears everyone four times a second, and
/// tells everyone whom it hears. Thread safety: none; for one thread.
class ReadyInstanceList {
 public:
  /// The word of a leader that has fallen silent counts for so long.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);

  /// Takes the leader's word. An empty one says nothing.
  void Update(const std::vector<std::uint32_t>& ready, TimePoint now);
  /// Returns whether the leader's word still counts.
  bool IsCurrent(TimePoint now) const;
  /// Returns the instances in it. Precondition: it holds.
  const std::vector<std::uint32_t>& Ready() const { return this->ready; }

 private:
  std::vector<std::uint32_t> ready;
  std::optional<TimePoint> taken;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_ROSTER_H_
