#include "toucanwharf/gossip/fleet_start.h"
#include "toucanwharf/gossip/initial_read_policy.h"
#include "toucanwharf/instance/peer_link.h"

/// What an instance tells and concludes while it, or the whole fleet, starts.
namespace toucanwharf::instance {
namespace {

/// In a restart, nobody has told a coordinator what it sent for this long after
/// its start. An estimate for longer would keep callers waiting for capacity
/// that is free.
constexpr Duration kUnheardTime = std::chrono::milliseconds(1000);

}  // namespace

/// A list of ready instances alone tells no loads.
void PeerLink::EstimatePeerLoads(TimePoint now) {
  const gossip::PeerTable& peers = this->state.peers;
  const bool told =
      this->fleet_loads_heard_at &&
      now - *this->fleet_loads_heard_at <= gossip::ReadyInstanceList::kMaxAge;
  const bool knows_loads = this->state.leads || !peers.IsLargeFleet(now) ||
                           told || !peers.Leader(now).empty();
  const bool estimates = this->settings.mechanisms.reported_loads;
  const std::size_t others = peers.InstanceCount(now) - 1;
  const std::size_t assumed =
      estimates ? gossip::CountAssumedLoaded(peers, now - this->started, now)
                : others;
  this->state.loads.AssumeEqualPeerLoad(knows_loads ? 0 : assumed);
  const bool unheard = estimates && now - this->started < kUnheardTime &&
                       this->IsInRestart(now) && !this->fleet_loads_heard_at;
  this->state.unheard_peers = unheard ? static_cast<double>(others) : 0;
  this->state.loads.AddReportsToLoads(unheard);
}

bool PeerLink::IsInRestart(TimePoint now) const {
  return now - this->started < gossip::kMaxAssistUptime &&
         this->state.peers.IsLargeFleet(now) &&
         gossip::MostAreStarting(this->state.peers.AllLive(now), now);
}

bool PeerLink::AssistsRestart(TimePoint now) const {
  return this->settings.mechanisms.early_advice &&
         gossip::ReadsImmediately(this->settings.processor_share) &&
         this->state.peers.Leader(now).empty() && this->IsInRestart(now) &&
         gossip::CountReadersAhead(
             this->state.peers, this->settings.failure_domain,
             this->settings.processor_share, this->settings.callers_address,
             now) < gossip::kAssistingReaders;
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
  this->RequestFrom(
      gossip::ConfirmedPeers(this->state.peers,
                             this->state.freshness.MaxRequestedAge(), now),
      now);
}

void PeerLink::RequestFromReaders(
    const std::vector<gossip::BackupLeaderCandidate>& candidates,
    TimePoint now) {
  if (!this->NeedsConfirmation(now)) return;
  std::vector<gossip::ConfirmationSource> readers;
  for (const gossip::BackupLeaderCandidate& candidate : candidates) {
    const bool reads = gossip::ReadsImmediately(candidate.processor_share) &&
                       candidate.address != this->settings.datagram_address;
    if (reads) readers.push_back({candidate.address, candidate.failure_domain});
  }
  this->RequestFrom(readers, now);
}

void PeerLink::RequestFrom(
    const std::vector<gossip::ConfirmationSource>& sources, TimePoint now) {
  for (const std::string& address : gossip::OrderSources(
           sources, this->settings.failure_domain, this->random)) {
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
