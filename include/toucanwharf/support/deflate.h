#ifndef TOUCANWHARF_SUPPORT_DEFLATE_H_
#define TOUCANWHARF_SUPPORT_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace toucanwharf {

/// Returns \p text compressed in zlib format (RFC 1950).
/// Thread safety: safe.
std::string Deflate(std::string_view text);

/// Decompresses \p bytes; returns nothing if they are corrupt or truncated, or
/// the text has more than \p max_bytes bytes. Thread safety: safe.
std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_bytes);

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_DEFLATE_H_
