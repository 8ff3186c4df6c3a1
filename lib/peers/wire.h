#ifndef TOUCANWHARF_LIB_PEERS_WIRE_H_
#define TOUCANWHARF_LIB_PEERS_WIRE_H_

#include <optional>

#include "peer.pb.h"
#include "toucanwharf/membership/values.h"

/// Conversion between the values of membership and wire messages. Private to
/// this library.
namespace toucanwharf::peers {

/// Names of the calls that the seals cover.
inline constexpr const char* kProbeCall = "Probe";
inline constexpr const char* kPassOnCall = "PassOnProbe";
inline constexpr const char* kConfigCall = "FetchConfig";
inline constexpr const char* kAnswerCall = "GetAnswer";

/// Writes \p message into \p gossip. Thread safety: safe.
void ToWire(const membership::Message& message, wire::Gossip& gossip);

/// Returns the message, or nothing if a field has an invalid value.
/// Thread safety: safe.
std::optional<membership::Message> FromWire(const wire::Gossip& gossip);

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_LIB_PEERS_WIRE_H_
