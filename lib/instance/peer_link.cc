#include "toucanwharf/instance/peer_link.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "toucanwharf/support/json.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;
using Json = nlohmann::json;
using endpoints::LoadBook;

/// Facts that the placing instance told count for so long without new ones.
constexpr Duration kFactsFor = std::chrono::seconds(3);
constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);
/// Suspicions that peers tell are cut to this: a peer's link may be at fault.
constexpr Duration kLongestSuspicion = std::chrono::seconds(3);
constexpr std::size_t kMostPeersTold = 64;
/// In a small fleet a peer whose beacons have stopped for so long was probably
/// killed, and its answers with it: engines are not as full as it last said,
/// just when its callers come back to the others. Two beacons may be lost.
constexpr Duration kLoadsCountFor = std::chrono::milliseconds(600);

constexpr std::string_view kConfigurationPath = "/peer/configuration";
constexpr std::string_view kEndpointsPath = "/peer/endpoints";
constexpr std::string_view kRevisionHeader = "X-Revision";

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':') + 1);
}

std::uint64_t RevisionOf(const http::ResponseHead& head) {
  const std::string_view text = head.headers.Get(kRevisionHeader);
  std::uint64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

Json ToJson(const std::vector<endpoints::Endpoint>& all) {
  Json entries = Json::array();
  for (const endpoints::Endpoint& one : all) {
    entries.push_back(
        {one.id, one.born, one.service, one.address, one.failure_domain,
         one.slots, one.state == endpoints::EndpointState::kDraining, one.kind,
         one.layers.begin, one.layers.end, one.sequence});
  }
  return entries;
}

/// Precondition: the entries have the shape that ToJson writes; else it throws.
std::vector<endpoints::Endpoint> FromJson(const Json& entries) {
  std::vector<endpoints::Endpoint> all;
  for (const Json& one : entries) {
    endpoints::Endpoint endpoint;
    std::size_t at = 0;
    endpoint.id = one.at(at++).get<std::string>();
    endpoint.born = one.at(at++).get<std::uint64_t>();
    endpoint.service = one.at(at++).get<std::string>();
    endpoint.address = one.at(at++).get<std::string>();
    endpoint.failure_domain = one.at(at++).get<std::string>();
    endpoint.slots = one.at(at++).get<std::uint32_t>();
    endpoint.state = one.at(at++).get<bool>()
                         ? endpoints::EndpointState::kDraining
                         : endpoints::EndpointState::kReady;
    endpoint.kind = one.at(at++).get<std::string>();
    endpoint.layers.begin = one.at(at++).get<std::uint32_t>();
    endpoint.layers.end = one.at(at++).get<std::uint32_t>();
    endpoint.sequence = one.at(at++).get<std::uint64_t>();
    all.push_back(std::move(endpoint));
  }
  return all;
}

}  // namespace

std::string EndpointsToText(const endpoints::SharedList& list) {
  return Json{{"revision", list.revision},
              {"kept_for_us", list.kept_for.count()},
              {"entries", ToJson(list.endpoints)},
              {"kept", ToJson(list.kept)}}
      .dump();
}

