#include "toucanwharf/gossip/election_policy.h"

#include <algorithm>

namespace toucanwharf::gossip {

bool ElectionPolicy::MayAttempt(bool vacant, std::size_t ahead, TimePoint now) {
  if (!vacant) {
    this->vacant_since.reset();
    return false;
  }
  if (!this->vacant_since) this->vacant_since = now;
  if (!this->strong && now - this->started < this->settings.weak_start_delay) {
    return false;
  }
  const auto turn =
      static_cast<std::int64_t>(ahead / this->settings.concurrent_candidates);
  const Duration delay =
      std::min(this->settings.max_delay, this->settings.turn_interval * turn);
  return now - *this->vacant_since >= delay;
}

}  // namespace toucanwharf::gossip
