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
#include "toucanwharf/gossip/confirmation_exchange.h"
#include "toucanwharf/gossip/fleet_loads.h"
#include "toucanwharf/gossip/key_range.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/datagram.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/endpoint_list_log.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/instance/snapshot_exchange.h"
#include "toucanwharf/instance/unresponsive_report.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {

/// Exchanges beacons with the other instances, and fetches newer snapshots from
/// them. Owned by Instance.
/// Thread safety: only on the loop's thread.
class PeerLink {
 public:
  using OnConfiguration = SnapshotExchange::OnConfiguration;
  using OnEndpoints = SnapshotExchange::OnEndpoints;

  /// Precondition: all references outlive the link.
  PeerLink(http::Loop& event_loop, http::Client& http_client,
           InstanceState& shared_state, eventlog::Logger& log,
           EndpointListLog& list_log, const InstanceSettings& initial_settings);

  /// Binds the datagram socket and starts sending.
  Result<void> Start(OnConfiguration on_configuration,
                     OnEndpoints on_endpoints);
  /// Adds an instance by its control address.
  void AddInstance(const std::string& control_address);
  /// Adds the registered instances by their control addresses.
  ///
  /// If no leader has named backup leaders, the strongest instances become
  /// them. After all processes of a large fleet have restarted, nobody would
  /// otherwise announce loads and confirmations until a leader is found, and
  /// each instance would read the store for itself.
  void AddRegistered(
      const std::vector<gossip::BackupLeaderCandidate>& registered);
  /// Sends beacons immediately, because something changed that peers act on.
  void Announce();
  /// Announces a change of the configuration or the list of endpoints. In a
  /// large fleet only the leader does so, whose beacons reach all: if each of
  /// 86 instances announced every change it learned to all others, a change
  /// would cost 7,300 messages.
  void AnnounceChange();
  /// In a large fleet, sends beacons immediately to the peers in this
  /// instance's failure domain.
  void AnnounceToDomain();
  /// Announces what every instance must act on at once, such as an unresponsive
  /// engine, a crash or a limit: to every peer in a small fleet, and in a large
  /// one to the leader, which forwards it to all.
  void AnnounceToAll();
  /// Sends a beacon to every instance, also of a large fleet. For a change that
  /// is rare and concerns all: whether this instance reaches endpoints.
  void AnnounceToFleet();
  /// Applies what peers have confirmed so far to a configuration that has just
  /// come into force, and asks for a confirmation if that is not enough.
  void ConfirmConfiguration();
  /// Requests a confirmation from some of the peers that can give one, if keys
  /// are refused here without it. To be called every 100 ms.
  void RequestConfirmations();
  /// Returns whether this instance tells its failure domain which instances it
  /// has heard of and what engines report, until there is a leader: it reads
  /// the store as it starts, and most of a large fleet has just started.
  ///
  /// Load: all callers come back to a fleet that restarts. Small instances hear
  /// of one another only in turn, and would direct them to the few that told
  /// everybody that they started; and engines are still full of answers that
  /// nobody waits for.
  bool AssistsRestart(TimePoint now) const;
  /// Calls \p task with each report of a peer that an endpoint is
  /// unresponsive.
  void OnUnresponsiveEndpoint(
      std::function<void(const UnresponsiveReport&)> task) {
    this->on_unresponsive = std::move(task);
  }
  /// Handles a peer's request on the control address. Returns false if it is
  /// not one.
  bool HandlePeer(const std::shared_ptr<http::Exchange>& exchange) {
    return this->snapshots.Handle(exchange);
  }
  /// Sets the engine statuses to send while this instance places layers.
  void SetEngineStatuses(std::vector<gossip::EngineStatus> known) {
    this->engine_statuses = std::move(known);
  }

 private:
  /// A peer's clock as of its last beacon.
  struct Stamp {
    std::string instance;
    std::int64_t value = 0;
  };

  /// Which parts a beacon contains.
  enum class Content {
    /// This instance's own state.
    kOwn,
    /// In addition, from the leader, the state of the fleet, which makes up
    /// most of the bytes.
    kFleet,
  };

