#include "toucanwharf/attempts/stall_detector.h"

#include <algorithm>

namespace toucanwharf::attempts {
namespace {

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

Duration Average(Duration newest, Duration previous, double weight) {
  return Scaled(newest, weight) + Scaled(previous, 1 - weight);
}

}  // namespace

void StallDetector::OnEvent(TimePoint now) {
  if (this->last_event_any_endpoint) {
    this->longest_pause =
        std::max(this->longest_pause, now - *this->last_event_any_endpoint);
  }
  this->last_event_any_endpoint = now;
  if (this->last_event) this->RecordGap(now - *this->last_event);
  this->last_event = now;
}

void StallDetector::RecordGap(Duration gap) {
  if (this->mean_gap == Duration(0)) {
    this->mean_gap = gap;
    this->mean_deviation = gap / 2;
    return;
  }
  const Duration deviation = std::chrono::abs(gap - this->mean_gap);
  this->mean_deviation =
      Average(deviation, this->mean_deviation, this->settings.deviation_weight);
  this->mean_gap = Average(gap, this->mean_gap, this->settings.gap_weight);
}

void StallDetector::Restart() {
  this->last_event.reset();
  this->mean_gap = Duration(0);
  this->mean_deviation = Duration(0);
}

Duration StallDetector::StallTimeout() const {
  if (!this->last_event) {
    return Scaled(this->objective, this->settings.objective_share);
  }
  return std::max(
      this->settings.min_stall,
      this->mean_gap + Scaled(this->mean_deviation, this->settings.deviations));
}

Duration StallDetector::SuspectedStallTimeout() const {
  // With other evidence that the engine is dead half the stall is enough. An
  // answer without events yet has no gaps to compare with.
  return std::min(this->StallTimeout(), this->settings.min_stall) / 2;
}

}  // namespace toucanwharf::attempts
