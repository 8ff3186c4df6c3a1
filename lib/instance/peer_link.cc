#include "toucanwharf/instance/peer_link.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::instance {
namespace {

using endpoints::LoadTracker;
using eventlog::Fields;
using eventlog::Level;
using gossip::PortOf;

/// Facts that the placing instance told count for so long without new ones.
constexpr Duration kFactsFor = std::chrono::seconds(3);
/// Suspicions that peers tell are cut to this: a peer's link may be at fault.
constexpr Duration kLongestSuspicion = std::chrono::seconds(3);
constexpr std::size_t kMostPeersTold = 16;
/// The leader tells so many at once, and waits a moment before the next: 30
/// messages of 6 KB take 8 ms of a link of 200 Mbit/s.
constexpr std::size_t kToldAtOnce = 30;
constexpr std::size_t kMostPartsOfRound = 15;
constexpr Duration kBetweenParts = std::chrono::milliseconds(20);
/// Within this time all that live have heard of a new leader and told it of
/// themselves, also when a message each way is lost.
constexpr Duration kAllHeardAfter = std::chrono::milliseconds(2000);
/// News of a large fleet that come within this time are told together.
constexpr Duration kGatherNews = std::chrono::milliseconds(30);
/// In a small fleet a peer whose beacons have stopped for so long was probably
/// killed, and its answers with it: engines are not as full as it last said,
/// just when its callers come back to the others. Two beacons may be lost.
constexpr Duration kLoadsCountFor = std::chrono::milliseconds(600);
/// Hundreds of beacons that can't be sent are one line.
constexpr Duration kBetweenSendFailures = std::chrono::seconds(1);

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

PeerLink::PeerLink(http::Loop& event_loop, http::Client& http_client,
                   InstanceState& shared_state, eventlog::Logger& log,
                   EndpointListLog& list_log, const InstanceSettings& chosen)
    : loop(event_loop),
      client(http_client),
      state(shared_state),
      logger(log),
      lists(list_log),
      settings(chosen),
      started(event_loop.Now()),
      copies(event_loop, http_client, shared_state, log, list_log,
             chosen.failure_domain),
      random(HashText(shared_state.instance)) {}

Result<void> PeerLink::Start(OnConfiguration on_configuration,
                             OnEndpoints on_endpoints) {
  this->copies.Start(std::move(on_configuration), std::move(on_endpoints));
  auto bound = http::DatagramSocket::Bind(
      this->loop, this->settings.datagram_address,
      [this](const std::string& sender, std::string_view payload) {
        this->OnDatagram(sender, payload);
      });
  if (!bound) return bound.error();
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
  for (gossip::BackupLeaderCandidate& one : candidates) {
    this->AddInstance(one.address);
    one.address = this->DatagramAddressOf(one.address);
  }
  const bool wanted = this->state.peers.IsLargeFleet(this->loop.Now()) &&
                      this->state.backup_leaders.empty();
  if (!wanted) return;
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
  const bool leads = this->state.leads;
  const bool coordinator = leads || this->state.is_backup_leader;
  if (!coordinator) this->coordinator_since.reset();
  if (coordinator && !this->coordinator_since) this->coordinator_since = now;
  const bool led = leads || !large || this->state.ready_list.IsCurrent(now) ||
                   !this->state.peers.Leader(now).empty();
  this->state.loads.AssumeEqualPeerLoad(
      led ? 0 : this->state.peers.InstanceCount(now) - 1);
  const std::size_t near =
      this->state.peers.AddressesInDomain(this->settings.failure_domain, now)
          .size();
  this->state.peers.SetPeerTimeout(
      this->HearsAll(now) ? gossip::BeaconScheduleSettings().min_peer_timeout
                          : this->rotation.PeerTimeout(near));
  this->AdoptProofs(now);
  if (large && coordinator) this->SumLoads(now);
  auto told = this->rotation.Next(this->MakeAudience(now));
  if (this->rotation.LastRoundWasBroadcast()) {
    this->about = this->ranges.Next(this->state.endpoints.All().size());
  }
  this->Tell(std::move(told), 0);
  this->LogPeers(now);
  this->loop.After(this->rotation.Period(), [this] { this->Tick(); });
}

gossip::BeaconTargets PeerLink::MakeAudience(TimePoint now) const {
  const gossip::PeerTable& peers = this->state.peers;
  gossip::BeaconTargets audience;
  audience.same_domain =
      peers.AddressesInDomain(this->settings.failure_domain, now);
  audience.other_domains =
      peers.AddressesInOtherDomains(this->settings.failure_domain, now);
  audience.leader = peers.Leader(now);
  audience.backup_leaders = this->OtherBackupLeaders(audience.leader);
  audience.is_coordinator = this->state.leads || this->state.is_backup_leader;
  return audience;
}

std::vector<std::string> PeerLink::OtherBackupLeaders(
    const std::string& leader) const {
  std::vector<std::string> others;
  for (const std::string& one : this->state.backup_leaders) {
    const bool other = one != this->settings.datagram_address && one != leader;
    if (other) others.push_back(one);
  }
  return others;
}

/// Two backup leaders tell the same, and hear the same.
bool PeerLink::SpeaksForFleet(TimePoint now) const {
  if (this->state.leads) return true;
  return this->state.is_backup_leader && this->HearsAll(now) &&
         this->state.peers.Leader(now).empty();
}

void PeerLink::Tell(std::vector<std::string> addresses, std::size_t begin) {
  if (begin >= addresses.size()) return;
  // Made anew for each few: the ages in it must be those of the moment at which
  // it is sent.
  const std::size_t count =
      std::max(kToldAtOnce, addresses.size() / kMostPartsOfRound);
  const std::size_t end = std::min(addresses.size(), begin + count);
  this->SendTo({addresses.begin() + static_cast<std::ptrdiff_t>(begin),
                addresses.begin() + static_cast<std::ptrdiff_t>(end)},
               Content::kFleet);
  if (end == addresses.size()) return;
  this->loop.After(kBetweenParts, [this, rest = std::move(addresses), end] {
    this->Tell(rest, end);
  });
}

bool PeerLink::HearsAll(TimePoint now) const {
  return this->coordinator_since &&
         now - *this->coordinator_since >= kAllHeardAfter;
}

void PeerLink::Announce() {
  // Many things may change in one moment; one message tells of them all.
  if (this->announcing) return;
  this->announcing = true;
  const bool large = this->state.peers.IsLargeFleet(this->loop.Now());
  const bool at_once = !large || this->state.stopping_since;
  this->loop.After(at_once ? Duration(0) : kGatherNews, [this] {
    this->announcing = false;
    const TimePoint now = this->loop.Now();
    this->SendTo(
        this->state.peers.Addresses(now),
        this->state.peers.IsLargeFleet(now) ? Content::kOwn : Content::kFleet);
  });
}

void PeerLink::AnnounceChange() {
  const bool by_leader =
      this->state.peers.IsLargeFleet(this->loop.Now()) && !this->state.leads;
  if (!by_leader) this->Announce();
}

void PeerLink::AnnounceToDomain() {
  const TimePoint now = this->loop.Now();
  const gossip::PeerTable& peers = this->state.peers;
  if (!peers.IsLargeFleet(now)) return;
  this->SendTo(peers.AddressesInDomain(this->settings.failure_domain, now),
               Content::kOwn);
}

void PeerLink::AnnounceSilentEngine() {
  const TimePoint now = this->loop.Now();
  const std::string leader = this->state.peers.Leader(now);
  const bool by_leader = this->state.peers.IsLargeFleet(now) &&
                         !this->state.leads && !leader.empty();
  if (by_leader) {
    this->SendTo({leader}, Content::kOwn);
  } else {
    this->Announce();
  }
}

gossip::Beacon PeerLink::MakeBeacon(TimePoint now) const {
  gossip::Beacon beacon;
  beacon.instance = this->state.instance;
  beacon.uptime = now - this->started;
  beacon.failure_domain = this->settings.failure_domain;
  beacon.callers_address = this->settings.callers_address;
  beacon.control_address = this->settings.control_address;
  beacon.processor_share = this->settings.processor_share;
  beacon.ready = this->state.Ready(now);
  beacon.stopping = this->state.stopping_since.has_value();
  beacon.leads = this->state.leads;
  beacon.configuration_revision = this->state.configuration_revision;
  beacon.configuration_age = this->state.freshness.Age(now);
  beacon.endpoints_revision = this->state.endpoints.ChangedRevision();
  if (const auto confirmed = this->state.endpoints.ConfirmedAt()) {
    beacon.endpoints_age = now - *confirmed;
  }
  beacon.stamp = now.since_start.count();
  beacon.loads = this->state.loads.Local();
  beacon.suspicions = this->state.loads.Suspicions(now, this->state.leads);
  return beacon;
}

void PeerLink::AddFleet(gossip::Beacon& beacon, TimePoint now) const {
  beacon.covered_keys = this->about;
  for (const gossip::EngineStatus& fact : this->facts) {
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.Find(fact.endpoint);
    if (endpoint == nullptr || endpoint->start_time_ms != fact.start_time_ms)
      continue;
    const std::uint32_t key = endpoints::EndpointKey(*endpoint);
    if (!this->about.Contains(key)) continue;
    beacon.engine_statuses.push_back(
        {key, fact.layers, fact.slowdown, fact.token_layers});
  }
  if (!this->SpeaksForFleet(now)) return;
  for (const gossip::EndpointLoad& load : this->state.loads.All()) {
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.Find(load.endpoint);
    if (endpoint == nullptr) continue;
    const std::uint32_t key = endpoints::EndpointKey(*endpoint);
    if (!this->about.Contains(key)) continue;
    beacon.fleet_loads.push_back(
        {key, load.answers, load.token_layers, load.first_stage_answers});
  }
  const bool tells_all =
      this->state.peers.IsLargeFleet(now) && this->HearsAll(now);
  if (tells_all) beacon.ready_instances = this->ReadyInstances(now);
  if (tells_all && this->state.leads) {
    beacon.backup_leaders = gossip::ChooseBackupLeaders(
        this->state.peers, this->settings.failure_domain, now);
  }
}

std::vector<std::uint32_t> PeerLink::ReadyInstances(TimePoint now) const {
  std::vector<std::uint32_t> ready;
  const auto add = [&](const std::string& address) {
    if (const auto number = gossip::IpNumber(address)) ready.push_back(*number);
  };
  if (this->state.Ready(now)) add(this->settings.callers_address);
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    if (peer->beacon.ready) add(peer->beacon.callers_address);
  }
  return ready;
}

