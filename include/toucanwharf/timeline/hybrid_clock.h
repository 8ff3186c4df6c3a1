#ifndef TOUCANWHARF_TIMELINE_HYBRID_CLOCK_H_
#define TOUCANWHARF_TIMELINE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanwharf::timeline {

/// A hybrid logical clock reading: wall clock time that never falls behind a
/// reading that it may depend on, with a counter for readings within one
/// millisecond.
struct Stamp {
  /// Milliseconds since 1970.
  std::uint64_t millis = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

/// Returns \p stamp as "millis.counter". Thread safety: safe.
std::string ToText(Stamp stamp);

/// Returns the stamp that ToText wrote, or nothing for any other text.
/// Thread safety: safe.
std::optional<Stamp> ParseStamp(std::string_view text);

/// A stamp from another instance that is further ahead than this is not
/// followed.
inline constexpr std::uint64_t kMaxAheadMillis = 60000;

/// Hybrid logical clock (Kulkarni et al., 2014). If one event can have caused
/// another, and the stamps travelled with the messages between them, its stamp
/// is the smaller one, however far the instances' wall clocks disagree. Orders
/// what people read; no decision depends on it.
/// Thread safety: none; one owner.
class HybridClock {
 public:
  /// Returns the stamp of an event at wall clock time \p wall_millis; larger
  /// than all earlier results.
  Stamp Tick(std::uint64_t wall_millis);

  /// Takes the stamp that came with a message, so that later events get
  /// larger ones. A stamp more than kMaxAheadMillis ahead of \p wall_millis is
  /// ignored: one instance with a broken clock would otherwise drag every
  /// other one's time line into the future for good.
  void Observe(Stamp remote, std::uint64_t wall_millis);

 private:
  Stamp last;
};

}  // namespace toucanwharf::timeline

#endif  // TOUCANWHARF_TIMELINE_HYBRID_CLOCK_H_
