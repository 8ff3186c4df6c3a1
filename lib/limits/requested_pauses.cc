#include "toucanwharf/limits/requested_pauses.h"

#include <algorithm>

#include "toucanwharf/limits/stated_limits.h"

namespace toucanwharf::limits {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

std::optional<Duration> ParseRetryAfter(std::string_view text) {
  const auto seconds = ParseRate(text);
  if (!seconds) return std::nullopt;
  const auto max =
      static_cast<double>(Duration(RequestedPauses::kMaxPause).count());
  return Duration(
      static_cast<std::int64_t>(std::min(*seconds * kMicrosPerSecond, max)));
}

void RequestedPauses::OnPause(std::uint32_t endpoint, Duration length,
                              TimePoint sent, TimePoint now) {
  const auto [known, added] =
      this->pauses.try_emplace(endpoint, Pause{now + length, sent});
  if (added || sent < known->second.sent) return;
  known->second = Pause{now + length, sent};
}

Duration RequestedPauses::Wait(std::uint32_t endpoint, TimePoint now) const {
  const auto found = this->pauses.find(endpoint);
  if (found == this->pauses.end()) return Duration(0);
  return std::max(found->second.until - now, Duration(0));
}

std::size_t RequestedPauses::Count(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->pauses.begin(), this->pauses.end(),
      [now](const auto& entry) { return now < entry.second.until; }));
}

void RequestedPauses::RetainOnly(const std::set<std::uint32_t>& known,
                                 TimePoint now) {
  std::erase_if(this->pauses, [&](const auto& entry) {
    return now >= entry.second.until || !known.contains(entry.first);
  });
  std::erase_if(this->leaving,
                [&](std::uint32_t key) { return !known.contains(key); });
}

}  // namespace toucanwharf::limits
