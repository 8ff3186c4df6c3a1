#include "toucanwharf/gossip/beacon_schedule.h"

#include <algorithm>

namespace toucanwharf::gossip {
namespace {

/// Adds the elements of \p added to \p chosen that it lacks.
void AddMissing(std::vector<std::string>& chosen,
                const std::vector<std::string>& added) {
  for (const std::string& address : added) {
    const bool present =
        std::find(chosen.begin(), chosen.end(), address) != chosen.end();
    if (!present) chosen.push_back(address);
  }
}

}  // namespace

std::vector<std::string> BeaconSchedule::Next(const BeaconTargets& targets) {
  std::vector<std::string> receivers = this->NextInTurn(targets);
  if (targets.informs_domain) AddMissing(receivers, targets.same_domain);
  return receivers;
}

std::vector<std::string> BeaconSchedule::NextInTurn(
    const BeaconTargets& targets) {
  ++this->round;
  const std::size_t peer_count =
      targets.same_domain.size() + targets.other_domains.size();
  const bool broadcast_turn =
      targets.is_coordinator &&
      this->round % this->settings.coordinator_every == 0;
  this->last_round_was_broadcast =
      peer_count <= this->settings.max_broadcast_peers || broadcast_turn;
  if (this->last_round_was_broadcast) {
    std::vector<std::string> receivers = targets.same_domain;
    receivers.insert(receivers.end(), targets.other_domains.begin(),
                     targets.other_domains.end());
    return receivers;
  }
  std::vector<std::string> chosen;
  if (!targets.leader.empty()) chosen.push_back(targets.leader);
  if (this->round % this->settings.backup_leader_every == 0 ||
      targets.is_coordinator) {
    AddMissing(chosen, targets.backup_leaders);
  }
  if (targets.is_coordinator) return chosen;
  std::vector<std::string> round_robin;
  const std::size_t count = std::min(this->settings.same_domain_per_round,
                                     targets.same_domain.size());
  for (std::size_t i = 0; i < count; ++i) {
    round_robin.push_back(targets.same_domain[this->next_same_domain++ %
                                              targets.same_domain.size()]);
  }
  // One peer of another failure domain per turn, so that domains which have
  // lost the leader and one another get in contact again.
  const bool other_domain_turn =
      this->round % this->settings.other_domain_every == 0;
  if (other_domain_turn && !targets.other_domains.empty()) {
    round_robin.push_back(targets.other_domains[this->next_other_domain++ %
                                                targets.other_domains.size()]);
  }
  AddMissing(chosen, round_robin);
  return chosen;
}

Duration BeaconSchedule::PeerTimeout(std::size_t domain_peers) const {
  if (domain_peers <= this->settings.max_broadcast_peers) {
    return this->settings.min_peer_timeout;
  }
  const double rounds_per_turn =
      static_cast<double>(domain_peers) /
      static_cast<double>(this->settings.same_domain_per_round);
  const double missed_time = rounds_per_turn * this->settings.max_missed_turns *
                             static_cast<double>(this->settings.period.count());
  return std::max(this->settings.min_peer_timeout,
                  Duration(static_cast<std::int64_t>(missed_time)));
}

}  // namespace toucanwharf::gossip
