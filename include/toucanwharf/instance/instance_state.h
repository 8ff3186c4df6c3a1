#ifndef TOUCANWHARF_INSTANCE_INSTANCE_STATE_H_
#define TOUCANWHARF_INSTANCE_INSTANCE_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/endpoints/life_proofs.h"
#include "toucanwharf/endpoints/load_tracker.h"
#include "toucanwharf/endpoints/reachability.h"
#include "toucanwharf/gossip/entry_advice.h"
#include "toucanwharf/gossip/forward_choice.h"
#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/gossip/ready_instance_list.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/limits/demand_meter.h"
#include "toucanwharf/limits/pacer.h"
#include "toucanwharf/limits/requested_pauses.h"
#include "toucanwharf/limits/stated_limits.h"
#include "toucanwharf/quarantine/quarantine.h"
#include "toucanwharf/routes/freshness.h"
#include "toucanwharf/routes/route_table.h"
#include "toucanwharf/store/epoch_clock.h"

namespace toucanwharf::instance {

/// State of one process that all its parts share: configuration, endpoints,
/// loads and peers. Owned by Instance.
/// Thread safety: none; for the loop's thread.
struct InstanceState {
  explicit InstanceState(const InstanceSettings& settings,
                         std::string instance_id);

  /// Id of this process; differs after each start.
  std::string instance;
  /// The configuration in force, or null before the first one.
  std::shared_ptr<const routes::RouteTable> route_table;
  /// Which one that is, and its text.
  gossip::ConfigurationId configuration;
  std::string configuration_text;
  routes::Freshness freshness;
  endpoints::EndpointTable endpoints;
  endpoints::LoadTracker loads;
  endpoints::Reachability paths;
  endpoints::LifeProofs proofs;
  gossip::PeerTable peers;
  gossip::ReadyInstanceList ready_list;
  quarantine::Quarantine quarantine;
  limits::StatedLimits limits;
  /// What this instance may send to the endpoints that state a limit.
  limits::Pacer pacer;
  /// What endpoints have asked this instance for.
  limits::RequestedPauses pauses;
  limits::DemandMeter demand;
  /// The demand as last told to the other instances, who divide limits by it.
  std::vector<limits::ServiceDemand> told_demands;
  /// Datagram addresses of the backup leaders of a large fleet, as last
  /// announced by the leader, or chosen among the registered instances before
  /// that; and whether this instance is one of them.
  std::vector<std::string> backup_leaders;
  bool is_backup_leader = false;
  /// When this process was told to stop.
  std::optional<TimePoint> stopping_since;
  /// Whether this instance holds the placement lease.
  bool leads = false;
  /// Answers per second that the layouts serve, and that the best ones known
  /// for the same engines would; 0 unless this instance leads.
  double layout_rate = 0;
  double best_layout_rate = 0;
  store::EpochClock epochs;
  /// Number of the store's answers that were older than what was known.
  std::uint64_t older_store_answers = 0;
  /// While a whole fleet restarts and nobody tells its loads yet: how many
  /// peers send answers that aren't heard of, each about as many as this
  /// instance, whatever engines these chose. 0 at all other times.
  double unheard_peers = 0;
  /// Whether the list of instances has been read from the store.
  bool instances_known = false;
  /// Whether the stored requests in quarantine have been read.
  bool quarantine_known = false;

  /// Records the epoch in an answer of the store.
  void OnStoreEpoch(std::uint64_t epoch, TimePoint now);
  /// Records what a peer reports of the store's epoch.
  void OnPeerEpoch(const gossip::Beacon& beacon, TimePoint now);
  /// Returns whether requests can be admitted or refused: the configuration and
  /// the list of endpoints are known, and keys may be accepted.
  bool CanAdmitRequests(TimePoint now) const;
  /// Returns whether callers may be directed to this instance.
  bool Ready(TimePoint now) const;
  /// Returns the instances, other than this one, where callers may connect.
  /// Ports are the same on all instances; \p callers and \p datagrams are this
  /// instance's addresses.
  std::vector<gossip::AdvisedInstance> AdvisedPeers(
      TimePoint now, const std::string& callers,
      const std::string& datagrams) const;
  /// Returns whether callers should soon ask anew where to connect, because
  /// most known instances have started lately and more will be ready soon.
  bool AdviceExpiresSoon(TimePoint now) const;
  /// Returns the peers that requests can be forwarded to: those that were heard
  /// of lately and reach endpoints. One with an older configuration refuses.
  std::vector<gossip::ForwardCandidate> ForwardCandidates(TimePoint now) const;
  /// Returns whether no endpoint can be reached from here, but from another
  /// instance.
  bool OnlyOthersReachEndpoints(TimePoint now) const;
  /// Returns whether \p endpoint gets no new work, by any finding.
  bool IsAvoided(const std::string& endpoint, TimePoint now) const {
    const bool may_have_ended = this->paths.IsUnreachable(endpoint, now) &&
                                !this->proofs.IsProven(endpoint, now);
    return this->loads.IsSuspected(endpoint, now) || may_have_ended;
  }
  /// Returns whether \p endpoint is alive and only the path from here is cut:
  /// other endpoints and instances can still use it.
  bool IsBehindCut(const std::string& endpoint, TimePoint now) const {
    return this->paths.IsUnreachable(endpoint, now) &&
           this->proofs.IsProven(endpoint, now);
  }
  /// Returns how much longer \p endpoint is to be sent nothing, because it
  /// asked for that.
  Duration RequestedPause(const endpoints::Endpoint& endpoint,
                          TimePoint now) const {
    if (this->pauses.Empty()) return Duration(0);
    return this->pauses.Wait(endpoints::EndpointKey(endpoint), now);
  }
  /// Returns whether \p endpoint has said in an answer that it leaves.
  ///
  /// Failure guarded against: the store's list says so later than the endpoint
  /// itself, or never, and requests go there until it ends (I5).
  bool IsLeaving(const endpoints::Endpoint& endpoint) const {
    return !this->pauses.Empty() &&
           this->pauses.IsLeaving(endpoints::EndpointKey(endpoint));
  }
  /// Forgets what endpoints asked that are no longer listed.
  void ForgetGoneEndpoints(TimePoint now);
  /// Returns the keys of the endpoints that this instance proves to be alive.
  std::vector<std::uint32_t> ProvenAlive(TimePoint now);
  /// Returns what this instance found of endpoints and others should act on.
  ///
  /// Failure guarded against: an instance whose own links are cut finds all
  /// endpoints dead, and the others, who believe it, avoid sound ones. While no
  /// endpoint has answered since the last failure, nothing is reported.
  std::vector<gossip::Suspicion> Suspicions(TimePoint now) const;
  /// Returns whether keys may be accepted.
  bool MayAcceptKeys(TimePoint now) const;

  /// Divides the limits in force among the instances, of which this one has the
  /// datagram address \p own_address.
  void ShareLimits(const std::string& own_address, TimePoint now);

  bool strict_revocation;
  /// See Mechanisms::withdrawal.
  bool withdraws_when_isolated;
  /// See Mechanisms::early_advice.
  bool advises_starting_peers;
  std::string failure_domain;
};

/// Returns the number that stands for \p service in messages between instances.
/// Thread safety: safe.
std::uint32_t ServiceKey(const std::string& service);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_INSTANCE_STATE_H_
