#include <algorithm>

#include "absl/strings/str_cat.h"
#include "toucanwharf/gossip/initial_read_policy.h"
#include "toucanwharf/instance/peer_link.h"

namespace toucanwharf::instance {
namespace {

using endpoints::LoadTracker;
using eventlog::Fields;
using eventlog::Level;

/// Suspicions reported by peers are limited to this: the peer's link may be at
/// fault.
constexpr Duration kMaxSuspicion = std::chrono::seconds(3);

}  // namespace

void PeerLink::ApplySuspicion(const gossip::Suspicion& suspicion,
                              const gossip::Beacon& beacon, TimePoint now) {
  const TimePoint until = now + std::min(suspicion.remaining, kMaxSuspicion);
  const std::string& peer = beacon.callers_address;
  if (!suspicion.unresponsive) {
    this->ApplyRefusal(suspicion.endpoint, peer, until, now);
    return;
  }
  // In a large fleet the leader checks what the others report, and all believe
  // it: their own checks would keep sound engines from answering.
  const bool large = this->state.peers.IsLargeFleet(now);
  const bool coordinates = this->state.leads || this->state.is_backup_leader;
  if (large && !coordinates && !this->IsCoordinator(beacon)) return;
  const bool verified = large && !coordinates;
  if (!this->on_unresponsive) return;
  this->on_unresponsive({suspicion.endpoint, peer, until, verified});
}

bool PeerLink::IsCoordinator(const gossip::Beacon& beacon) const {
  if (beacon.leads) return true;
  const std::string address = this->DatagramAddressOf(beacon.control_address);
  const auto& backups = this->state.backup_leaders;
  return std::find(backups.begin(), backups.end(), address) != backups.end();
}

/// An endpoint that refused did answer, so this is no matter of the peer's
/// links.
void PeerLink::ApplyRefusal(const std::string& endpoint,
                            const std::string& peer, TimePoint until,
                            TimePoint now) {
  LoadTracker& loads = this->state.loads;
  const bool newly_suspected = !loads.IsSuspected(endpoint, now);
  loads.Suspect(endpoint, until);
  if (!newly_suspected) return;
  this->logger.Write(Level::kNotable, "peer_suspects_endpoint",
                     Fields().Text("endpoint", endpoint).Text("peer", peer),
                     now);
}

void PeerLink::ApplyProofs(const gossip::Beacon& beacon, TimePoint now) {
  for (const std::uint32_t key : beacon.alive) {
    const endpoints::Endpoint* endpoint = this->state.endpoints.FindByKey(key);
    if (endpoint == nullptr) continue;
    const bool is_news = !this->state.IsBehindCut(endpoint->id, now);
    this->state.proofs.OnPeerProof(endpoint->id, now);
    if (!this->state.paths.IsUnreachable(endpoint->id, now)) continue;
    // Only the path from here is cut.
    this->state.loads.ForgetUnresponsive(endpoint->id);
    if (!is_news) continue;
    this->logger.Write(Level::kNotable, "peer_reaches_endpoint",
                       Fields()
                           .Text("endpoint", endpoint->id)
                           .Text("peer", beacon.callers_address),
                       now);
  }
}

void PeerLink::ApplySuspects(const gossip::Beacon& beacon, TimePoint now) {
  bool learned = false;
  for (const quarantine::SuspectReport& report : beacon.suspects) {
    if (!this->state.quarantine.Merge(report, now)) continue;
    learned = true;
    this->logger.Write(
        Level::kNotable, "peer_reported_crash",
        Fields()
            .Text("content", quarantine::ToText(report.suspect))
            .Text("peer", beacon.callers_address)
            .Count("crashes", static_cast<std::int64_t>(report.crashes.size())),
        now);
  }
  const bool forwards =
      this->state.leads && this->state.peers.IsLargeFleet(now);
  if (learned && forwards) this->Announce();
}

void PeerLink::ApplyLimits(const gossip::Beacon& beacon, TimePoint now) {
  bool changed = false;
  for (const limits::LimitReport& report : beacon.limits) {
    if (!this->state.limits.Merge(report, now)) continue;
    changed = true;
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.FindByKey(report.endpoint);
    Fields fields;
    fields.Text("endpoint", endpoint == nullptr ? "" : endpoint->id)
        .Text("peer", beacon.callers_address);
    if (report.per_second) {
      fields.Text("per_second", absl::StrCat(*report.per_second));
    }
    this->logger.Write(Level::kNotable, "peer_reported_limit", fields, now);
  }
  if (!changed) return;
  this->state.ShareLimits(this->settings.datagram_address, now);
  const bool forwards =
      this->state.leads && this->state.peers.IsLargeFleet(now);
  if (forwards) this->Announce();
}

void PeerLink::ApplyConfirmations(TimePoint now) {
  const auto configuration = this->state.peers.ConfigurationConfirmedAt(
      this->state.configuration, now);
  if (configuration && this->state.route_table) {
    this->state.freshness.Confirm(*configuration);
  }
  if (const auto answered = this->state.peers.StoreAnsweredAt(now)) {
    this->state.endpoints.OnStoreAnswered(*answered, now);
  }
  const store::Revision& revision = this->state.endpoints.Revision();
  const auto confirmed = this->state.peers.EndpointsConfirmedAt(revision, now);
  if (!confirmed || !revision.IsSet()) return;
  if (!this->state.endpoints.Confirm(*confirmed, now)) return;
  this->endpoint_log.OnList(this->state.endpoints, ListCause::kGraceOver, true,
                            0, now);
}

bool PeerLink::NeedsConfirmation(TimePoint now) const {
  return this->settings.mechanisms.quick_confirmation &&
         !this->state.stopping_since && !this->state.MayAcceptKeys(now);
}

void PeerLink::AnnounceReady(TimePoint now) {
  std::vector<std::string> readers;
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    const gossip::Beacon& beacon = peer->beacon;
    const bool lists_instances =
        beacon.failure_domain == this->settings.failure_domain &&
        gossip::ReadsImmediately(beacon.processor_share);
    if (!lists_instances) continue;
    readers.push_back(this->DatagramAddressOf(beacon.control_address));
  }
  this->SendTo(readers, Content::kOwn);
}

