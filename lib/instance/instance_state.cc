#include "toucanwharf/instance/instance_state.h"

#include <set>
#include <utility>

#include "toucanwharf/gossip/fleet_start.h"
#include "toucanwharf/limits/rate_share.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {
namespace {

/// Subtracted from the revocation bound. The check and the send happen in one
/// step of the loop, and the clock rates of a fleet differ by less than a
/// thousandth.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(100);
/// Endpoints register again within two seconds of the store's return.
constexpr Duration kOutageGrace = std::chrono::milliseconds(2000);
/// An entry expires after three missed heartbeats; an endpoint may have missed
/// one of them on its own.
constexpr int kMissedHeartbeatsInOutage = 2;

/// A peer in a large fleet, which sends seldom, counts as unresponsive only
/// after many seconds; callers are directed to it only for this long after its
/// last beacon.
constexpr Duration kAdvisedAfterBeacon = std::chrono::milliseconds(3000);

/// Lifetime of a report that an endpoint can't be reached; it is repeated in
/// each beacon.
constexpr Duration kUnreachableReportLifetime = std::chrono::milliseconds(1000);

}  // namespace

InstanceState::InstanceState(const InstanceSettings& settings,
                             std::string instance_id)
    : instance(std::move(instance_id)),
      freshness(settings.bounds.revocation, kRevocationMargin),
      endpoints(kOutageGrace,
                kMissedHeartbeatsInOutage * settings.endpoint_heartbeat),
      peers(this->instance),
      strict_revocation(settings.bounds.strict_revocation),
      withdraws_when_isolated(settings.mechanisms.withdrawal),
      advises_starting_peers(settings.mechanisms.early_advice),
      failure_domain(settings.failure_domain) {}

void InstanceState::OnStoreEpoch(std::uint64_t epoch, TimePoint now) {
  if (!this->epochs.OnAnswer(epoch, now)) return;
  this->endpoints.OnStoreReturned(this->epochs.FirstSeenAt());
}

void InstanceState::OnPeerEpoch(const gossip::Beacon& beacon, TimePoint now) {
  const bool returned =
      this->epochs.OnPeer(beacon.store_epoch, beacon.store_epoch_age, now);
  if (!returned) return;
  this->endpoints.OnStoreReturned(this->epochs.FirstSeenAt());
}

bool InstanceState::MayAcceptKeys(TimePoint now) const {
  return !this->strict_revocation || this->freshness.Holds(now);
}

bool InstanceState::CanAdmitRequests(TimePoint now) const {
  return this->route_table && this->endpoints.Revision().IsSet() &&
         this->MayAcceptKeys(now);
}

std::vector<gossip::AdvisedInstance> InstanceState::AdvisedPeers(
    TimePoint now, const std::string& callers,
    const std::string& datagrams) const {
  std::vector<gossip::AdvisedInstance> advised;
  const bool with_starting =
      this->advises_starting_peers && this->peers.IsLargeFleet(now);
  if (this->leads || !this->ready_list.IsCurrent(now)) {
    for (const gossip::Peer* peer : this->peers.AllLive(now)) {
      const gossip::Beacon& beacon = peer->beacon;
      const bool recent = now - peer->last_beacon_at <= kAdvisedAfterBeacon;
      const bool serves =
          beacon.ready || (with_starting && gossip::IsStarting(*peer, now));
      if (!recent || !serves) continue;
      advised.push_back({beacon.callers_address, beacon.processor_share});
    }
    return advised;
  }
  const auto own_number = gossip::IpNumber(callers);
  for (const std::uint32_t number : this->ready_list.Ready()) {
    if (number == own_number) continue;
    const gossip::Peer* peer = this->peers.Live(
        gossip::AddressOf(number, gossip::PortOf(datagrams)), now);
    // The leader's last list still contains a peer that has just announced its
    // stop.
    const bool reports_not_ready =
        peer != nullptr && !peer->beacon.ready &&
        !(with_starting && gossip::IsStarting(*peer, now)) &&
        now - peer->last_beacon_at <= gossip::ReadyInstanceList::kMaxAge;
    if (reports_not_ready) continue;
    advised.push_back({gossip::AddressOf(number, gossip::PortOf(callers)),
                       peer == nullptr ? 0 : peer->beacon.processor_share});
  }
  return advised;
}

