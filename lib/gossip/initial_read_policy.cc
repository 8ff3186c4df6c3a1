#include "toucanwharf/gossip/initial_read_policy.h"

#include "toucanwharf/gossip/beacon_schedule.h"

namespace toucanwharf::gossip {

bool InitialReadPolicy::MayRead(const std::optional<std::size_t>& instances,
                                TimePoint now) const {
  if (this->strong) return true;
  const std::size_t count = instances.value_or(0);
  const bool small_fleet =
      instances && count <= 1 + BeaconScheduleSettings().max_broadcast_peers;
  if (small_fleet) return true;
  const Duration spread =
      this->settings.read_interval * static_cast<std::int64_t>(count);
  const Duration delay(static_cast<std::int64_t>(
      this->jitter * static_cast<double>(spread.count())));
  return now - this->started >= this->settings.peer_copy_wait + delay;
}

}  // namespace toucanwharf::gossip
