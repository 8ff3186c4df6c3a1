#include "toucanwharf/attempts/event_pace.h"

#include <algorithm>

namespace toucanwharf::attempts {
namespace {

Duration Part(Duration whole, double share) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(whole.count()) * share));
}

}  // namespace

void EventPace::OnEvent(TimePoint now) {
  if (this->last_event_of_all) {
    this->longest_pause =
        std::max(this->longest_pause, now - *this->last_event_of_all);
  }
  this->last_event_of_all = now;
  if (this->last_event) {
    const Duration gap = now - *this->last_event;
    const double weight = this->settings.newest_weight;
    this->usual_gap =
        this->usual_gap == Duration(0)
            ? gap
            : Part(gap, weight) + Part(this->usual_gap, 1 - weight);
  }
  this->last_event = now;
}

void EventPace::Restart() {
  this->last_event.reset();
  this->usual_gap = Duration(0);
}

Duration EventPace::Patience() const {
  if (!this->last_event) {
    return Part(this->objective, this->settings.objective_share);
  }
  return std::max(this->settings.least,
                  Part(this->usual_gap, this->settings.usual_gaps));
}

Duration EventPace::PatienceOnceSuspected() const {
  // With another sign of the engine's death half the silence is enough; an
  // answer that has begun nothing yet has no pace that could contradict.
  return std::min(this->Patience(), this->settings.least) / 2;
}

}  // namespace toucanwharf::attempts
