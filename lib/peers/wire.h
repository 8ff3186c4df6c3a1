#ifndef TOUCANWHARF_LIB_PEERS_WIRE_H_
#define TOUCANWHARF_LIB_PEERS_WIRE_H_

#include <optional>

#include "peer.pb.h"
#include "toucanwharf/membership/values.h"

/// Between membership's values and what travels. Not for other packages.
namespace toucanwharf::peers {

/// Names of the calls, as the seals cover them.
inline constexpr const char* kProbeCall = "Probe";
inline constexpr const char* kPassOnCall = "PassOnProbe";
inline constexpr const char* kConfigCall = "FetchConfig";
inline constexpr const char* kAnswerCall = "GetAnswer";

/// Writes \p message into \p gossip. Thread safety: safe.
void ToWire(const membership::Message& message, wire::Gossip& gossip);

/// Returns the message, or nothing if a field holds what no member may say.
/// Thread safety: safe.
std::optional<membership::Message> FromWire(const wire::Gossip& gossip);

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_LIB_PEERS_WIRE_H_
