#include "toucanwharf/instance/peer_link.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "toucanwharf/instance/address_wait.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;
using gossip::PortOf;

/// Lifetime of the engine statuses that the leader sent.
constexpr Duration kStatusLifetime = std::chrono::seconds(3);
constexpr std::size_t kMaxIntroducedPeers = 16;
/// The leader sends this many beacons in a row and pauses before the next
/// batch: 30 messages of 6 KB take 8 ms on a link of 200 Mbit/s.
constexpr std::size_t kBatchSize = 30;
constexpr std::size_t kMaxBatches = 15;
constexpr Duration kBatchInterval = std::chrono::milliseconds(20);
/// Within this time every live instance has received a beacon from a new leader
/// and sent it one, also if a message in each direction is lost.
constexpr Duration kAllContactedAfter = std::chrono::milliseconds(2000);
/// Changes in a large fleet within this time are announced together.
constexpr Duration kCoalesceDelay = std::chrono::milliseconds(30);
/// In a small fleet a peer without beacons for this long was probably killed,
/// and its answers with it: engines are less loaded than it last reported, just
/// when its callers reconnect to the others. Two beacons may be lost.
constexpr Duration kLoadLifetime = std::chrono::milliseconds(600);
/// Log at most one line for hundreds of beacons that cannot be sent.
constexpr Duration kSendFailureLogPeriod = std::chrono::seconds(1);

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

PeerLink::PeerLink(http::Loop& event_loop, http::Client& http_client,
                   InstanceState& shared_state, eventlog::Logger& log,
                   EndpointListLog& list_log,
                   const InstanceSettings& initial_settings)
    : loop(event_loop),
      client(http_client),
      state(shared_state),
      logger(log),
      endpoint_log(list_log),
      settings(initial_settings),
      started(event_loop.Now()),
      snapshots(event_loop, http_client, shared_state, log, list_log,
                initial_settings.failure_domain),
      schedule({}, HashText(shared_state.instance)),
      random(HashText(shared_state.instance)) {}

Result<void> PeerLink::Start(OnConfiguration on_configuration,
                             OnEndpoints on_endpoints) {
  auto bound = OpenWhenFree(kAddressWait, [this] {
    return http::DatagramSocket::Bind(
        this->loop, this->settings.datagram_address,
        [this](const std::string& sender, std::string_view payload) {
          this->OnDatagram(sender, payload);
        });
  });
  if (!bound) return bound.error();
  this->snapshots.Start(std::move(on_configuration), std::move(on_endpoints));
  this->socket = std::move(bound.value());
  for (const std::string& seed : this->settings.seeds) this->AddInstance(seed);
  this->Tick();
  return Success();
}

/// Ports are the same on all instances.
std::string PeerLink::DatagramAddressOf(
    const std::string& control_address) const {
  return absl::StrCat(IpOf(control_address), ":",
                      PortOf(this->settings.datagram_address));
}

void PeerLink::AddInstance(const std::string& control_address) {
  const std::string address = this->DatagramAddressOf(control_address);
  if (address == this->settings.datagram_address) return;
  this->state.peers.AddAddress(address, this->loop.Now());
}

void PeerLink::AddRegistered(
    const std::vector<gossip::BackupLeaderCandidate>& registered) {
  std::vector<gossip::BackupLeaderCandidate> candidates = registered;
  for (gossip::BackupLeaderCandidate& candidate : candidates) {
    this->AddInstance(candidate.address);
    candidate.address = this->DatagramAddressOf(candidate.address);
  }
  const bool large = this->state.peers.IsLargeFleet(this->loop.Now());
  // The others answer a new process at once, and tell it what it can't read.
  if (!large) this->Announce();
  if (large) this->RequestFromReaders(candidates, this->loop.Now());
  if (!large || !this->state.backup_leaders.empty()) return;
  this->SetBackupLeaders(
      gossip::ChooseBackupLeaders(std::move(candidates), ""));
}

void PeerLink::SetBackupLeaders(std::vector<std::string> addresses) {
  this->state.backup_leaders = std::move(addresses);
  const auto& all = this->state.backup_leaders;
  this->state.is_backup_leader =
      std::find(all.begin(), all.end(), this->settings.datagram_address) !=
      all.end();
}

