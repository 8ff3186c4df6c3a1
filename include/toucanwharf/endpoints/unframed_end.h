#ifndef TOUCANWHARF_ENDPOINTS_UNFRAMED_END_H_
#define TOUCANWHARF_ENDPOINTS_UNFRAMED_END_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace toucanwharf::endpoints {

/// What the end of an answer means that ended only with its connection.
enum class UnframedEnd {
  /// The endpoint has sent the whole answer.
  kWhole,
  /// The endpoint has crashed, and the answer with it.
  kBroken,
  kUnknown,
};

/// What an endpoint's address shows after the end of an answer.
struct AfterEnd {
  /// Whether connections are refused there: no process listens.
  bool refused = false;
  /// Start time in milliseconds since 1970 of the endpoint that reports there,
  /// if one does.
  std::optional<std::uint64_t> reported_start_ms;

  friend bool operator==(const AfterEnd&, const AfterEnd&) = default;
};

/// Returns what the end of an answer means whose sender started at \p start_ms,
/// 0 if that isn't known.
///
/// The list of endpoints has no say: an instance that was suspended may read it
/// before the end, and finds the sender gone or another start in its place.
/// Thread safety: safe.
UnframedEnd MeaningOfEnd(std::uint64_t start_ms, const AfterEnd& after);

/// Returns \p meaning as a word of a log line. Thread safety: safe.
std::string_view ToText(UnframedEnd meaning);

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_UNFRAMED_END_H_
