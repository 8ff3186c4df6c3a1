#include "toucanwharf/support/clock.h"

#include <ctime>

namespace toucanwharf {

TimePoint BootClock::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto seconds = std::chrono::seconds(now.tv_sec);
  const auto nanoseconds = std::chrono::nanoseconds(now.tv_nsec);
  return TimePoint{std::chrono::duration_cast<Duration>(seconds + nanoseconds)};
}

std::uint64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now);
  return static_cast<std::uint64_t>(millis.count());
}

}  // namespace toucanwharf