void PeerLink::Tick() {
  const TimePoint now = this->loop.Now();
  const bool large = this->state.peers.IsLargeFleet(now);
  const bool coordinator = this->state.leads || this->state.is_backup_leader;
  if (!coordinator) this->coordinator_since.reset();
  if (coordinator && !this->coordinator_since) this->coordinator_since = now;
  this->EstimatePeerLoads(now);
  const std::size_t nearby =
      this->state.peers.AddressesInDomain(this->settings.failure_domain, now)
          .size();
  this->state.peers.SetPeerTimeout(
      this->HasContactedAll(now)
          ? gossip::BeaconScheduleSettings().min_peer_timeout
          : this->schedule.PeerTimeout(nearby));
  this->ApplyConfirmations(now);
  if (large && coordinator) this->SumLoads(now);
  const gossip::BeaconTargets targets = this->MakeTargets(now);
  auto recipients = this->schedule.Next(targets);
  if (this->schedule.LastRoundWasBroadcast() || targets.informs_domain) {
    this->covered_keys = this->ranges.Next(this->state.endpoints.All().size());
  }
  this->SendInBatches(std::move(recipients), 0);
  this->LogPeers(now);
  this->loop.After(this->schedule.Period(), [this] { this->Tick(); });
}

gossip::BeaconTargets PeerLink::MakeTargets(TimePoint now) const {
  const gossip::PeerTable& peers = this->state.peers;
  gossip::BeaconTargets targets;
  targets.same_domain =
      peers.AddressesInDomain(this->settings.failure_domain, now);
  targets.other_domains =
      peers.AddressesInOtherDomains(this->settings.failure_domain, now);
  targets.leader = peers.Leader(now);
  targets.backup_leaders = this->OtherBackupLeaders(targets.leader);
  targets.is_coordinator = this->state.leads || this->state.is_backup_leader;
  targets.informs_domain = this->AssistsRestart(now);
  return targets;
}

std::vector<std::string> PeerLink::OtherBackupLeaders(
    const std::string& leader) const {
  std::vector<std::string> others;
  for (const std::string& address : this->state.backup_leaders) {
    const bool other =
        address != this->settings.datagram_address && address != leader;
    if (other) others.push_back(address);
  }
  return others;
}

/// Two backup leaders may act concurrently; they receive and send the same
/// state.
bool PeerLink::ActsForFleet(TimePoint now) const {
  if (this->state.leads) return true;
  return this->state.is_backup_leader && this->HasContactedAll(now) &&
         this->state.peers.Leader(now).empty();
}

void PeerLink::SendInBatches(std::vector<std::string> addresses,
                             std::size_t begin) {
  if (begin >= addresses.size()) return;
  // Encoded anew for each batch: the ages in a beacon must be those at the
  // moment it is sent.
  const std::size_t count =
      std::max(kBatchSize, addresses.size() / kMaxBatches);
  const std::size_t end = std::min(addresses.size(), begin + count);
  this->SendTo({addresses.begin() + static_cast<std::ptrdiff_t>(begin),
                addresses.begin() + static_cast<std::ptrdiff_t>(end)},
               Content::kFleet);
  if (end == addresses.size()) return;
  this->loop.After(kBatchInterval, [this, rest = std::move(addresses), end] {
    this->SendInBatches(rest, end);
  });
}

bool PeerLink::HasContactedAll(TimePoint now) const {
  return this->coordinator_since &&
         now - *this->coordinator_since >= kAllContactedAfter;
}

void PeerLink::Announce() {
  // Several changes at one moment are announced in one message.
  if (this->announcing) return;
  this->announcing = true;
  const bool large = this->state.peers.IsLargeFleet(this->loop.Now());
  const bool immediate = !large || this->state.stopping_since;
  this->loop.After(immediate ? Duration(0) : kCoalesceDelay, [this] {
    this->announcing = false;
    const TimePoint now = this->loop.Now();
    this->SendTo(
        this->state.peers.Addresses(now),
        this->state.peers.IsLargeFleet(now) ? Content::kOwn : Content::kFleet);
  });
}

void PeerLink::AnnounceChange() {
  const bool leader_announces =
      this->state.peers.IsLargeFleet(this->loop.Now()) && !this->state.leads;
  if (!leader_announces) this->Announce();
}

void PeerLink::AnnounceToDomain() {
  const TimePoint now = this->loop.Now();
  const gossip::PeerTable& peers = this->state.peers;
  if (!peers.IsLargeFleet(now)) return;
  this->SendTo(peers.AddressesInDomain(this->settings.failure_domain, now),
               Content::kOwn);
}

void PeerLink::AnnounceToFleet() {
  this->SendTo(this->state.peers.Addresses(this->loop.Now()), Content::kOwn);
}

