#include "toucanwharf/instance/snapshot_exchange.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "toucanwharf/support/deflate.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;
using Json = nlohmann::json;

constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);
/// What all instances of a large fleet fetch they fetch within this time.
constexpr Duration kFetchSpread = std::chrono::milliseconds(250);
/// Until a fetch that ended in vain is tried anew: others have copies by then.
constexpr Duration kTryAgainAfter = std::chrono::milliseconds(100);
/// After so many tries the next beacon begins anew.
constexpr int kMostTries = 10;
/// So many copies are handed out at once. Three of 100 KB take an eighth of a
/// second on a link of 20 Mbit/s, well within a fetch's time.
constexpr std::size_t kHandedOutAtOnce = 3;
/// The store's largest value, and a list of some 20,000 endpoints.
constexpr std::size_t kMostBytes = 4UL * 1024 * 1024;

constexpr std::string_view kConfigurationPath = "/peer/configuration";
constexpr std::string_view kEndpointsPath = "/peer/endpoints";
constexpr std::string_view kRevisionHeader = "X-Revision";
constexpr std::string_view kAcceptHeader = "Accept-Encoding";
constexpr std::string_view kEncodingHeader = "Content-Encoding";
constexpr std::string_view kDeflate = "deflate";

std::uint64_t RevisionOf(const http::ResponseHead& head) {
  const std::string_view text = head.headers.Get(kRevisionHeader);
  std::uint64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

Json ToJson(const std::vector<endpoints::Endpoint>& all) {
  Json entries = Json::array();
  for (const endpoints::Endpoint& one : all) {
    entries.push_back({one.id, one.start_time_ms, one.service, one.address,
                       one.failure_domain, one.slots,
                       one.state == endpoints::EndpointState::kDraining,
                       one.kind, one.layers.begin, one.layers.end,
                       one.sequence});
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
    endpoint.start_time_ms = one.at(at++).get<std::uint64_t>();
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

/// Returns the text that a peer sent, or nothing if it is not whole. A peer of
/// an earlier build sends it as it is.
std::optional<std::string> TextOf(const http::ResponseHead& head,
                                  const std::string& body) {
  if (head.headers.Get(kEncodingHeader) != kDeflate) return body;
  return Inflate(body, kMostBytes);
}

}  // namespace

std::string EndpointsToText(const endpoints::EndpointListSnapshot& list) {
  return Json{{"revision", list.revision},
              {"kept_for_us", list.retained_for.count()},
              {"entries", ToJson(list.endpoints)},
              {"kept", ToJson(list.retained)}}
      .dump();
}

std::optional<endpoints::EndpointListSnapshot> EndpointsFromText(
    const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  // A peer of another build may write another shape; such a list is none.
  try {
    endpoints::EndpointListSnapshot list;
    list.revision = json.at("revision").get<std::uint64_t>();
    list.retained_for = Duration(json.at("kept_for_us").get<std::int64_t>());
    list.endpoints = FromJson(json.at("entries"));
    list.retained = FromJson(json.at("kept"));
    return list;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

SnapshotExchange::SnapshotExchange(http::Loop& event_loop,
                                   http::Client& http_client,
                                   InstanceState& shared_state,
                                   eventlog::Logger& log,
                                   EndpointListLog& list_log,
                                   std::string own_failure_domain)
    : loop(event_loop),
      client(http_client),
      state(shared_state),
      logger(log),
      lists(list_log),
      failure_domain(std::move(own_failure_domain)),
      random(HashText(shared_state.instance)) {}

void SnapshotExchange::Start(OnConfiguration on_configuration,
                             OnEndpoints on_endpoints) {
  this->take_configuration = std::move(on_configuration);
  this->endpoints_changed = std::move(on_endpoints);
}

std::string SnapshotExchange::PathOf(Kind kind) {
  return std::string(kind == Kind::kConfiguration ? kConfigurationPath
                                                  : kEndpointsPath);
}

std::uint64_t SnapshotExchange::RevisionIn(const gossip::Beacon& beacon,
                                           Kind kind) {
  return kind == Kind::kConfiguration ? beacon.configuration_revision
                                      : beacon.endpoints_revision;
}

std::uint64_t SnapshotExchange::KnownHere(Kind kind) const {
  return kind == Kind::kConfiguration ? this->state.configuration_revision
                                      : this->state.endpoints.Revision();
}

void SnapshotExchange::FetchNewer(const gossip::Beacon& beacon) {
  for (const Kind kind : {Kind::kConfiguration, Kind::kEndpoints}) {
    const std::uint64_t revision = RevisionIn(beacon, kind);
    if (revision <= this->KnownHere(kind)) continue;
    if (std::exchange(this->Fetching(kind), true)) continue;
    // A process that has none serves nobody until it comes.
    const bool waits = this->state.peers.IsLargeFleet(this->loop.Now()) &&
                       this->KnownHere(kind) > 0;
    const Duration delay = waits ? this->UpTo(kFetchSpread) : Duration(0);
    this->FetchAfter(delay, {kind, revision, beacon.control_address, 0});
  }
}

void SnapshotExchange::FetchAfter(Duration delay, const Wanted& wanted) {
  this->loop.After(delay, [this, wanted] { this->Fetch(wanted); });
}

void SnapshotExchange::Fetch(const Wanted& wanted) {
  if (wanted.revision <= this->KnownHere(wanted.kind)) {
    this->Fetching(wanted.kind) = false;
    return;
  }
  http::Request request;
  request.target = PathOf(wanted.kind);
  request.headers.Add(std::string(kAcceptHeader), std::string(kDeflate));
  const std::string source = this->SourceOf(wanted, this->loop.Now());
  http::Fetch(this->loop, this->client, source, request, kFetchTimeout,
              [this, wanted, source](const http::CallResult& result,
                                     const http::ResponseHead& head,
                                     const std::string& body) {
                const bool whole = result.end == http::CallEnd::kComplete;
                this->OnFetched(wanted, source, whole ? head.status : 0, head,
                                body);
              });
}

void SnapshotExchange::OnFetched(Wanted wanted, const std::string& source,
                                 int status, const http::ResponseHead& head,
                                 const std::string& body) {
  if (status == http::kOk && this->Take(wanted.kind, head, body)) {
    this->Fetching(wanted.kind) = false;
    return;
  }
  ++wanted.tries;
  this->logger.Write(
      Level::kNotable, "peer_copy_not_fetched",
      Fields()
          .Text("path", PathOf(wanted.kind))
          .Text("source", source)
          .Count("revision", static_cast<std::int64_t>(wanted.revision))
          .Count("status", status)
          .Count("tries", wanted.tries),
      this->loop.Now());
  if (wanted.tries == kMostTries) {
    this->Fetching(wanted.kind) = false;
    return;
  }
  this->FetchAfter(kTryAgainAfter / 2 + this->UpTo(kTryAgainAfter), wanted);
}

bool SnapshotExchange::Take(Kind kind, const http::ResponseHead& head,
                            const std::string& body) {
  const auto text = TextOf(head, body);
  if (!text) return false;
  if (kind == Kind::kEndpoints) return this->TakeEndpoints(*text);
  this->take_configuration(RevisionOf(head), *text);
  return true;
}

bool SnapshotExchange::TakeEndpoints(const std::string& text) {
  auto listed = EndpointsFromText(text);
  if (!listed) return false;
  const TimePoint now = this->loop.Now();
  const bool new_list = this->state.endpoints.Adopt(std::move(*listed), now);
  this->lists.OnList(this->state.endpoints, ListCause::kPeer, new_list, 0, now);
  if (new_list) this->endpoints_changed();
  return true;
}

std::string SnapshotExchange::SourceOf(const Wanted& wanted, TimePoint now) {
  if (!this->state.peers.IsLargeFleet(now)) return wanted.teller;
  std::vector<const gossip::Peer*> near;
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    const gossip::Beacon& beacon = peer->beacon;
    // A peer that was heard of long ago may be gone.
    const bool lately = now - peer->last_beacon_at <= kFetchSpread * 2;
    const bool has = RevisionIn(beacon, wanted.kind) >= wanted.revision;
    const bool in_domain = beacon.failure_domain == this->failure_domain;
    if (lately && has && in_domain) near.push_back(peer);
  }
  if (near.empty()) return wanted.teller;
  return near[this->random() % near.size()]->beacon.control_address;
}

Duration SnapshotExchange::UpTo(Duration most) {
  return Duration(static_cast<std::int64_t>(this->random.Unit() *
                                            static_cast<double>(most.count())));
}

bool SnapshotExchange::Has(Kind kind) const {
  return kind == Kind::kConfiguration
             ? this->state.table != nullptr
             : this->state.endpoints.ChangedRevision() > 0;
}

const SnapshotExchange::Copy& SnapshotExchange::Renewed(Kind kind) {
  const endpoints::EndpointTable& table = this->state.endpoints;
  const bool of_endpoints = kind == Kind::kEndpoints;
  Copy& copy = of_endpoints ? this->endpoints : this->configuration;
  const std::uint64_t revision = of_endpoints
                                     ? table.ChangedRevision()
                                     : this->state.configuration_revision;
  // While endpoints are kept the text tells for how much longer.
  const std::size_t kept = of_endpoints ? table.RetainedCount() : 0;
  if (copy.revision == revision && copy.kept == 0 && kept == 0) return copy;
  copy.text = of_endpoints ? EndpointsToText(table.Share(this->loop.Now()))
                           : this->state.configuration_text;
  copy.deflated = Deflate(copy.text);
  copy.revision = revision;
  copy.kept = kept;
  return copy;
}

bool SnapshotExchange::Busy() {
  std::erase_if(this->handing_out, [](const auto& one) {
    return one->IsDisconnected() || one->UnsentBytes() == 0;
  });
  return this->handing_out.size() >= kHandedOutAtOnce;
}

bool SnapshotExchange::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  const std::string path(http::PathOf(exchange->Received().target));
  for (const Kind kind : {Kind::kConfiguration, Kind::kEndpoints}) {
    if (path != PathOf(kind) || !this->Has(kind)) continue;
    http::ResponseHead head;
    if (this->Busy()) {
      head.status = http::kUnavailable;
      exchange->Respond(head, "");
      return true;
    }
    const Copy& copy = this->Renewed(kind);
    const bool deflate =
        exchange->Received().headers.Get(kAcceptHeader) == kDeflate;
    head.status = http::kOk;
    head.headers.Add(std::string(kRevisionHeader), absl::StrCat(copy.revision));
    if (deflate) {
      head.headers.Add(std::string(kEncodingHeader), std::string(kDeflate));
    }
    exchange->Respond(head, deflate ? copy.deflated : copy.text);
    this->handing_out.push_back(exchange);
    return true;
  }
  return false;
}

}  // namespace toucanwharf::instance
