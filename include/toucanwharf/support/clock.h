#ifndef TOUCANWHARF_SUPPORT_CLOCK_H_
#define TOUCANWHARF_SUPPORT_CLOCK_H_

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>

namespace toucanwharf {

/// Length of time. The whole core uses microseconds.
using Duration = std::chrono::microseconds;

/// A point on the steady clock of one process. Points of different processes
/// can't be compared.
struct TimePoint {
  Duration since_start{0};

  // clang-tidy 14 takes the zero inside a defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TimePoint&, const TimePoint&) = default;
  friend TimePoint operator+(TimePoint point, Duration length) {
    return TimePoint{point.since_start + length};
  }
  friend TimePoint operator-(TimePoint point, Duration length) {
    return TimePoint{point.since_start - length};
  }
  friend Duration operator-(TimePoint end, TimePoint start) {
    return end.since_start - start.since_start;
  }
};

/// A source of time. Most of the core takes a TimePoint as argument; only code
/// that waits or schedules takes a clock.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// Steady clock that advances while the machine is suspended (CLOCK_BOOTTIME).
/// A lease measured on a clock that stops during suspension would seem valid
/// after it has expired.
/// Thread safety: safe.
class BootClock {
 public:
  /// Returns the time since the machine started.
  TimePoint Now() const;
};

/// Returns wall clock time in milliseconds since 1970. Only for output to
/// people and the time part of ids; no decision compares wall clocks.
/// Thread safety: safe.
std::uint64_t WallMillis();

/// A clock that advances only when a test sets it forward.
/// Thread safety: none; for one thread.
class ManualClock {
 public:
  /// Returns the current manual time.
  TimePoint Now() const { return this->now; }
  /// Advances the time by \p length. Precondition: length >= 0.
  void Advance(Duration length) { this->now = this->now + length; }

 private:
  TimePoint now;
};

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_CLOCK_H_