void PeerLink::AnnounceToAll() {
  const TimePoint now = this->loop.Now();
  const std::string leader = this->state.peers.Leader(now);
  const bool leader_announces = this->state.peers.IsLargeFleet(now) &&
                                !this->state.leads && !leader.empty();
  if (leader_announces) {
    this->SendTo({leader}, Content::kOwn);
  } else {
    this->Announce();
  }
}

void PeerLink::SendTo(const std::vector<std::string>& addresses,
                      Content content) {
  if (addresses.empty()) return;
  const TimePoint now = this->loop.Now();
  gossip::Beacon beacon = this->MakeBeacon(now);
  gossip::TrimToDatagram(beacon);
  if (content == Content::kFleet) this->AddFleetState(beacon, now);
  const gossip::EncodedBeacon full(beacon);
  const std::string leader = this->state.peers.Leader(now);
  const auto backup_leaders = this->OtherBackupLeaders(leader);
  // In a large fleet only the leader and the backup leaders sum the loads of
  // all instances and send the sum to them: the single loads are most of a
  // beacon.
  gossip::Beacon brief = beacon;
  if (this->state.peers.IsLargeFleet(now)) brief.loads.clear();
  const gossip::EncodedBeacon to_followers(brief);
  auto known = this->state.peers.Addresses(now);
  std::shuffle(known.begin(), known.end(), this->random);
  known.resize(std::min(known.size(), kMaxIntroducedPeers));
  brief.peers = std::move(known);
  const gossip::EncodedBeacon introducing(brief);
  for (const std::string& address : addresses) {
    const auto stamp = this->stamps.find(address);
    const Stamp last = stamp == this->stamps.end() ? Stamp{} : stamp->second;
    const bool needs_introduction = this->NeedsIntroduction(address, now);
    const bool to_coordinator =
        address == leader ||
        std::find(backup_leaders.begin(), backup_leaders.end(), address) !=
            backup_leaders.end();
    const gossip::EncodedBeacon& encoded = to_coordinator ? full : to_followers;
    const std::string bytes = (needs_introduction ? introducing : encoded)
                                  .For(last.value, last.instance);
    this->LogSendFailure(this->socket->Send(address, bytes), bytes.size(), now);
  }
}

void PeerLink::LogSendFailure(const std::error_code& error, std::size_t size,
                              TimePoint now) {
  if (!error || now - this->send_failure_logged < kSendFailureLogPeriod) return;
  this->send_failure_logged = now;
  this->logger.Write(Level::kNotable, "beacon_not_sent",
                     Fields()
                         .Text("error", error.message())
                         .Count("bytes", static_cast<std::int64_t>(size)),
                     now);
}

/// A peer without a beacon may be new and know no other instance. In a large
/// fleet beacons from other failure domains are rare, but one is enough.
bool PeerLink::NeedsIntroduction(const std::string& address,
                                 TimePoint now) const {
  const gossip::PeerTable& peers = this->state.peers;
  return peers.IsLargeFleet(now) ? !peers.EverContacted(address)
                                 : peers.Live(address, now) == nullptr;
}

void PeerLink::LogPeers(TimePoint now) {
  const bool sees_few_peers =
      this->state.peers.IsLargeFleet(now) && !this->state.leads;
  std::set<std::string> live;
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    // Peers in other failure domains send a beacon about once a minute.
    const bool far =
        peer->beacon.failure_domain != this->settings.failure_domain;
    if (far && sees_few_peers && !peer->beacon.leads) continue;
    live.insert(peer->beacon.callers_address);
  }
  for (const std::string& address : live) {
    if (this->previously_live.contains(address)) continue;
    this->logger.Write(Level::kNotable, "peer_heard",
                       Fields().Text("peer", address), now);
  }
  for (const std::string& address : this->previously_live) {
    if (live.contains(address)) continue;
    this->logger.Write(Level::kNotable, "peer_silent",
                       Fields().Text("peer", address), now);
  }
  this->previously_live = std::move(live);
}

