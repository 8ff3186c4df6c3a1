#include "toucanwharf/gossip/beacon_schedule.h"

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

std::vector<std::string> BeaconSchedule::Next(const BeaconTargets& audience) {
  ++this->round;
  const std::size_t all =
      audience.same_domain.size() + audience.other_domains.size();
  const bool turn = audience.is_coordinator &&
                    this->round % this->settings.coordinator_every == 0;
  this->everyone = all <= this->settings.everyone_up_to || turn;
  if (this->everyone) {
    std::vector<std::string> told = audience.same_domain;
    told.insert(told.end(), audience.other_domains.begin(),
                audience.other_domains.end());
    return told;
  }
  std::vector<std::string> chosen;
  if (!audience.leader.empty()) chosen.push_back(audience.leader);
  if (this->round % this->settings.backup_leader_every == 0 ||
      audience.is_coordinator) {
    AddNew(chosen, audience.backup_leaders);
  }
  if (audience.is_coordinator) return chosen;
  std::vector<std::string> turns;
  const std::size_t count =
      std::min(this->settings.at_once, audience.same_domain.size());
  for (std::size_t at = 0; at < count; ++at) {
    turns.push_back(
        audience.same_domain[this->next_near++ % audience.same_domain.size()]);
  }
  // One of another failure domain, so that domains which have lost the leader
  // and one another find together again.
  const bool far_turn = this->round % this->settings.far_every == 0;
  if (far_turn && !audience.other_domains.empty()) {
    turns.push_back(audience.other_domains[this->next_far++ %
                                           audience.other_domains.size()]);
  }
  AddNew(chosen, turns);
  return chosen;
}

Duration BeaconSchedule::PeerTimeout(std::size_t near) const {
  if (near <= this->settings.everyone_up_to) {
    return this->settings.min_peer_timeout;
  }
  const double rounds =
      static_cast<double>(near) / static_cast<double>(this->settings.at_once);
  const double missed = rounds * this->settings.turns_missed *
                        static_cast<double>(this->settings.period.count());
  return std::max(this->settings.min_peer_timeout,
                  Duration(static_cast<std::int64_t>(missed)));
}

}  // namespace toucanwharf::gossip