bool InstanceState::AdviceExpiresSoon(TimePoint now) const {
  return this->advises_starting_peers && this->peers.IsLargeFleet(now) &&
         gossip::MostAreStarting(this->peers.AllLive(now), now);
}

std::vector<gossip::ForwardCandidate> InstanceState::ForwardCandidates(
    TimePoint now) const {
  std::vector<gossip::ForwardCandidate> candidates;
  for (const gossip::Peer* peer : this->peers.AllLive(now)) {
    const gossip::Beacon& beacon = peer->beacon;
    const bool serves = beacon.reaches_endpoints.value_or(false) &&
                        !beacon.stopping &&
                        now - peer->last_beacon_at <= kAdvisedAfterBeacon;
    if (!serves) continue;
    gossip::ForwardCandidate candidate;
    candidate.control_address = beacon.control_address;
    candidate.same_domain = beacon.failure_domain == this->failure_domain;
    candidate.processor_share = beacon.processor_share;
    for (const gossip::EndpointLoad& load : beacon.loads) {
      candidate.answers += load.first_stage_answers;
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool InstanceState::OnlyOthersReachEndpoints(TimePoint now) const {
  return this->paths.IsIsolated() && !this->ForwardCandidates(now).empty();
}

void InstanceState::ForgetGoneEndpoints(TimePoint now) {
  if (this->pauses.Empty()) return;
  std::set<std::uint32_t> known;
  for (const auto& [id, endpoint] : this->endpoints.All()) {
    known.insert(endpoints::EndpointKey(endpoint));
  }
  this->pauses.RetainOnly(known, now);
}

std::vector<std::uint32_t> InstanceState::ProvenAlive(TimePoint now) {
  std::vector<std::uint32_t> keys;
  for (const std::string& id : this->proofs.Disputed(now)) {
    const endpoints::Endpoint* endpoint = this->endpoints.Find(id);
    if (endpoint == nullptr) continue;
    keys.push_back(endpoints::EndpointKey(*endpoint));
  }
  return keys;
}

std::vector<gossip::Suspicion> InstanceState::Suspicions(TimePoint now) const {
  if (this->paths.InDoubt()) return {};
  auto suspicions = this->loads.Suspicions(now, this->leads);
  for (const std::string& id : this->paths.Unreachable(now)) {
    if (this->loads.IsUnresponsive(id, now)) continue;
    suspicions.push_back({id, kUnreachableReportLifetime, true});
  }
  return suspicions;
}

std::uint32_t ServiceKey(const std::string& service) {
  return static_cast<std::uint32_t>(HashText(service));
}

void InstanceState::ShareLimits(const std::string& own_address, TimePoint now) {
  if (this->limits.Empty() && this->pacer.Empty()) return;
  std::set<std::uint32_t> limited;
  const std::uint64_t self = HashText(own_address);
  for (const limits::LimitReport& report : this->limits.Reports(now, true)) {
    const auto limit = this->limits.Find(report.endpoint, now);
    const endpoints::Endpoint* endpoint =
        this->endpoints.FindByKey(report.endpoint);
    if (!limit || endpoint == nullptr) continue;
    const std::uint32_t service = ServiceKey(endpoint->service);
    limits::Sharer own{self, 0};
    for (const limits::ServiceDemand& demand : this->told_demands) {
      if (demand.service == service) own.demand = demand.per_second;
    }
    auto sharers = this->peers.Sharers(service, own.demand, now);
    sharers.push_back(own);
    // Until the list of instances is known, others may send as well; and they
    // have taken over the part of an instance that stops.
    const bool has_part = this->instances_known && !this->stopping_since;
    const double share =
        has_part ? limits::RateShare(report.endpoint, *limit, sharers, self)
                 : 0;
    this->pacer.SetRate(report.endpoint, share, now);
    limited.insert(report.endpoint);
  }
  this->pacer.RetainOnly(limited);
}

bool InstanceState::Ready(TimePoint now) const {
  // Callers are better served elsewhere.
  const bool withdraws =
      this->withdraws_when_isolated && this->OnlyOthersReachEndpoints(now);
  return !this->stopping_since && this->CanAdmitRequests(now) && !withdraws;
}

}  // namespace toucanwharf::instance
