#ifndef TOUCANWHARF_SUPPORT_DEFLATE_H_
#define TOUCANWHARF_SUPPORT_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace toucanwharf {

/// Returns \p text in fewer bytes, in zlib's format (RFC 1950).
/// Thread safety: safe.
std::string Deflate(std::string_view text);

/// The way back; nothing if \p bytes are not whole or hold a text of more than
/// \p most bytes. Thread safety: safe.
std::optional<std::string> Inflate(std::string_view bytes, std::size_t most);

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_DEFLATE_H_
