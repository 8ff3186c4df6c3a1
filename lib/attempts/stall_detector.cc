#include "toucanwharf/attempts/stall_detector.h"

#include <algorithm>

namespace toucanwharf::attempts {
namespace {

Duration Part(Duration whole, double share) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

Duration Mix(Duration newest, Duration before, double weight) {
  return Part(newest, weight) + Part(before, 1 - weight);
}

}  // namespace

void StallDetector::OnEvent(TimePoint now) {
  if (this->last_event_of_all) {
    this->longest_pause =
        std::max(this->longest_pause, now - *this->last_event_of_all);
  }
  this->last_event_of_all = now;
  if (this->last_event) this->NoteGap(now - *this->last_event);
  this->last_event = now;
}

void StallDetector::NoteGap(Duration gap) {
  if (this->usual_gap == Duration(0)) {
    this->usual_gap = gap;
    this->mean_deviation = gap / 2;
    return;
  }
  const Duration deviation = std::chrono::abs(gap - this->usual_gap);
  this->mean_deviation =
      Mix(deviation, this->mean_deviation, this->settings.deviation_weight);
  this->usual_gap = Mix(gap, this->usual_gap, this->settings.gap_weight);
}

void StallDetector::Restart() {
  this->last_event.reset();
  this->usual_gap = Duration(0);
  this->mean_deviation = Duration(0);
}

Duration StallDetector::StallTimeout() const {
  if (!this->last_event) {
    return Part(this->objective, this->settings.objective_share);
  }
  return std::max(
      this->settings.least,
      this->usual_gap + Part(this->mean_deviation, this->settings.deviations));
}

Duration StallDetector::SuspectedStallTimeout() const {
  // With another sign of the engine's death half the silence is enough; an
  // answer that has begun nothing yet has no pace that could contradict.
  return std::min(this->StallTimeout(), this->settings.least) / 2;
}

}  // namespace toucanwharf::attempts
