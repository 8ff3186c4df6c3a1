#ifndef TOUCANWHARF_GOSSIP_PEER_TABLE_H_
#define TOUCANWHARF_GOSSIP_PEER_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/gossip/beacon.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Times of the gossip, with the reason of each.
struct PeerSettings {
  /// Without a beacon for so long a peer counts as gone: it is not named to
  /// callers. In a large fleet its turn comes less often; see BeaconSchedule.
  Duration silent_after = std::chrono::milliseconds(1500);
  /// The leader tells everyone twice a second; three of its messages may be
  /// lost.
  Duration leader_silent_after = std::chrono::milliseconds(1500);
  /// Beacons still go to a silent peer for so long, in case the way between
  /// the two comes back.
  Duration forgotten_after = std::chrono::seconds(60);
};

/// A peer as it last described itself.
struct Peer {
  Beacon beacon;
  TimePoint last_beacon_at;

  friend bool operator==(const Peer&, const Peer&) = default;
};

/// What this instance knows of the others.
/// Thread safety: none; for one thread.
class PeerTable {
 public:
  explicit PeerTable(std::string own_instance, const PeerSettings& chosen = {})
      : own(std::move(own_instance)), settings(chosen) {}

  /// Learns that an instance may listen for datagrams at \p address.
  void AddAddress(const std::string& address, TimePoint now);
  /// Notes that the instance at \p address lives, by the word of another.
  void RecordLiveness(const std::string& address, TimePoint now);
  /// Takes a beacon from the datagram address \p sender. Returns false for
  /// one's own and for one older than what is known.
  bool OnBeacon(const std::string& sender, const Beacon& beacon, TimePoint now);

  /// Sets after how long without a beacon a peer is silent.
  void SetPeerTimeout(Duration length) { this->settings.silent_after = length; }
  /// Returns the address of the peer that leads, empty for none that was heard
  /// of within the leader's own, shorter time.
  std::string Leader(TimePoint now) const;

  /// Returns how many live peers go before an instance of \p share of a core at
  /// \p callers_address when a leader is wanted: the stronger ones, and of
  /// equals those with the lesser address.
  std::size_t CandidatesAhead(double share, const std::string& callers_address,
                              TimePoint now) const;

  /// Returns the age of the newest proof of the configuration that the leader
  /// and \p backup_leaders say they have, or nothing if none of them is heard
  /// of.
  std::optional<Duration> CoordinatorConfirmationAge(
      const std::vector<std::string>& backup_leaders, TimePoint now) const;

  /// Returns the addresses to send to.
  std::vector<std::string> Addresses(TimePoint now) const;
  /// Returns those of peers in the failure domain \p domain, and of peers that
  /// were never heard of, which may be in it.
  std::vector<std::string> AddressesInDomain(const std::string& domain,
                                             TimePoint now) const;
  /// Returns the others.
  std::vector<std::string> AddressesInOtherDomains(const std::string& domain,
                                                   TimePoint now) const;
  /// Returns the peer at \p address if it was heard of lately, or null.
  const Peer* Live(const std::string& address, TimePoint now) const;
  /// Returns whether the instance at \p address was ever heard of.
  bool EverContacted(const std::string& address) const {
    const auto found = this->entries.find(address);
    return found != this->entries.end() && found->second.peer.has_value();
  }
  /// Returns all peers heard of lately.
  std::vector<const Peer*> AllLive(TimePoint now) const;
  /// Returns whether there are so many peers that each is heard of only by
  /// turns (see BeaconSchedule), so that what is known of their loads is old.
  /// An instance that is cut off from them is still one of a large fleet.
  bool IsLargeFleet(TimePoint now) const;
  /// Returns how many instances there are or lately were, this one included.
  /// One of which only the address is known counts as well: a process that has
  /// just started has heard of nobody, and must not take itself for a small
  /// fleet.
  std::size_t InstanceCount(TimePoint now) const;
  /// Returns how many of them, this one included, may have started less than
  /// \p lately ago: all but the live ones that say otherwise.
  std::size_t StartedWithin(Duration lately, TimePoint now) const;

  /// Returns the moment of the own clock at which the configuration of
  /// \p revision is proved current by the peers' words, or nothing. A peer's
  /// age is counted back from the moment at which the beacon that it answers
  /// was sent, since its own was made later: time under way makes the proof
  /// older, never younger. A peer that at that moment saw an older revision
  /// proves as much: what is newer came later.
  std::optional<TimePoint> ConfigurationConfirmedAt(std::uint64_t revision,
                                                    TimePoint now) const;
  /// The same for the list of endpoints.
  std::optional<TimePoint> EndpointsConfirmedAt(std::uint64_t revision,
                                                TimePoint now) const;
  /// Returns the newest moment of the own clock at which the store is known to
  /// have answered a peer's question for the list of endpoints, whatever list
  /// that was, or nothing.
  std::optional<TimePoint> StoreAnsweredAt(TimePoint now) const;

 private:
  struct Entry {
    std::optional<Peer> peer;
    TimePoint last_sign;
  };

  /// Returns whether \p entry is in \p domain, or may be.
  static bool MayBeIn(const Entry& entry, const std::string& domain) {
    return !entry.peer || entry.peer->beacon.failure_domain == domain;
  }
  /// Returns the addresses of entries that \p chosen holds for.
  template <typename Predicate>
  std::vector<std::string> AddressesOf(TimePoint now, Predicate chosen) const {
    std::vector<std::string> addresses;
    for (const auto& [address, entry] : this->entries) {
      if (now - entry.last_sign > this->settings.forgotten_after) continue;
      if (chosen(entry)) addresses.push_back(address);
    }
    return addresses;
  }
  /// Returns whether \p entry counts as an instance.
  bool Counts(const Entry& entry, TimePoint now) const {
    return now - entry.last_sign < this->settings.forgotten_after;
  }

  std::string own;
  PeerSettings settings;
  std::map<std::string, Entry> entries;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_PEER_TABLE_H_
