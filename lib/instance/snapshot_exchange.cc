#include "toucanwharf/instance/snapshot_exchange.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "toucanwharf/support/deflate.h"
#include "toucanwharf/support/json_text.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;
using Json = nlohmann::json;

constexpr Duration kFetchTimeout = std::chrono::milliseconds(500);
/// The instances of a large fleet spread their fetches over this time.
constexpr Duration kFetchSpread = std::chrono::milliseconds(250);
/// Delay before a failed fetch is retried: other peers have the snapshot by
/// then.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
/// After this many attempts the next beacon starts a new fetch.
constexpr int kMaxFetchAttempts = 10;
/// Maximum number of snapshots sent concurrently. Three of 100 KB take an
/// eighth of a second on a link of 20 Mbit/s, well within the fetch timeout.
constexpr std::size_t kMaxConcurrentSends = 3;
/// The store's largest value, and a list of some 20,000 endpoints.
constexpr std::size_t kMaxSnapshotBytes = 4UL * 1024 * 1024;

constexpr std::string_view kConfigurationPath = "/peer/configuration";
constexpr std::string_view kEndpointsPath = "/peer/endpoints";
constexpr std::string_view kRevisionHeader = "X-Revision";
constexpr std::string_view kEpochHeader = "X-Epoch";
constexpr std::string_view kAcceptHeader = "Accept-Encoding";
constexpr std::string_view kEncodingHeader = "Content-Encoding";
constexpr std::string_view kDeflate = "deflate";