void PeerLink::SendTo(const std::vector<std::string>& addresses,
                      Content content) {
  if (addresses.empty()) return;
  const TimePoint now = this->loop.Now();
  gossip::Beacon beacon = this->MakeBeacon(now);
  gossip::TrimToDatagram(beacon);
  if (content == Content::kFleet) this->AddFleet(beacon, now);
  const gossip::EncodedBeacon usual(beacon);
  const std::string leader = this->state.peers.Leader(now);
  const auto backup_leaders = this->OtherBackupLeaders(leader);
  // In a large fleet only the leader and its backup leaders add up what the
  // others have under way, and tell all of them the sum: the single loads are
  // most of a beacon.
  gossip::Beacon brief = beacon;
  if (this->state.peers.IsLargeFleet(now)) brief.loads.clear();
  const gossip::EncodedBeacon to_followers(brief);
  auto known = this->state.peers.Addresses(now);
  std::shuffle(known.begin(), known.end(), this->random);
  known.resize(std::min(known.size(), kMostPeersTold));
  brief.peers = std::move(known);
  const gossip::EncodedBeacon introducing(brief);
  for (const std::string& address : addresses) {
    const auto stamp = this->stamps.find(address);
    const Stamp last = stamp == this->stamps.end() ? Stamp{} : stamp->second;
    const bool introduce = this->MayKnowNobody(address, now);
    const bool to_hub = address == leader ||
                        std::find(backup_leaders.begin(), backup_leaders.end(),
                                  address) != backup_leaders.end();
    const gossip::EncodedBeacon& known_as = to_hub ? usual : to_followers;
    const std::string bytes =
        (introduce ? introducing : known_as).For(last.at, last.instance);
    this->NoteSend(this->socket->Send(address, bytes), bytes.size(), now);
  }
}

