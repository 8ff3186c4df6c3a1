#ifndef TOUCANWHARF_SUPPORT_IDS_H_
#define TOUCANWHARF_SUPPORT_IDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanwharf {

/// Returns a new random UUID version 7. Its first 48 bits are wall clock
/// milliseconds, so that ids sort by age and data stored per id can expire by
/// age.
/// Thread safety: safe.
std::string NewId();

/// Returns a new id whose last 32 bits are a hash of \p origin, so that a
/// reader can find the instance that created it. Thread safety: safe.
std::string NewIdOf(std::string_view origin);

/// Returns whether \p id may have been created by NewIdOf for \p origin. Any
/// text is allowed; different origins rarely match the same id. Thread safety:
/// safe.
bool IsIdOf(std::string_view id, std::string_view origin);

/// Returns the UUID version 7 of \p millis and the low 74 bits of the two
/// random words. Does no I/O; for tests and virtual time. Thread safety: safe.
std::string IdFrom(std::uint64_t millis, std::uint64_t random_high,
                   std::uint64_t random_low);

/// Returns the wall clock milliseconds of a UUID version 7, or nothing if \p id
/// is not one. Thread safety: safe.
std::optional<std::uint64_t> MillisOf(std::string_view id);

/// Returns the SHA-256 of \p text in hexadecimal digits. Thread safety: safe.
std::string Sha256Hex(std::string_view text);

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_IDS_H_
