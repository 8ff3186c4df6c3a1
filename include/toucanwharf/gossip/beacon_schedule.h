#ifndef TOUCANWHARF_GOSSIP_BEACON_SCHEDULE_H_
#define TOUCANWHARF_GOSSIP_BEACON_SCHEDULE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Intervals and numbers of receivers of the beacons.
struct BeaconScheduleSettings {
  /// Time between two rounds. Four rounds a second keep the peers' view of
  /// loads and of the configuration's age no older than the time to an answer's
  /// first event.
  Duration period = std::chrono::milliseconds(250);
  /// With up to this many peers each gets a beacon in every round: 64 messages
  /// a second, about 1% of a quarter of a core.
  std::size_t max_broadcast_peers = 16;
  /// In a larger fleet, this many peers of the same failure domain get a beacon
  /// in each round, in turn.
  std::size_t same_domain_per_round = 8;
  /// A coordinator sends to all peers once in this many rounds. The other
  /// instances depend on its report of the configuration's age and of all
  /// loads.
  std::size_t coordinator_every = 2;
  /// The backup leaders get a beacon once in this many rounds. Only the
  /// leader's sums have to be as new as possible.
  std::size_t backup_leader_every = 2;
  /// One peer of another failure domain gets a beacon once in this many rounds.
  std::size_t other_domain_every = 4;
  /// A peer counts as unresponsive once its turn was missed this many times.
  double max_missed_turns = 2.5;
  /// Lower bound of the peer timeout: five beacons may be lost.
  Duration min_peer_timeout = std::chrono::milliseconds(1500);

  friend bool operator==(const BeaconScheduleSettings&,
                         const BeaconScheduleSettings&) = default;
};

/// The peers that an instance may send beacons to, by group.
struct BeaconTargets {
  /// Datagram addresses of peers in the same failure domain, and of peers that
  /// were never contacted.
  std::vector<std::string> same_domain;
  /// Datagram addresses of peers in other failure domains.
  std::vector<std::string> other_domains;
  /// The leader, empty if none is known, and its backup leaders. They are also
  /// in the groups above.
  std::string leader;
  std::vector<std::string> backup_leaders;
  /// Whether this instance is the leader or a backup leader.
  bool is_coordinator = false;
  /// Whether every peer in the same failure domain gets a beacon in this round.
  bool informs_domain = false;

  friend bool operator==(const BeaconTargets&, const BeaconTargets&) = default;
};

/// Decides which peers get a beacon in a round.
///
/// Load: if each of N instances sent four beacons a second to every other, each
/// would send and receive 8 N messages a second, and a fleet of 86 small
/// instances would spend its processor time on gossip. With this schedule an
/// instance sends and receives about 50 a second whatever the size of the
/// fleet, the leader and its backup leaders 2 N. Most messages stay in the
/// failure domain, which has links of its own.
/// Thread safety: none; for one thread.
class BeaconSchedule {
 public:
  /// Begins with the peer at the place \p first_turn of each group, modulo its
  /// size. It has to differ between instances.
  ///
  /// Failure guarded against: all instances of a fleet restart together and
  /// begin with the same peers. The others hear of nobody for a second or more,
  /// take the fleet to be as loaded as themselves, and refuse callers.
  explicit BeaconSchedule(const BeaconScheduleSettings& chosen = {},
                          std::size_t first_turn = 0)
      : settings(chosen),
        next_same_domain(first_turn),
        next_other_domain(first_turn) {}

  Duration Period() const { return this->settings.period; }
  /// Returns the time between two broadcasts of a coordinator.
  Duration CoordinatorPeriod() const {
    return this->settings.period *
           static_cast<std::int64_t>(this->settings.coordinator_every);
  }
  /// Returns the receivers of this round.
  std::vector<std::string> Next(const BeaconTargets& targets);
  /// Returns whether the last round went to all peers.
  bool LastRoundWasBroadcast() const { return this->last_round_was_broadcast; }
  /// Returns after how long without a beacon a peer counts as unresponsive,
  /// where each instance has \p domain_peers peers in its failure domain.
  Duration PeerTimeout(std::size_t domain_peers) const;

 private:
  std::vector<std::string> NextInTurn(const BeaconTargets& targets);

  BeaconScheduleSettings settings;
  std::size_t round = 0;
  bool last_round_was_broadcast = false;
  std::size_t next_same_domain;
  std::size_t next_other_domain;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_BEACON_SCHEDULE_H_
