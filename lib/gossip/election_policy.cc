#include "toucanwharf/gossip/election_policy.h"

#include <algorithm>

namespace toucanwharf::gossip {

bool ElectionPolicy::MayAttempt(bool vacant, std::size_t ahead, TimePoint now) {
  if (!vacant) {
    this->vacant_since.reset();
    return false;
  }
  if (!this->vacant_since) this->vacant_since = now;
  if (!this->strong && now - this->started < this->settings.weak_start) {
    return false;
  }
  const auto turn = static_cast<std::int64_t>(ahead / this->settings.at_once);
  const Duration wait =
      std::min(this->settings.longest, this->settings.next_after * turn);
  return now - *this->vacant_since >= wait;
}

}  // namespace toucanwharf::gossip
