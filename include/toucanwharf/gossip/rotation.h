#ifndef TOUCANWHARF_GOSSIP_ROTATION_H_
#define TOUCANWHARF_GOSSIP_ROTATION_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// How often whom, with the reason of each figure.
struct RotationSettings {
  /// Between two rounds. Four a second keep what peers know of loads and of
  /// the configuration's age within the time of an answer's first event.
  Duration period = std::chrono::milliseconds(250);
  /// Up to so many peers each gets a beacon in every round: 64 messages a
  /// second, about 1% of a quarter of a core.
  std::size_t everyone_up_to = 16;
  /// In a larger fleet this many others get one in each round, by turns.
  std::size_t at_once = 8;
  /// The leader tells everyone in every second round: what it says of the
  /// configuration's age and of all loads is what the others go by.
  std::size_t leader_every = 2;
  /// A peer counts as silent after its turn was missed so many times.
  double turns_missed = 2.5;
  /// But not sooner than this: five beacons may be lost.
  Duration least_silence = std::chrono::milliseconds(1500);

  friend bool operator==(const RotationSettings&,
                         const RotationSettings&) = default;
};

/// Decides which peers get a beacon in a round.
///
/// Load that it answers: if each of N instances told every other four times a
/// second, each would send and read 8 N messages a second, and a fleet of 86
/// small instances would spend its processors on talk. Here an instance sends
/// and reads about 40 a second whatever the size, the leader 2 N.
/// Thread safety: none; for one thread.
class Rotation {
 public:
  explicit Rotation(const RotationSettings& chosen = {}) : settings(chosen) {}

  Duration Period() const { return this->settings.period; }
  /// Returns whom to send to in this round. \p leader is the leader's address,
  /// empty if none is known; \p leads says that it is this instance.
  std::vector<std::string> Next(const std::vector<std::string>& addresses,
                                const std::string& leader, bool leads);
  /// Returns after how long without a beacon a peer is silent, in a fleet of
  /// \p peers others.
  Duration SilentAfter(std::size_t peers) const;

 private:
  RotationSettings settings;
  std::size_t round = 0;
  std::size_t position = 0;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_ROTATION_H_
