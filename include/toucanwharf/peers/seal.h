#ifndef TOUCANWHARF_PEERS_SEAL_H_
#define TOUCANWHARF_PEERS_SEAL_H_

#include <cstdint>
#include <string>
#include <string_view>

/// What proves that a message comes from a router with the shared key.
///
/// A seal is the HMAC-SHA256 of what the message is for and its bytes. The
/// key itself never travels. An answer's seal covers the request's seal too,
/// so that an answer can't be taken for that to another request.
///
/// It does not hide anything: whoever can read the network reads gossip,
/// configuration and resumed answers, and can repeat a request. A repeated
/// probe changes nothing, because claims and items carry versions; a repeated
/// fetch gives what was already read. Where the network between routers isn't
/// trusted, put it into a tunnel.
namespace toucanwharf::peers {

/// Returns the seal of the request \p body to \p call.
/// Thread safety: safe.
std::string SealRequest(std::string_view key, std::string_view call,
                        std::string_view body);

/// Returns the seal of part \p part of the answer to the request whose seal is
/// \p request_seal.
/// Thread safety: safe.
std::string SealAnswer(std::string_view key, std::string_view request_seal,
                       std::uint64_t part, std::string_view body);

/// Compares in time that doesn't depend on where the two differ.
/// Thread safety: safe.
bool SameSeal(std::string_view left, std::string_view right);

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_PEERS_SEAL_H_
