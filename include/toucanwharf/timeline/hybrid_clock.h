#ifndef TOUCANWHARF_TIMELINE_HYBRID_CLOCK_H_
#define TOUCANWHARF_TIMELINE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanwharf::timeline {

/// A reading of a hybrid logical clock: wall clock time that is never behind a
/// reading on which it may depend, with a counter that orders readings of the
/// same millisecond.
struct Stamp {
  /// Milliseconds since 1970.
  std::uint64_t millis = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const Stamp&, const Stamp&) = default;
};

/// Returns \p stamp as "millis.counter". Thread safety: safe.
std::string ToText(Stamp stamp);

/// Parses the output of ToText; returns nothing for any other text.
/// Thread safety: safe.
std::optional<Stamp> ParseStamp(std::string_view text);

/// A stamp from another instance that is further ahead of the local wall clock
/// is ignored.
inline constexpr std::uint64_t kMaxRemoteLeadMillis = 60000;

/// Hybrid logical clock (Kulkarni et al., 2014). If one event can have caused
/// another, and the messages between them carried stamps, its stamp is smaller,
/// regardless of the skew between the instances' wall clocks. Only orders
/// events for display; no decision depends on it.
/// Thread safety: none; one owner.
class HybridClock {
 public:
  /// Returns the stamp of an event at wall clock time \p wall_millis; larger
  /// than all earlier results.
  Stamp Tick(std::uint64_t wall_millis);

  /// Advances the clock to the stamp in a message, so that later events get
  /// larger ones. A stamp more than kMaxRemoteLeadMillis ahead of
  /// \p wall_millis is ignored: otherwise one instance with a wrong clock would
  /// permanently move every other instance's time line into the future.
  void Observe(Stamp remote, std::uint64_t wall_millis);

 private:
  Stamp last;
};

}  // namespace toucanwharf::timeline

#endif  // TOUCANWHARF_TIMELINE_HYBRID_CLOCK_H_
