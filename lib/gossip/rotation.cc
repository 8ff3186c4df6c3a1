#include "toucanwharf/gossip/rotation.h"

#include <algorithm>

namespace toucanwharf::gossip {

std::vector<std::string> Rotation::Next(
    const std::vector<std::string>& addresses, const std::string& leader,
    bool leads) {
  ++this->round;
  const bool few = addresses.size() <= this->settings.everyone_up_to;
  const bool leaders_turn =
      leads && this->round % this->settings.leader_every == 0;
  if (few || leaders_turn) return addresses;
  std::vector<std::string> chosen;
  for (std::size_t at = 0; at < this->settings.at_once; ++at) {
    chosen.push_back(addresses[this->position++ % addresses.size()]);
  }
  const bool known =
      std::find(addresses.begin(), addresses.end(), leader) != addresses.end();
  const bool told =
      std::find(chosen.begin(), chosen.end(), leader) != chosen.end();
  if (known && !told) chosen.push_back(leader);
  return chosen;
}

Duration Rotation::SilentAfter(std::size_t peers) const {
  if (peers <= this->settings.everyone_up_to) {
    return this->settings.least_silence;
  }
  const double rounds =
      static_cast<double>(peers) / static_cast<double>(this->settings.at_once);
  const double missed = rounds * this->settings.turns_missed *
                        static_cast<double>(this->settings.period.count());
  return std::max(this->settings.least_silence,
                  Duration(static_cast<std::int64_t>(missed)));
}

}  // namespace toucanwharf::gossip