std::uint64_t NumberIn(const http::ResponseHead& head, std::string_view name) {
  const std::string_view text = head.headers.Get(name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

store::Revision RevisionOf(const http::ResponseHead& head) {
  return {NumberIn(head, kEpochHeader), NumberIn(head, kRevisionHeader)};
}

Json ToJson(const std::vector<endpoints::Endpoint>& all) {
  Json entries = Json::array();
  for (const endpoints::Endpoint& endpoint : all) {
    entries.push_back(
        {endpoint.id, endpoint.start_time_ms, endpoint.service,
         endpoint.address, endpoint.failure_domain, endpoint.slots,
         endpoint.state == endpoints::EndpointState::kDraining, endpoint.kind,
         endpoint.layers.begin, endpoint.layers.end, endpoint.sequence});
  }
  return entries;
}

/// Precondition: the entries have the shape that ToJson writes; else throws.
std::vector<endpoints::Endpoint> FromJson(const Json& entries) {
  std::vector<endpoints::Endpoint> all;
  for (const Json& entry : entries) {
    endpoints::Endpoint endpoint;
    std::size_t column = 0;
    endpoint.id = entry.at(column++).get<std::string>();
    endpoint.start_time_ms = entry.at(column++).get<std::uint64_t>();
    endpoint.service = entry.at(column++).get<std::string>();
    endpoint.address = entry.at(column++).get<std::string>();
    endpoint.failure_domain = entry.at(column++).get<std::string>();
    endpoint.slots = entry.at(column++).get<std::uint32_t>();
    endpoint.state = entry.at(column++).get<bool>()
                         ? endpoints::EndpointState::kDraining
                         : endpoints::EndpointState::kReady;
    endpoint.kind = entry.at(column++).get<std::string>();
    endpoint.layers.begin = entry.at(column++).get<std::uint32_t>();
    endpoint.layers.end = entry.at(column++).get<std::uint32_t>();
    endpoint.sequence = entry.at(column++).get<std::uint64_t>();
    all.push_back(std::move(endpoint));
  }
  return all;
}

/// Returns the text that a peer sent, or nothing if it is incomplete. A peer of
/// an earlier build sends it without compression.
std::optional<std::string> TextOf(const http::ResponseHead& head,
                                  const std::string& body) {
  if (head.headers.Get(kEncodingHeader) != kDeflate) return body;
  return Inflate(body, kMaxSnapshotBytes);
}

}  // namespace

std::string EndpointsToText(const endpoints::EndpointListSnapshot& list) {
  return Json{{"epoch", list.revision.epoch},
              {"revision", list.revision.number},
              {"kept_for_us", list.retained_for.count()},
              {"entries", ToJson(list.endpoints)},
              {"kept", ToJson(list.retained)}}
      .dump();
}

std::optional<endpoints::EndpointListSnapshot> EndpointsFromText(
    const std::string& text) {
  const Json json = ParseJson(text);
  if (!json.is_object()) return std::nullopt;
  // A peer of another build may write another shape; such a list is rejected.
  try {
    endpoints::EndpointListSnapshot list;
    list.revision.epoch = json.at("epoch").get<std::uint64_t>();
    list.revision.number = json.at("revision").get<std::uint64_t>();
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
      endpoint_log(list_log),
      failure_domain(std::move(own_failure_domain)),
      random(HashText(shared_state.instance)) {}

void SnapshotExchange::Start(OnConfiguration on_configuration,
                             OnEndpoints on_endpoints) {
  this->apply_configuration = std::move(on_configuration);
  this->endpoints_changed = std::move(on_endpoints);
}

std::string SnapshotExchange::PathOf(Kind kind) {
  return std::string(kind == Kind::kConfiguration ? kConfigurationPath
                                                  : kEndpointsPath);
}

bool SnapshotExchange::IsNewer(const WantedSnapshot& wanted) const {
  if (wanted.kind == Kind::kEndpoints) {
    return wanted.endpoints > this->state.endpoints.Revision();
  }
  return wanted.configuration.IsNewerThan(this->state.configuration);
}

bool SnapshotExchange::Has(const gossip::Beacon& beacon,
                           const WantedSnapshot& wanted) {
  if (wanted.kind == Kind::kEndpoints) {
    return beacon.endpoints_revision >= wanted.endpoints;
  }
  return !wanted.configuration.IsNewerThan(beacon.configuration);
}

void SnapshotExchange::FetchNewer(const gossip::Beacon& beacon) {
  for (const Kind kind : {Kind::kConfiguration, Kind::kEndpoints}) {
    const WantedSnapshot wanted{kind, beacon.configuration,
                                beacon.endpoints_revision,
                                beacon.control_address, 0};
    if (!this->IsNewer(wanted)) continue;
    if (std::exchange(this->Fetching(kind), true)) continue;
    // A process without a snapshot cannot serve and fetches immediately.
    const bool spread =
        this->state.peers.IsLargeFleet(this->loop.Now()) && this->Has(kind);
    const Duration delay =
        spread ? this->RandomDelay(kFetchSpread) : Duration(0);
    this->FetchAfter(delay, wanted);
  }
}

void SnapshotExchange::FetchAfter(Duration delay,
                                  const WantedSnapshot& wanted) {
  this->loop.After(delay, [this, wanted] { this->Fetch(wanted); });
}

void SnapshotExchange::Fetch(const WantedSnapshot& wanted) {
  if (!this->IsNewer(wanted)) {
    this->Fetching(wanted.kind) = false;
    return;
  }
  http::Request request;
  request.target = PathOf(wanted.kind);
  request.headers.Add(std::string(kAcceptHeader), std::string(kDeflate));
  const std::string source = this->ChooseSource(wanted, this->loop.Now());
  http::Fetch(this->loop, this->client, source, request, kFetchTimeout,
              [this, wanted, source](const http::CallResult& result,
                                     const http::ResponseHead& head,
                                     const std::string& body) {
                const bool whole = result.end == http::CallEnd::kComplete;
                this->OnFetched(wanted, source, whole ? head.status : 0, head,
                                body);
              });
}

void SnapshotExchange::OnFetched(WantedSnapshot wanted,
                                 const std::string& source, int status,
                                 const http::ResponseHead& head,
                                 const std::string& body) {
  if (status == http::kOk && this->Apply(wanted.kind, head, body)) {
    this->Fetching(wanted.kind) = false;
    return;
  }
  ++wanted.attempts;
  const store::Revision& revision = wanted.kind == Kind::kEndpoints
                                        ? wanted.endpoints
                                        : wanted.configuration.revision;
  this->logger.Write(
      Level::kNotable, "peer_copy_not_fetched",
      Fields()
          .Text("path", PathOf(wanted.kind))
          .Text("source", source)
          .Count("revision", static_cast<std::int64_t>(revision.number))
          .Count("status", status)
          .Count("tries", wanted.attempts),
      this->loop.Now());
  if (wanted.attempts == kMaxFetchAttempts) {
    this->Fetching(wanted.kind) = false;
    return;
  }
  this->FetchAfter(kRetryDelay / 2 + this->RandomDelay(kRetryDelay), wanted);
}

bool SnapshotExchange::Apply(Kind kind, const http::ResponseHead& head,
                             const std::string& body) {
  const auto text = TextOf(head, body);
  if (!text) return false;
  if (kind == Kind::kEndpoints) return this->ApplyEndpoints(*text);
  this->apply_configuration(RevisionOf(head), *text);
  return true;
}

bool SnapshotExchange::ApplyEndpoints(const std::string& text) {
  auto listed = EndpointsFromText(text);
  if (!listed) return false;
  const TimePoint now = this->loop.Now();
  const bool new_list = this->state.endpoints.Adopt(std::move(*listed), now);
  this->endpoint_log.OnList(this->state.endpoints, ListCause::kPeer, new_list,
                            0, now);
  if (new_list) this->endpoints_changed();
  return true;
}

std::string SnapshotExchange::ChooseSource(const WantedSnapshot& wanted,
                                           TimePoint now) {
  if (!this->state.peers.IsLargeFleet(now)) return wanted.announcer;
  std::vector<const gossip::Peer*> nearby;
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    const gossip::Beacon& beacon = peer->beacon;
    // A peer whose last beacon is old may have departed.
    const bool recent = now - peer->last_beacon_at <= kFetchSpread * 2;
    const bool in_domain = beacon.failure_domain == this->failure_domain;
    if (recent && in_domain && Has(beacon, wanted)) nearby.push_back(peer);
  }
  if (nearby.empty()) return wanted.announcer;
  return nearby[this->random() % nearby.size()]->beacon.control_address;
}

Duration SnapshotExchange::RandomDelay(Duration max) {
  return Duration(static_cast<std::int64_t>(this->random.Unit() *
                                            static_cast<double>(max.count())));
}

bool SnapshotExchange::Has(Kind kind) const {
  return kind == Kind::kConfiguration
             ? this->state.route_table != nullptr
             : this->state.endpoints.ChangedRevision().IsSet();
}

const SnapshotExchange::Snapshot& SnapshotExchange::CurrentSnapshot(Kind kind) {
  const endpoints::EndpointTable& table = this->state.endpoints;
  const bool of_endpoints = kind == Kind::kEndpoints;
  Snapshot& copy = of_endpoints ? this->endpoints : this->configuration;
  const store::Revision& newest = of_endpoints
                                      ? table.ChangedRevision()
                                      : this->state.configuration.revision;
  // While endpoints are retained, the text states for how much longer.
  const std::size_t count = of_endpoints ? table.RetainedCount() : 0;
  if (copy.revision == newest && copy.retained == 0 && count == 0) return copy;
  copy.text = of_endpoints ? EndpointsToText(table.Share(this->loop.Now()))
                           : this->state.configuration_text;
  copy.deflated = Deflate(copy.text);
  copy.revision = newest;
  copy.retained = count;
  return copy;
}

bool SnapshotExchange::AtSendLimit() {
  std::erase_if(this->being_sent, [](const auto& exchange) {
    return exchange->IsDisconnected() || exchange->UnsentBytes() == 0;
  });
  return this->being_sent.size() >= kMaxConcurrentSends;
}

bool SnapshotExchange::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  const std::string path(http::PathOf(exchange->Received().target));
  for (const Kind kind : {Kind::kConfiguration, Kind::kEndpoints}) {
    if (path != PathOf(kind) || !this->Has(kind)) continue;
    http::ResponseHead head;
    if (this->AtSendLimit()) {
      head.status = http::kUnavailable;
      exchange->Respond(head, "");
      return true;
    }
    const Snapshot& snapshot = this->CurrentSnapshot(kind);
    const bool deflate =
        exchange->Received().headers.Get(kAcceptHeader) == kDeflate;
    head.status = http::kOk;
    head.headers.Add(std::string(kRevisionHeader),
                     absl::StrCat(snapshot.revision.number));
    head.headers.Add(std::string(kEpochHeader),
                     absl::StrCat(snapshot.revision.epoch));
    if (deflate) {
      head.headers.Add(std::string(kEncodingHeader), std::string(kDeflate));
    }
    exchange->Respond(head, deflate ? snapshot.deflated : snapshot.text);
    this->being_sent.push_back(exchange);
    return true;
  }
  return false;
}

}  // namespace toucanwharf::instance
