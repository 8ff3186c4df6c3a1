#include "toucanwharf/gossip/rotation.h"

#include <algorithm>

namespace toucanwharf::gossip {
namespace {

/// Adds those of \p more to \p chosen that are not in it.
void AddNew(std::vector<std::string>& chosen,
            const std::vector<std::string>& more) {
  for (const std::string& one : more) {
    const bool there =
        std::find(chosen.begin(), chosen.end(), one) != chosen.end();
    if (!there) chosen.push_back(one);
  }
}

}  // namespace

std::vector<std::string> Rotation::Next(const Audience& audience) {
  ++this->round;
  const std::size_t all = audience.near.size() + audience.far.size();
  const bool turn =
      audience.is_hub && this->round % this->settings.hub_every == 0;
  this->everyone = all <= this->settings.everyone_up_to || turn;
  if (this->everyone) {
    std::vector<std::string> told = audience.near;
    told.insert(told.end(), audience.far.begin(), audience.far.end());
    return told;
  }
  std::vector<std::string> chosen;
  if (!audience.leader.empty()) chosen.push_back(audience.leader);
  if (this->round % this->settings.deputy_every == 0 || audience.is_hub) {
    AddNew(chosen, audience.deputies);
  }
  if (audience.is_hub) return chosen;
  std::vector<std::string> turns;
  const std::size_t count =
      std::min(this->settings.at_once, audience.near.size());
  for (std::size_t at = 0; at < count; ++at) {
    turns.push_back(audience.near[this->next_near++ % audience.near.size()]);
  }
  // One of another failure domain, so that domains which have lost the leader
  // and one another find together again.
  const bool far_turn = this->round % this->settings.far_every == 0;
  if (far_turn && !audience.far.empty()) {
    turns.push_back(audience.far[this->next_far++ % audience.far.size()]);
  }
  AddNew(chosen, turns);
  return chosen;
}

Duration Rotation::SilentAfter(std::size_t near) const {
  if (near <= this->settings.everyone_up_to) {
    return this->settings.least_silence;
  }
  const double rounds =
      static_cast<double>(near) / static_cast<double>(this->settings.at_once);
  const double missed = rounds * this->settings.turns_missed *
                        static_cast<double>(this->settings.period.count());
  return std::max(this->settings.least_silence,
                  Duration(static_cast<std::int64_t>(missed)));
}

}  // namespace toucanwharf::gossip
