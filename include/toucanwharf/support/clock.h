#ifndef TOUCANWHARF_SUPPORT_CLOCK_H_
#define TOUCANWHARF_SUPPORT_CLOCK_H_

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>

namespace toucanwharf {

/// Length of time; all of the core counts in microseconds.
using Duration = std::chrono::microseconds;

/// A point on one process's own steady time scale. Points of two processes
/// are never compared with each other.
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
  friend Duration operator-(TimePoint late, TimePoint early) {
    return late.since_start - early.since_start;
  }
};

/// What the core asks of a source of time. The core mostly takes a TimePoint
/// as argument; only what waits or schedules takes a clock.
template <typename T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// Steady time that goes on while the machine is suspended (CLOCK_BOOTTIME).
/// A lease measured on a clock that stops in a pause would seem valid after
/// it.
/// Thread safety: all methods may be called at once from several threads.
class BootClock {
 public:
  /// Returns the time since the machine started.
  TimePoint Now() const;
};

/// Returns wall clock time in milliseconds since 1970. Only for what people
/// read and for the time part of ids; no decision compares wall clocks.
/// Thread safety: safe.
std::uint64_t WallMillis();

/// A clock that stands still until a test moves it.
/// Thread safety: none; for one thread.
class ManualClock {
 public:
  /// Returns the time that was last set.
  TimePoint Now() const { return this->now; }
  /// Moves time on by \p length. Precondition: length >= 0.
  void Advance(Duration length) { this->now = this->now + length; }

 private:
  TimePoint now;
};

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_CLOCK_H_
