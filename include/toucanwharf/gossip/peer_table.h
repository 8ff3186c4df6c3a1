#ifndef TOUCANWHARF_GOSSIP_PEER_TABLE_H_
#define TOUCANWHARF_GOSSIP_PEER_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/gossip/beacon.h"
#include "toucanwharf/limits/rate_share.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::gossip {

/// Timeouts of the peer table.
struct PeerSettings {
  /// Without a beacon for this long a peer counts as unresponsive and isn't
  /// named to callers. Longer in a large fleet, where peers send less often;
  /// see BeaconSchedule.
  Duration peer_timeout = std::chrono::milliseconds(1500);
  /// The leader sends to all twice a second; three of its messages may be lost.
  Duration leader_timeout = std::chrono::milliseconds(1500);
  /// Beacons still go to an unresponsive peer for this long, in case the
  /// network between the two recovers.
  Duration removal_timeout = std::chrono::seconds(60);
};

/// A peer with its last beacon.
struct Peer {
  Beacon beacon;
  TimePoint last_beacon_at;

  friend bool operator==(const Peer&, const Peer&) = default;
};

/// The known state of the other instances. Thread safety: none; for one thread.
class PeerTable {
 public:
  explicit PeerTable(std::string instance, const PeerSettings& chosen = {})
      : local_instance(std::move(instance)), settings(chosen) {}

  /// Adds \p address as one where an instance may receive datagrams.
  void AddAddress(const std::string& address, TimePoint now);
  /// Records that another instance reported the one at \p address as alive.
  void RecordLiveness(const std::string& address, TimePoint now);
  /// Applies a beacon from the datagram address \p sender. Returns false for
  /// this instance's own and for one older than the last.
  bool OnBeacon(const std::string& sender, const Beacon& beacon, TimePoint now);

  /// Sets after how long without a beacon a peer counts as unresponsive.
  void SetPeerTimeout(Duration timeout) {
    this->settings.peer_timeout = timeout;
  }
  /// Returns the address of the peer that leads, empty if no leader sent a
  /// beacon within the shorter leader timeout.
  std::string Leader(TimePoint now) const;

  /// Returns how many live peers precede an instance of \p share of a core at
  /// \p callers_address in an election: those with a larger share, and of
  /// equals those with the lesser address.
  std::size_t CandidatesAhead(double share, const std::string& callers_address,
                              TimePoint now) const;

  /// Returns the age of the newest confirmation of the configuration at the
  /// leader and \p backup_leaders, or nothing if none of them is alive.
  std::optional<Duration> CoordinatorConfirmationAge(
      const std::vector<std::string>& backup_leaders, TimePoint now) const;

  /// Returns the addresses to send beacons to.
  std::vector<std::string> Addresses(TimePoint now) const;
  /// Returns the addresses of peers in the failure domain \p domain, and of
  /// peers that were never contacted and may be in it.
  std::vector<std::string> AddressesInDomain(const std::string& domain,
                                             TimePoint now) const;
  /// Returns the addresses of peers in failure domains other than \p domain.
  std::vector<std::string> AddressesInOtherDomains(const std::string& domain,
                                                   TimePoint now) const;
  /// Returns the peer at \p address if it is alive, or null.
  const Peer* Live(const std::string& address, TimePoint now) const;
  /// Returns whether the instance at \p address ever sent a beacon.
  bool EverContacted(const std::string& address) const {
    const auto found = this->entries.find(address);
    return found != this->entries.end() && found->second.peer.has_value();
  }
  /// Returns whether a beacon of the process \p instance was the last one from
  /// its address.
  bool KnowsInstance(const std::string& instance) const;
  /// Returns all live peers.
  std::vector<const Peer*> AllLive(TimePoint now) const;
  /// Returns whether there are so many peers that each sends a beacon only in
  /// turn (see BeaconSchedule), so that their loads are known late. An instance
  /// that is cut off from a large fleet still belongs to it.
  bool IsLargeFleet(TimePoint now) const;
  /// Returns the number of instances that run or recently ran, this one
  /// included. Instances of which only the address is known count as well: a
  /// process that has just started has no beacons yet, and must not assume a
  /// small fleet.
  std::size_t InstanceCount(TimePoint now) const;
  /// Returns how many of them, this one included, may have started less than
  /// \p lately ago: all except live peers that report a longer uptime.
  std::size_t StartedWithin(Duration lately, TimePoint now) const;

  /// Returns the instances that may send to endpoints of \p service, except
  /// this one: those that run or recently ran, without those that have
  /// announced their stop. The demand of one that was never contacted, or whose
  /// last beacon may be old, is \p assumed.
  std::vector<limits::Sharer> Sharers(std::uint32_t service, double assumed,
                                      TimePoint now) const;

  /// Returns the moment of the local clock at which peers confirm that the
  /// configuration \p known was current, or nothing. A peer's age is
  /// subtracted from the moment at which the echoed beacon was sent, which was
  /// before the peer made its own: network delay makes the confirmation older,
  /// never younger. A peer that had seen an older one at that moment confirms
  /// as well, since anything newer came later.
  std::optional<TimePoint> ConfigurationConfirmedAt(
      const ConfigurationId& known, TimePoint now) const;
  /// The same for the list of endpoints.
  std::optional<TimePoint> EndpointsConfirmedAt(const store::Revision& revision,
                                                TimePoint now) const;
  /// Returns the newest moment of the local clock at which the store is known
  /// to have answered a peer's read of the list of endpoints, whichever list
  /// that was, or nothing.
  std::optional<TimePoint> StoreAnsweredAt(TimePoint now) const;

 private:
  struct Entry {
    std::optional<Peer> peer;
    TimePoint last_alive_at;
  };

  /// Returns whether \p entry is in \p domain, or may be.
  static bool MayBeIn(const Entry& entry, const std::string& domain) {
    return !entry.peer || entry.peer->beacon.failure_domain == domain;
  }
  /// Returns the addresses of the entries that match \p chosen.
  template <typename Predicate>
  std::vector<std::string> AddressesOf(TimePoint now, Predicate chosen) const {
    std::vector<std::string> addresses;
    for (const auto& [address, entry] : this->entries) {
      if (now - entry.last_alive_at > this->settings.removal_timeout) continue;
      if (chosen(entry)) addresses.push_back(address);
    }
    return addresses;
  }
  /// Returns whether \p entry counts as an instance.
  bool IsCounted(const Entry& entry, TimePoint now) const {
    return now - entry.last_alive_at < this->settings.removal_timeout;
  }

  std::string local_instance;
  PeerSettings settings;
  std::map<std::string, Entry> entries;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_PEER_TABLE_H_
