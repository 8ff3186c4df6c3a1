#ifndef TOUCANWHARF_GOSSIP_BEACON_SCHEDULE_H_
#define TOUCANWHARF_GOSSIP_BEACON_SCHEDULE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// How often whom, with the reason of each figure.
struct BeaconScheduleSettings {
  /// Between two rounds. Four a second keep what peers know of loads and of
  /// the configuration's age within the time of an answer's first event.
  Duration period = std::chrono::milliseconds(250);
  /// Up to so many peers each gets a beacon in every round: 64 messages a
  /// second, about 1% of a quarter of a core.
  std::size_t everyone_up_to = 16;
  /// In a larger fleet this many others of the own failure domain get one in
  /// each round, by turns.
  std::size_t at_once = 8;
  /// A coordinator tells everyone in every second round: what it says of the
  /// configuration's age and of all loads is what the others go by.
  std::size_t coordinator_every = 2;
  /// A backup leader hears everyone in every second round: only the leader's
  /// sums must be as new as can be.
  std::size_t backup_leader_every = 2;
  /// One of another failure domain gets a beacon in every fourth round.
  std::size_t far_every = 4;
  /// A peer counts as silent after its turn was missed so many times.
  double turns_missed = 2.5;
  /// But not sooner than this: five beacons may be lost.
  Duration min_peer_timeout = std::chrono::milliseconds(1500);

  friend bool operator==(const BeaconScheduleSettings&,
                         const BeaconScheduleSettings&) = default;
};

/// The peers of an instance, by what it has to tell them.
struct BeaconTargets {
  /// Datagram addresses of peers in the own failure domain, and of those that
  /// were never heard of.
  std::vector<std::string> same_domain;
  /// Those in other domains.
  std::vector<std::string> other_domains;
  /// The leader, empty if none is known, and its backup leaders; they are among
  /// the others as well.
  std::string leader;
  std::vector<std::string> backup_leaders;
  /// Whether this instance leads or is a backup leader.
  bool is_coordinator = false;

  friend bool operator==(const BeaconTargets&, const BeaconTargets&) = default;
};

/// Decides which peers get a beacon in a round.
///
/// Load that it answers: if each of N instances told every other four times a
/// second, each would send and read 8 N messages a second, and a fleet of 86
/// small instances would spend its processors on talk. Here an instance sends
/// and reads about 50 a second whatever the size, the leader and its backup
/// leaders 2 N. Most stay in the failure domain, whose links are its own.
/// Thread safety: none; for one thread.
class BeaconSchedule {
 public:
  explicit BeaconSchedule(const BeaconScheduleSettings& chosen = {})
      : settings(chosen) {}

  Duration Period() const { return this->settings.period; }
  /// Returns how often a coordinator tells everyone.
  Duration CoordinatorPeriod() const {
    return this->settings.period *
           static_cast<std::int64_t>(this->settings.coordinator_every);
  }
  /// Returns whom to send to in this round.
  std::vector<std::string> Next(const BeaconTargets& audience);
  /// Returns whether the last round went to everyone.
  bool LastRoundWasBroadcast() const { return this->everyone; }
  /// Returns after how long without a beacon a peer is silent, where each has
  /// \p near others in its failure domain.
  Duration PeerTimeout(std::size_t near) const;

 private:
  BeaconScheduleSettings settings;
  std::size_t round = 0;
  bool everyone = false;
  std::size_t next_near = 0;
  std::size_t next_far = 0;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_ROTATION_H_