void PeerLink::OnDatagram(const std::string& sender, std::string_view payload) {
  const TimePoint now = this->loop.Now();
  const auto beacon = gossip::Decode(payload);
  if (!beacon) {
    this->logger.Write(Level::kNotable, "beacon_unreadable",
                       Fields().Text("sender", sender), now);
    return;
  }
  const bool is_new = !this->state.peers.KnowsInstance(beacon->instance);
  if (!this->state.peers.OnBeacon(sender, *beacon, now)) return;
  // A process that has just started waits for news. In a large fleet the leader
  // sends to all soon enough.
  const bool answers = is_new && !this->state.peers.IsLargeFleet(now);
  this->stamps[sender] = Stamp{beacon->instance, beacon->stamp};
  if (answers) this->SendTo({sender}, Content::kOwn);
  for (const std::string& address : beacon->peers) {
    if (address == this->settings.datagram_address) continue;
    this->state.peers.AddAddress(address, now);
  }
  const bool unconfirmed = this->NeedsConfirmation(now);
  this->ApplyBeacon(*beacon, now);
  if (unconfirmed && !this->NeedsConfirmation(now)) this->AnnounceReady(now);
  if (!answers) this->ExchangeConfirmation(sender, *beacon, now);
  this->snapshots.FetchNewer(*beacon);
}

void PeerLink::ApplyBeacon(const gossip::Beacon& beacon, TimePoint now) {
  this->state.OnPeerEpoch(beacon, now);
  for (const gossip::Suspicion& suspicion : beacon.suspicions) {
    this->ApplySuspicion(suspicion, beacon, now);
  }
  this->ApplyProofs(beacon, now);
  this->ApplySuspects(beacon, now);
  this->ApplyLimits(beacon, now);
  const bool large = this->state.peers.IsLargeFleet(now);
  const bool advertises_fleet = beacon.leads ||
                                !beacon.engine_statuses.empty() ||
                                !beacon.ready_instances.empty();
  if (advertises_fleet) this->ApplyFleetState(beacon, now);
  if (!large) this->SumLoads(now);
  // The leader of a large fleet receives hundreds of beacons a second, and
  // would spend most of its time scanning all peers for each. The next round
  // applies their confirmations.
  const bool sees_few_peers =
      !this->state.leads && !this->state.is_backup_leader;
  if (!large || sees_few_peers) this->ApplyConfirmations(now);
}

/// Applies the state of the fleet that the leader sent. In a large fleet the
/// loads that peers report themselves are seconds old; only the leader has
/// recent ones from all.
void PeerLink::ApplyFleetState(const gossip::Beacon& beacon, TimePoint now) {
  // Each part is sent after all the others.
  const auto others =
      static_cast<std::int64_t>(beacon.covered_keys.Parts() - 1);
  const TimePoint valid_until =
      now + kStatusLifetime + this->schedule.CoordinatorPeriod() * others;
  for (const gossip::KeyedEngineStatus& status : beacon.engine_statuses) {
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.FindByKey(status.key);
    if (endpoint == nullptr) continue;
    this->state.loads.SetEngineStatus(
        {endpoint->id, endpoint->start_time_ms, status.layers, status.slowdown,
         status.token_layers},
        valid_until);
  }
  const bool is_follower =
      this->state.peers.IsLargeFleet(now) && !this->state.leads;
  if (!is_follower) return;
  this->state.ready_list.Update(beacon.ready_instances, now);
  if (!beacon.backup_leaders.empty()) {
    this->SetBackupLeaders(beacon.backup_leaders);
  }
  const std::string port = PortOf(this->settings.datagram_address);
  for (const std::uint32_t number : beacon.ready_instances) {
    this->state.peers.RecordLiveness(gossip::AddressOf(number, port), now);
  }
  const bool has_loads =
      gossip::TellsFleetLoads(beacon, this->IsCoordinator(beacon));
  if (!has_loads) return;
  this->fleet_loads_heard_at = now;
  // A backup leader sums the loads that it receives itself.
  if (this->state.is_backup_leader) return;
  this->fleet_loads.Update(beacon.covered_keys, beacon.fleet_loads);
  std::vector<gossip::EndpointLoad> loads;
  for (const gossip::KeyedLoad& load : this->fleet_loads.All()) {
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.FindByKey(load.key);
    if (endpoint == nullptr) continue;
    loads.push_back({endpoint->id, load.answers, load.token_layers,
                     load.first_stage_answers});
  }
  this->state.loads.SetFleetLoads(loads);
}

void PeerLink::SumLoads(TimePoint now) {
  std::vector<gossip::EndpointLoad> loads;
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    const bool is_recent =
        !this->settings.mechanisms.ignore_unresponsive_peers ||
        now - peer->last_beacon_at <= kLoadLifetime;
    if (!is_recent) continue;
    const auto& peer_loads = peer->beacon.loads;
    loads.insert(loads.end(), peer_loads.begin(), peer_loads.end());
  }
  this->state.loads.SetPeerLoads(loads);
}

}  // namespace toucanwharf::instance
