#include "toucanwharf/timeline/hybrid_clock.h"

#include <algorithm>

#include "absl/strings/numbers.h"

namespace toucanwharf::timeline {

std::string ToText(Stamp stamp) {
  return std::to_string(stamp.millis) + "." + std::to_string(stamp.counter);
}

std::optional<Stamp> ParseStamp(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  Stamp stamp;
  const std::string millis(text.substr(0, dot));
  const std::string counter(text.substr(dot + 1));
  if (!absl::SimpleAtoi(millis, &stamp.millis)) return std::nullopt;
  if (!absl::SimpleAtoi(counter, &stamp.counter)) return std::nullopt;
  return stamp;
}

Stamp HybridClock::Tick(std::uint64_t wall_millis) {
  if (wall_millis > this->last.millis) {
    this->last = Stamp{wall_millis, 0};
    return this->last;
  }
  ++this->last.counter;
  return this->last;
}

void HybridClock::Observe(Stamp remote, std::uint64_t wall_millis) {
  if (remote.millis > wall_millis + kMaxRemoteLeadMillis) return;
  this->last = std::max(this->last, remote);
}

}  // namespace toucanwharf::timeline