void PeerLink::NoteSend(const std::error_code& error, std::size_t size,
                        TimePoint now) {
  if (!error || now - this->send_failure_logged < kBetweenSendFailures) return;
  this->send_failure_logged = now;
  this->logger.Write(Level::kNotable, "beacon_not_sent",
                     Fields()
                         .Text("error", error.message())
                         .Count("bytes", static_cast<std::int64_t>(size)),
                     now);
}

/// Whoever is not heard of may be new, and knows nobody yet. In a large fleet
/// those of other failure domains are seldom heard of, but once is enough.
bool PeerLink::MayKnowNobody(const std::string& address, TimePoint now) const {
  const gossip::PeerTable& peers = this->state.peers;
  return peers.IsLargeFleet(now) ? !peers.EverContacted(address)
                                 : peers.Live(address, now) == nullptr;
}

void PeerLink::LogPeers(TimePoint now) {
  const bool hears_few =
      this->state.peers.IsLargeFleet(now) && !this->state.leads;
  std::set<std::string> live;
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    // Those of other failure domains are heard of about once a minute.
    const bool far =
        peer->beacon.failure_domain != this->settings.failure_domain;
    if (far && hears_few && !peer->beacon.leads) continue;
    live.insert(peer->beacon.callers_address);
  }
  for (const std::string& one : live) {
    if (this->live_before.contains(one)) continue;
    this->logger.Write(Level::kNotable, "peer_heard",
                       Fields().Text("peer", one), now);
  }
  for (const std::string& one : this->live_before) {
    if (live.contains(one)) continue;
    this->logger.Write(Level::kNotable, "peer_silent",
                       Fields().Text("peer", one), now);
  }
  this->live_before = std::move(live);
}

