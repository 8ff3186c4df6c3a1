#ifndef TOUCANWHARF_INSTANCE_PEER_LINK_H_
#define TOUCANWHARF_INSTANCE_PEER_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/gossip/backup_leaders.h"
#include "toucanwharf/gossip/beacon_schedule.h"
#include "toucanwharf/gossip/fleet_loads.h"
#include "toucanwharf/gossip/key_range.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/datagram.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/endpoint_list_log.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/instance/snapshot_exchange.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {

/// Sends beacons to the other instances, takes theirs, and fetches from them
/// what they have newer.
/// Thread safety: only on the loop's thread.
class PeerLink {
 public:
  using OnConfiguration = SnapshotExchange::OnConfiguration;
  using OnEndpoints = SnapshotExchange::OnEndpoints;

  /// Precondition: all references outlive the link.
  PeerLink(http::Loop& event_loop, http::Client& http_client,
           InstanceState& shared_state, eventlog::Logger& log,
           EndpointListLog& list_log, const InstanceSettings& chosen);

  /// Binds the datagram socket and begins to send.
  Result<void> Start(OnConfiguration on_configuration,
                     OnEndpoints on_endpoints);
  /// Learns that an instance has its control address at \p address.
  void AddInstance(const std::string& control_address);
  /// Learns of the instances that have registered, by their control addresses.
  ///
  /// Where no leader has named backup leaders, the strongest of them are. All
  /// processes of a large fleet may have started anew; until a leader is found
  /// nobody would tell them of loads and proofs, and each would read the store
  /// for itself.
  void AddRegistered(
      const std::vector<gossip::BackupLeaderCandidate>& registered);
  /// Sends beacons at once, because something changed that others act on.
  void Announce();
  /// The same for a change of the configuration or the list of endpoints. In a
  /// large fleet only the leader does so, which all hear of: if each of 86 told
  /// all others of every change that it has just learned, a change would cost
  /// 7,300 messages.
  void AnnounceChange();
  /// Sends beacons at once to the peers of a large fleet in the own failure
  /// domain.
  void AnnounceToDomain();
  /// Tells of an engine that turned out to be silent: everyone in a small
  /// fleet, in a large one the leader, which tells everyone.
  void AnnounceSilentEngine();
  /// Calls \p task with each engine that a peer finds silent.
  void OnSilentEngine(std::function<void(const std::string&)> task) {
    this->engine_silent = std::move(task);
  }
  /// Answers a peer's request on the control address; false if it is none.
  bool HandlePeer(const std::shared_ptr<http::Exchange>& exchange) {
    return this->copies.Handle(exchange);
  }
  /// Sets the facts to send along while this instance places layers.
  void SetFacts(std::vector<gossip::EngineStatus> known) {
    this->facts = std::move(known);
  }

 private:
  /// A peer's clock, as it last told.
  struct Stamp {
    std::string instance;
    std::int64_t at = 0;
  };

  /// How much a beacon tells.
  enum class Content {
    /// What this instance knows of itself.
    kOwn,
    /// Beside it, from the leader, what it knows of the fleet: most of the
    /// bytes.
    kFleet,
  };

  void SendTo(const std::vector<std::string>& addresses, Content content);
  /// Tells those of \p addresses from \p begin on, a few at a time.
  ///
  /// Load that it answers: what the leader tells 300 instances is over a
  /// megabyte, and a burst of it is dropped by the leader's link or holds up
  /// the answers on it.
  void Tell(std::vector<std::string> addresses, std::size_t begin);
  void Tick();
  gossip::BeaconTargets MakeAudience(TimePoint now) const;
  gossip::Beacon MakeBeacon(TimePoint now) const;
  void AddFleet(gossip::Beacon& beacon, TimePoint now) const;
  /// Returns the instances that callers may be sent to, this one included.
  std::vector<std::uint32_t> ReadyInstances(TimePoint now) const;
  /// Returns the backup leaders that are neither this instance nor \p leader.
  std::vector<std::string> OtherBackupLeaders(const std::string& leader) const;
  bool MayKnowNobody(const std::string& address, TimePoint now) const;
  /// Returns whether this instance tells the others of the fleet: it leads, or
  /// it is a backup leader and there is no leader.
  bool SpeaksForFleet(TimePoint now) const;
  /// Returns whether this instance has led, or been a backup leader, for long
  /// enough to have heard of all that live.
  bool HearsAll(TimePoint now) const;
  void AdoptFleet(const gossip::Beacon& beacon, TimePoint now);
  void SetBackupLeaders(std::vector<std::string> addresses);
  std::string DatagramAddressOf(const std::string& control_address) const;
  /// Adds up what the peers have under way.
  void SumLoads(TimePoint now);
  /// Takes what peers prove of the configuration and the list of endpoints.
  void AdoptProofs(TimePoint now);
  /// Logs that a beacon of \p size bytes could not be sent, if \p error says
  /// so.
  void NoteSend(const std::error_code& error, std::size_t size, TimePoint now);
  void OnDatagram(const std::string& sender, std::string_view payload);
  void AdoptSuspicion(const gossip::Suspicion& one, TimePoint now);
  void AdoptFrom(const gossip::Beacon& beacon, TimePoint now);
  void LogPeers(TimePoint now);

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  eventlog::Logger& logger;
  EndpointListLog& lists;
  InstanceSettings settings;
  TimePoint started;
  std::unique_ptr<http::DatagramSocket> socket;
  SnapshotExchange copies;
  std::function<void(const std::string&)> engine_silent;
  std::vector<gossip::EngineStatus> facts;
  gossip::BeaconSchedule rotation;
  /// The endpoints that this instance, if it is a coordinator, tells of now.
  gossip::KeyRanges ranges;
  gossip::KeyRange about;
  /// What the leader has told of them.
  gossip::FleetLoads fleet_loads;
  TimePoint send_failure_logged{Duration(-1'000'000'000)};
  /// Newest stamp by datagram address.
  std::map<std::string, Stamp> stamps;
  std::set<std::string> live_before;
  /// Since when this instance leads or is a backup leader.
  std::optional<TimePoint> coordinator_since;
  /// Whether an announcement waits for its turn.
  bool announcing = false;
  Random random;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_PEER_LINK_H_
