#ifndef TOUCANWHARF_PEERS_SEAL_H_
#define TOUCANWHARF_PEERS_SEAL_H_

#include <cstdint>
#include <string>
#include <string_view>

/// Seals authenticate messages between routers that share a key.
///
/// A seal is the HMAC-SHA256 of the message's purpose and its bytes. The key
/// itself is never sent. An answer's seal also covers the request's seal, so
/// that an answer can't be passed off as that to another request.
///
/// Seals provide no confidentiality and no replay protection: an attacker who
/// can read the network can read gossip, configuration and resumed answers, and
/// can replay a request. A replayed probe changes nothing, because claims and
/// items carry versions; a replayed fetch returns what was already readable.
/// Use a tunnel where the network between routers isn't trusted.
namespace toucanwharf::peers {

/// Returns the seal of a request to \p call whose bytes are \p body.
/// Thread safety: safe.
std::string SealRequest(std::string_view key, std::string_view call,
                        std::string_view body);

/// Returns the seal of part number \p part, from 0, of the answer to the
/// request whose seal is \p request_seal. Thread safety: safe.
std::string SealAnswer(std::string_view key, std::string_view request_seal,
                       std::uint64_t part, std::string_view body);

/// Returns whether the seals are equal, in time that doesn't depend on where
/// they differ.
/// Thread safety: safe.
bool SameSeal(std::string_view left, std::string_view right);

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_PEERS_SEAL_H_
