#ifndef TOUCANWHARF_SUPPORT_IDS_H_
#define TOUCANWHARF_SUPPORT_IDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanwharf {

/// Returns a new random id in the form of a UUID version 7, whose first 48
/// bits are wall clock milliseconds, so that ids sort by age and what is kept
/// per id can be dropped by age.
/// Thread safety: safe.
std::string NewId();

/// Returns a new id whose last 32 bits name \p origin, so that whoever reads it
/// can find where it was made.
/// Thread safety: safe.
std::string NewIdOf(std::string_view origin);

/// Returns whether \p id may be one that NewIdOf made for \p origin. Any text
/// is allowed; different origins rarely match the same id.
bool IsIdOf(std::string_view id, std::string_view origin);

/// Builds the UUID version 7 of \p millis and the low 74 bits of the two
/// random words. Without I/O, for tests and virtual time.
std::string IdFrom(std::uint64_t millis, std::uint64_t random_high,
                   std::uint64_t random_low);

/// Returns the wall clock milliseconds inside a UUID version 7, or nothing if
/// \p id is not one.
std::optional<std::uint64_t> MillisOf(std::string_view id);

/// Returns the SHA-256 of \p text in hexadecimal digits.
std::string Sha256Hex(std::string_view text);

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_IDS_H_