void PeerLink::ConfirmConfiguration() {
  this->ApplyConfirmations(this->loop.Now());
  this->RequestConfirmations();
}

void PeerLink::RequestConfirmations() {
  const TimePoint now = this->loop.Now();
  if (!this->NeedsConfirmation(now)) return;
  for (const std::string& address : gossip::ConfirmedPeers(
           this->state.peers, this->settings.failure_domain,
           this->state.freshness.MaxRequestedAge(), now, this->random)) {
    if (!this->confirmation_exchange.MayRequest(now)) return;
    this->SendTo({address}, Content::kOwn);
  }
}

void PeerLink::RequestFromReaders(
    const std::vector<gossip::BackupLeaderCandidate>& candidates,
    TimePoint now) {
  if (!this->NeedsConfirmation(now)) return;
  std::vector<std::string> nearby;
  std::vector<std::string> all;
  for (const gossip::BackupLeaderCandidate& candidate : candidates) {
    const bool reads = gossip::ReadsImmediately(candidate.processor_share) &&
                       candidate.address != this->settings.datagram_address;
    if (!reads) continue;
    all.push_back(candidate.address);
    const bool in_domain =
        candidate.failure_domain == this->settings.failure_domain;
    if (in_domain) nearby.push_back(candidate.address);
  }
  std::vector<std::string>& readers = nearby.empty() ? all : nearby;
  std::shuffle(readers.begin(), readers.end(), this->random);
  for (const std::string& address : readers) {
    if (!this->confirmation_exchange.MayRequest(now)) return;
    this->SendTo({address}, Content::kOwn);
  }
}

/// The receiver of a beacon that echoes its stamp knows that the confirmation
/// in it is no older than stated, so an answer has to be made after the request
/// was received.
void PeerLink::ExchangeConfirmation(const std::string& sender,
                                    const gossip::Beacon& beacon,
                                    TimePoint now) {
  const routes::Freshness& freshness = this->state.freshness;
  const auto& age = beacon.configuration_age;
  if (this->NeedsConfirmation(now)) {
    const bool requests = age && *age < freshness.MaxRequestedAge() &&
                          this->confirmation_exchange.MayRequest(now);
    if (requests) this->SendTo({sender}, Content::kOwn);
    return;
  }
  const bool sender_confirmed = age && freshness.IsCurrent(*age);
  const bool answers = this->settings.mechanisms.quick_confirmation &&
                       this->state.strict_revocation && !sender_confirmed &&
                       !beacon.stopping && freshness.Holds(now) &&
                       this->confirmation_exchange.MayAnswer(now);
  if (answers) this->SendTo({sender}, Content::kOwn);
}

}  // namespace toucanwharf::instance