std::optional<endpoints::SharedList> EndpointsFromText(
    const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  // A peer of another build may write another shape; such a list is none.
  try {
    endpoints::SharedList list;
    list.revision = json.at("revision").get<std::uint64_t>();
    list.kept_for = Duration(json.at("kept_for_us").get<std::int64_t>());
    list.endpoints = FromJson(json.at("entries"));
    list.kept = FromJson(json.at("kept"));
    return list;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

PeerLink::PeerLink(http::Loop& event_loop, http::Client& http_client,
                   Beliefs& shared_beliefs, eventlog::Logger& log,
                   EndpointListLog& list_log, const InstanceSettings& chosen)
    : loop(event_loop),
      client(http_client),
      beliefs(shared_beliefs),
      logger(log),
      lists(list_log),
      settings(chosen),
      started(event_loop.Now()) {}

Result<void> PeerLink::Start(OnConfiguration on_configuration,
                             OnEndpoints on_endpoints) {
  this->take_configuration = std::move(on_configuration);
  this->endpoints_changed = std::move(on_endpoints);
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

void PeerLink::AddInstance(const std::string& control_address) {
  // Ports are the same on all instances.
  const std::string address = absl::StrCat(
      IpOf(control_address), ":", PortOf(this->settings.datagram_address));
  if (address == this->settings.datagram_address) return;
  this->beliefs.peers.AddAddress(address, this->loop.Now());
}

void PeerLink::Tick() {
  const TimePoint now = this->loop.Now();
  const bool led = this->beliefs.leads ||
                   !this->beliefs.peers.Leader(now).empty() ||
                   !this->beliefs.peers.Large(now);
  this->beliefs.loads.AssumeAlike(led ? 0
                                      : this->beliefs.peers.Instances(now) - 1);
  const auto addresses = this->beliefs.peers.Addresses(now);
  this->beliefs.peers.SetSilentAfter(
      this->rotation.SilentAfter(addresses.size()));
  this->SendTo(this->rotation.Next(addresses, this->beliefs.peers.Leader(now),
                                   this->beliefs.leads));
  this->LogPeers(now);
  this->loop.After(this->rotation.Period(), [this] { this->Tick(); });
}

void PeerLink::Announce() {
  this->SendTo(this->beliefs.peers.Addresses(this->loop.Now()));
}

void PeerLink::AnnounceChange() {
  const bool by_leader =
      this->beliefs.peers.Large(this->loop.Now()) && !this->beliefs.leads;
  if (!by_leader) this->Announce();
}

void PeerLink::AnnounceSilentEngine() {
  const TimePoint now = this->loop.Now();
  const std::string leader = this->beliefs.peers.Leader(now);
  const bool by_leader =
      this->beliefs.peers.Large(now) && !this->beliefs.leads && !leader.empty();
  if (by_leader) {
    this->SendTo({leader});
  } else {
    this->Announce();
  }
}

gossip::Beacon PeerLink::MakeBeacon(TimePoint now) const {
  gossip::Beacon beacon;
  beacon.instance = this->beliefs.instance;
  beacon.uptime = now - this->started;
  beacon.failure_domain = this->settings.failure_domain;
  beacon.callers_address = this->settings.callers_address;
  beacon.control_address = this->settings.control_address;
  beacon.processor_share = this->settings.processor_share;
  beacon.ready = this->beliefs.Ready(now);
  beacon.stopping = this->beliefs.stopping_since.has_value();
  beacon.leads = this->beliefs.leads;
  beacon.configuration_revision = this->beliefs.configuration_revision;
  beacon.configuration_age = this->beliefs.freshness.Age(now);
  beacon.endpoints_revision = this->beliefs.endpoints.ChangedAt();
  if (const auto confirmed = this->beliefs.endpoints.ConfirmedAt()) {
    beacon.endpoints_age = now - *confirmed;
  }
  beacon.stamp = now.since_start.count();
  beacon.loads = this->beliefs.loads.Own();
  beacon.suspicions = this->beliefs.loads.Suspicions(now, this->beliefs.leads);
  if (this->beliefs.leads) {
    beacon.facts = this->facts;
    beacon.fleet_loads = this->beliefs.loads.All();
  }
  return beacon;
}

void PeerLink::SendTo(const std::vector<std::string>& addresses) {
  if (addresses.empty()) return;
  const TimePoint now = this->loop.Now();
  gossip::Beacon beacon = this->MakeBeacon(now);
  const gossip::EncodedBeacon usual(beacon);
  const std::string leader = this->beliefs.peers.Leader(now);
  // In a large fleet only the leader adds up what the others have under way,
  // and tells all of them the sum: the single loads are most of a beacon.
  gossip::Beacon brief = beacon;
  if (this->beliefs.peers.Large(now)) brief.loads.clear();
  const gossip::EncodedBeacon to_followers(brief);
  // Whoever is not heard of may be new, and knows nobody yet.
  const auto known = this->beliefs.peers.Addresses(now);
  const std::size_t told = std::min(known.size(), kMostPeersTold);
  beacon.peers.assign(known.begin(),
                      known.begin() + static_cast<std::ptrdiff_t>(told));
  const gossip::EncodedBeacon introducing(beacon);
  for (const std::string& address : addresses) {
    const auto stamp = this->stamps.find(address);
    const Stamp last = stamp == this->stamps.end() ? Stamp{} : stamp->second;
    const bool live = this->beliefs.peers.Live(address, now) != nullptr;
    const gossip::EncodedBeacon& known_as =
        address == leader ? usual : to_followers;
    this->socket->Send(
        address, (live ? known_as : introducing).For(last.at, last.instance));
  }
}

void PeerLink::LogPeers(TimePoint now) {
  std::set<std::string> live;
  for (const gossip::Peer* peer : this->beliefs.peers.AllLive(now)) {
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
  if (!this->beliefs.peers.OnBeacon(sender, *beacon, now)) return;
  this->stamps[sender] = Stamp{beacon->instance, beacon->stamp};
  for (const std::string& address : beacon->peers) {
    if (address == this->settings.datagram_address) continue;
    this->beliefs.peers.AddAddress(address, now);
  }
  this->AdoptFrom(*beacon, now);
  this->FetchNewer(*beacon);
}

void PeerLink::AdoptFrom(const gossip::Beacon& beacon, TimePoint now) {
  for (const gossip::Suspicion& one : beacon.suspicions) {
    this->AdoptSuspicion(one, now);
  }
  if (beacon.leads) {
    for (const gossip::EngineFact& fact : beacon.facts) {
      this->beliefs.loads.SetFact(fact, now + kFactsFor);
    }
  }
  this->AdoptLoads(beacon, now);
  const auto configuration = this->beliefs.peers.ConfigurationVouched(
      this->beliefs.configuration_revision, now);
  if (configuration && this->beliefs.table) {
    this->beliefs.freshness.Confirm(*configuration);
  }
  const std::uint64_t revision = this->beliefs.endpoints.Revision();
  const auto listed = this->beliefs.peers.EndpointsVouched(revision, now);
  if (!listed || revision == 0) return;
  if (!this->beliefs.endpoints.Confirm(*listed, now)) return;
  this->lists.OnList(this->beliefs.endpoints, ListCause::kGraceOver, true, 0,
                     now);
}

void PeerLink::AdoptSuspicion(const gossip::Suspicion& one, TimePoint now) {
  LoadBook& loads = this->beliefs.loads;
  const TimePoint until = now + std::min(one.remaining, kLongestSuspicion);
  if (!one.silent) {
    loads.Suspect(one.endpoint, until);
    return;
  }
  if (!loads.HeardSilent(one.endpoint, until, now)) return;
  this->logger.Write(Level::kNotable, "peer_found_engine_silent",
                     Fields().Text("endpoint", one.endpoint), now);
  if (this->beliefs.leads && this->beliefs.peers.Large(now)) this->Announce();
  if (this->engine_silent) this->engine_silent(one.endpoint);
}

/// In a small fleet everybody's newest word adds up. In a large one those words
/// are seconds old, but for the leader's, which has heard all lately.
void PeerLink::AdoptLoads(const gossip::Beacon& beacon, TimePoint now) {
  const bool large = this->beliefs.peers.Large(now);
  if (large && !this->beliefs.leads) {
    if (beacon.leads) this->beliefs.loads.SetFleet(beacon.fleet_loads);
    return;
  }
  std::vector<gossip::EndpointLoad> loads;
  for (const gossip::Peer* peer : this->beliefs.peers.AllLive(now)) {
    const bool counts = !this->settings.mechanisms.silent_peers ||
                        now - peer->heard <= kLoadsCountFor;
    if (!counts) continue;
    const auto& theirs = peer->beacon.loads;
    loads.insert(loads.end(), theirs.begin(), theirs.end());
  }
  this->beliefs.loads.SetPeers(loads);
}

void PeerLink::FetchNewer(const gossip::Beacon& beacon) {
  if (beacon.configuration_revision > this->beliefs.configuration_revision &&
      !this->fetching_configuration) {
    this->FetchConfiguration(beacon.control_address);
  }
  if (beacon.endpoints_revision > this->beliefs.endpoints.Revision() &&
      !this->fetching_endpoints) {
    this->FetchEndpoints(beacon.control_address);
  }
}

void PeerLink::FetchConfiguration(const std::string& control_address) {
  this->fetching_configuration = true;
  http::Request request;
  request.target = std::string(kConfigurationPath);
  http::Fetch(this->loop, this->client, control_address, request, kFetchTimeout,
              [this](const http::CallResult& result,
                     const http::ResponseHead& head, const std::string& body) {
                this->fetching_configuration = false;
                const bool good = result.end == http::CallEnd::kComplete &&
                                  head.status == http::kOk;
                if (good) this->take_configuration(RevisionOf(head), body);
              });
}

void PeerLink::FetchEndpoints(const std::string& control_address) {
  this->fetching_endpoints = true;
  http::Request request;
  request.target = std::string(kEndpointsPath);
  http::Fetch(this->loop, this->client, control_address, request, kFetchTimeout,
              [this](const http::CallResult& result,
                     const http::ResponseHead& head, const std::string& body) {
                this->fetching_endpoints = false;
                const bool good = result.end == http::CallEnd::kComplete &&
                                  head.status == http::kOk;
                if (!good) return;
                auto listed = EndpointsFromText(body);
                if (!listed) return;
                const TimePoint now = this->loop.Now();
                const bool new_list =
                    this->beliefs.endpoints.Adopt(std::move(*listed), now);
                this->lists.OnList(this->beliefs.endpoints, ListCause::kPeer,
                                   new_list, 0, now);
                if (new_list) this->endpoints_changed();
              });
}

bool PeerLink::HandlePeer(http::Exchange& exchange) const {
  const std::string_view path = http::PathOf(exchange.Received().target);
  http::ResponseHead head;
  head.status = http::kOk;
  if (path == kConfigurationPath && this->beliefs.table) {
    head.headers.Add(std::string(kRevisionHeader),
                     absl::StrCat(this->beliefs.configuration_revision));
    exchange.Respond(head, this->beliefs.configuration_text);
    return true;
  }
  if (path == kEndpointsPath && this->beliefs.endpoints.ChangedAt() > 0) {
    exchange.Respond(
        head, EndpointsToText(this->beliefs.endpoints.Share(this->loop.Now())));
    return true;
  }
  return false;
}

}  // namespace toucanwharf::instance