void PeerLink::OnDatagram(const std::string& sender, std::string_view payload) {
  const TimePoint now = this->loop.Now();
  const auto beacon = gossip::Decode(payload);
  if (!beacon) {
    this->logger.Write(Level::kNotable, "beacon_unreadable",
                       Fields().Text("sender", sender), now);
    return;
  }
  if (!this->state.peers.OnBeacon(sender, *beacon, now)) return;
  this->stamps[sender] = Stamp{beacon->instance, beacon->stamp};
  for (const std::string& address : beacon->peers) {
    if (address == this->settings.datagram_address) continue;
    this->state.peers.AddAddress(address, now);
  }
  this->AdoptFrom(*beacon, now);
  this->copies.FetchNewer(*beacon);
}

void PeerLink::AdoptFrom(const gossip::Beacon& beacon, TimePoint now) {
  for (const gossip::Suspicion& one : beacon.suspicions) {
    this->AdoptSuspicion(one, now);
  }
  const bool large = this->state.peers.IsLargeFleet(now);
  const bool speaks = beacon.leads || !beacon.engine_statuses.empty() ||
                      !beacon.ready_instances.empty();
  if (speaks) this->AdoptFleet(beacon, now);
  if (!large) this->SumLoads(now);
  // Hundreds of beacons a second come to the leader of a large fleet, and to
  // look through all peers for each of them is most of its time. The next
  // round takes what they prove.
  const bool hears_few = !this->state.leads && !this->state.is_backup_leader;
  if (!large || hears_few) this->AdoptProofs(now);
}

