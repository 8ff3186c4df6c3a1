#ifndef TOUCANWHARF_PEERS_ERROR_H_
#define TOUCANWHARF_PEERS_ERROR_H_

#include <system_error>

namespace toucanwharf::peers {

/// Why a call to another router failed.
enum class Errc {
  kUnreachable = 1,
  kTimeout,
  kWrongKey,
  kNotFound,
  kMalformed,
  kCannotListen,
};

/// Returns the category of Errc; its messages name the remedy.
/// Thread safety: safe.
const std::error_category& PeersCategory();

/// Thread safety: safe.
std::error_code make_error_code(Errc code);

}  // namespace toucanwharf::peers

template <>
struct std::is_error_code_enum<toucanwharf::peers::Errc> : std::true_type {};

#endif  // TOUCANWHARF_PEERS_ERROR_H_
