#include "toucanwharf/admission/usual_time.h"

#include <utility>

namespace toucanwharf::admission {
namespace {

constexpr Duration kWindow = std::chrono::seconds(10);
/// A caller that has lost less than this was hardly refused before.
constexpr std::int64_t kMinAgeMillis = 50;
/// Bounds of the memory: times per route, and routes.
constexpr std::size_t kMaxTimes = 64;
constexpr std::size_t kMaxRoutes = 4096;

std::int64_t MillisOf(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

std::int64_t UsualTime::UsualOf(const Window& window) {
  Counts sums = window.previous;
  for (const auto& [millis, count] : window.current) sums[millis] += count;
  std::int64_t usual = 0;
  int most = 0;
  for (const auto& [millis, count] : sums) {
    if (count < most) continue;
    most = count;
    usual = millis;
  }
  return usual;
}

void UsualTime::ForgetUnusedRoutes(TimePoint now) {
  std::erase_if(this->routes, [now](const auto& entry) {
    return now - entry.second.begin >= 2 * kWindow;
  });
}

Duration UsualTime::RecordAttempt(const std::string& route, Duration stated,
                                  TimePoint now) {
  if (!this->routes.contains(route) && this->routes.size() >= kMaxRoutes) {
    this->ForgetUnusedRoutes(now);
    if (this->routes.size() >= kMaxRoutes) return Duration(0);
  }
  Window& window =
      this->routes.try_emplace(route, Window{now, {}, {}}).first->second;
  if (now - window.begin >= kWindow) {
    window.previous = std::exchange(window.current, {});
    window.begin = now;
  }
  const std::int64_t millis = MillisOf(stated);
  const bool counted =
      window.current.contains(millis) || window.current.size() < kMaxTimes;
  if (counted) ++window.current[millis];
  const std::int64_t missing = UsualOf(window) - millis;
  // Who has less than half of the usual time left is another kind of caller.
  const bool is_retry = missing >= kMinAgeMillis && missing <= millis;
  return is_retry ? std::chrono::milliseconds(missing) : Duration(0);
}

}  // namespace toucanwharf::admission
