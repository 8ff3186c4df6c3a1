#include <algorithm>

#include "absl/strings/str_cat.h"
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

}  // namespace toucanwharf::instance