/// Takes what the leader tells of the fleet. In a large fleet the peers' own
/// words on their loads are seconds old, but for the leader's, which has heard
/// all lately.
void PeerLink::AdoptFleet(const gossip::Beacon& beacon, TimePoint now) {
  // The turn of a part comes after that of all others.
  const auto others =
      static_cast<std::int64_t>(beacon.covered_keys.Parts() - 1);
  const TimePoint facts_until =
      now + kFactsFor + this->rotation.CoordinatorPeriod() * others;
  for (const gossip::KeyedEngineStatus& fact : beacon.engine_statuses) {
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.FindByKey(fact.key);
    if (endpoint == nullptr) continue;
    this->state.loads.SetEngineStatus(
        {endpoint->id, endpoint->start_time_ms, fact.layers, fact.slowdown,
         fact.token_layers},
        facts_until);
  }
  const bool follows =
      this->state.peers.IsLargeFleet(now) && !this->state.leads;
  if (!follows) return;
  this->state.ready_list.Update(beacon.ready_instances, now);
  if (!beacon.backup_leaders.empty())
    this->SetBackupLeaders(beacon.backup_leaders);
  const std::string port = PortOf(this->settings.datagram_address);
  for (const std::uint32_t number : beacon.ready_instances) {
    this->state.peers.RecordLiveness(gossip::AddressOf(number, port), now);
  }
  // Without loads, only one that hears all says that endpoints are idle.
  const bool tells_loads =
      !beacon.fleet_loads.empty() || !beacon.ready_instances.empty();
  // A backup leader adds up what it hears itself.
  if (!tells_loads || this->state.is_backup_leader) return;
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

void PeerLink::AdoptProofs(TimePoint now) {
  const auto configuration = this->state.peers.ConfigurationConfirmedAt(
      this->state.configuration_revision, now);
  if (configuration && this->state.table) {
    this->state.freshness.Confirm(*configuration);
  }
  if (const auto answered = this->state.peers.StoreAnsweredAt(now)) {
    this->state.endpoints.OnStoreAnswered(*answered, now);
  }
  const std::uint64_t revision = this->state.endpoints.Revision();
  const auto listed = this->state.peers.EndpointsConfirmedAt(revision, now);
  if (!listed || revision == 0) return;
  if (!this->state.endpoints.Confirm(*listed, now)) return;
  this->lists.OnList(this->state.endpoints, ListCause::kGraceOver, true, 0,
                     now);
}

void PeerLink::AdoptSuspicion(const gossip::Suspicion& one, TimePoint now) {
  LoadTracker& loads = this->state.loads;
  const TimePoint until = now + std::min(one.remaining, kLongestSuspicion);
  if (!one.unresponsive) {
    loads.Suspect(one.endpoint, until);
    return;
  }
  if (!loads.MarkReportedUnresponsive(one.endpoint, until, now)) return;
  this->logger.Write(Level::kNotable, "peer_found_engine_silent",
                     Fields().Text("endpoint", one.endpoint), now);
  if (this->state.leads && this->state.peers.IsLargeFleet(now))
    this->Announce();
  if (this->engine_silent) this->engine_silent(one.endpoint);
}

void PeerLink::SumLoads(TimePoint now) {
  std::vector<gossip::EndpointLoad> loads;
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    const bool counts = !this->settings.mechanisms.silent_peers ||
                        now - peer->last_beacon_at <= kLoadsCountFor;
    if (!counts) continue;
    const auto& theirs = peer->beacon.loads;
    loads.insert(loads.end(), theirs.begin(), theirs.end());
  }
  this->state.loads.SetPeerLoads(loads);
}

}  // namespace toucanwharf::instance