  void SendTo(const std::vector<std::string>& addresses, Content content);
  /// Sends beacons to \p addresses from index \p begin on, in batches.
  ///
  /// Load: the leader sends more than a megabyte to 300 instances. In one burst
  /// it would be dropped by the leader's link or delay the answers on it.
  void SendInBatches(std::vector<std::string> addresses, std::size_t begin);
  void Tick();
  gossip::BeaconTargets MakeTargets(TimePoint now) const;
  gossip::Beacon MakeBeacon(TimePoint now);
  void AddFleetState(gossip::Beacon& beacon, TimePoint now) const;
  /// Returns the instances that callers may be directed to, including this one.
  std::vector<std::uint32_t> ReadyInstances(TimePoint now) const;
  /// Returns the backup leaders other than this instance and \p leader.
  std::vector<std::string> OtherBackupLeaders(const std::string& leader) const;
  bool NeedsIntroduction(const std::string& address, TimePoint now) const;
  /// Returns whether this instance advertises the state of the fleet: it is the
  /// leader, or a backup leader while there is no leader.
  bool ActsForFleet(TimePoint now) const;
  /// Returns whether this process and most of a large fleet have just started.
  bool IsInRestart(TimePoint now) const;
  /// Sets what is assumed of the peers' loads where nobody tells them.
  void EstimatePeerLoads(TimePoint now);
  /// Returns whether this instance has been leader or backup leader for long
  /// enough to have received a beacon from every live instance.
  bool HasContactedAll(TimePoint now) const;
  void ApplyFleetState(const gossip::Beacon& beacon, TimePoint now);
  void SetBackupLeaders(std::vector<std::string> addresses);
  std::string DatagramAddressOf(const std::string& control_address) const;
  /// Sums the loads that the peers report as in flight.
  void SumLoads(TimePoint now);
  /// Applies the peers' confirmations of the configuration and the list of
  /// endpoints.
  void ApplyConfirmations(TimePoint now);
  /// Tells the instances of the failure domain that list who is ready that this
  /// one is. Otherwise they take it for starting until its next turn, and leave
  /// it out of their lists after a second.
  void AnnounceReady(TimePoint now);
  /// Returns whether keys are refused here for want of a confirmation.
  bool NeedsConfirmation(TimePoint now) const;
  /// Requests a confirmation from instances that read the store as they start,
  /// of the same failure domain if there are any.
  void RequestFromReaders(
      const std::vector<gossip::BackupLeaderCandidate>& candidates,
      TimePoint now);
  /// Requests a confirmation from some of \p sources.
  void RequestFrom(const std::vector<gossip::ConfirmationSource>& sources,
                   TimePoint now);
  /// Answers the sender of \p beacon, which needs a confirmation, or requests
  /// one from it.
  void ExchangeConfirmation(const std::string& sender,
                            const gossip::Beacon& beacon, TimePoint now);
  /// Logs that a beacon of \p size bytes could not be sent, if \p error is set.
  void LogSendFailure(const std::error_code& error, std::size_t size,
                      TimePoint now);
  void OnDatagram(const std::string& sender, std::string_view payload);
  void ApplySuspicion(const gossip::Suspicion& suspicion,
                      const gossip::Beacon& beacon, TimePoint now);
  void ApplyProofs(const gossip::Beacon& beacon, TimePoint now);
  void ApplyRefusal(const std::string& endpoint, const std::string& peer,
                    TimePoint until, TimePoint now);
  /// Returns whether the sender of \p beacon is the leader or a backup leader.
  bool IsCoordinator(const gossip::Beacon& beacon) const;
  void ApplySuspects(const gossip::Beacon& beacon, TimePoint now);
  void ApplyLimits(const gossip::Beacon& beacon, TimePoint now);
  void ApplyBeacon(const gossip::Beacon& beacon, TimePoint now);
  void LogPeers(TimePoint now);

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  eventlog::Logger& logger;
  EndpointListLog& endpoint_log;
  InstanceSettings settings;
  TimePoint started;
  std::unique_ptr<http::DatagramSocket> socket;
  SnapshotExchange snapshots;
  std::function<void(const UnresponsiveReport&)> on_unresponsive;
  std::vector<gossip::EngineStatus> engine_statuses;
  gossip::BeaconSchedule schedule;
  gossip::ConfirmationExchange confirmation_exchange;
  /// The endpoints that this instance advertises in this round, if it is a
  /// coordinator.
  gossip::KeyRanges ranges;
  gossip::KeyRange covered_keys;
  /// What the leader has reported of the fleet's loads.
  gossip::FleetLoads fleet_loads;
  std::optional<TimePoint> fleet_loads_heard_at;
  TimePoint send_failure_logged{Duration(-1'000'000'000)};
  /// Newest stamp by datagram address.
  std::map<std::string, Stamp> stamps;
  std::set<std::string> previously_live;
  /// Since when this instance is leader or backup leader.
  std::optional<TimePoint> coordinator_since;
  /// Whether an announcement is scheduled.
  bool announcing = false;
  Random random;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_PEER_LINK_H_
