#include "toucanwharf/gossip/initial_read_policy.h"

#include "toucanwharf/gossip/beacon_schedule.h"

namespace toucanwharf::gossip {

bool InitialReadPolicy::MayRead(const std::optional<std::size_t>& instances,
                                TimePoint now) const {
  if (this->strong) return true;
  const std::size_t count = instances.value_or(0);
  const bool few =
      instances && count <= 1 + BeaconScheduleSettings().everyone_up_to;
  if (few) return true;
  const Duration turns = this->settings.turn * static_cast<std::int64_t>(count);
  const Duration turn(static_cast<std::int64_t>(
      this->drawn * static_cast<double>(turns.count())));
  return now - this->started >= this->settings.peers_first + turn;
}

}  // namespace toucanwharf::gossip
