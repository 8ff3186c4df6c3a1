#ifndef TOUCANWHARF_INSTANCE_ADAPTER_H_
#define TOUCANWHARF_INSTANCE_ADAPTER_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/message.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/placement/order_tracker.h"
#include "toucanwharf/routes/configuration.h"
#include "toucanwharf/store/object.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::instance {

/// A request whose answer an endpoint cannot finish, because another endpoint
/// of its path is unresponsive.
struct StalledAnswer {
  std::string request_id;
  /// Address of the unresponsive endpoint.
  std::string address;

  friend bool operator==(const StalledAnswer&, const StalledAnswer&) = default;
};

/// The status that an endpoint reports on request.
struct EndpointReport {
  /// See endpoints::Endpoint.
  std::uint64_t start_time_ms = 0;
  placement::EngineReport engine;
  std::vector<StalledAnswer> stalled;

  friend bool operator==(const EndpointReport&,
                         const EndpointReport&) = default;
};

/// Tells the first engine of an answer's path to run the rest of the answer
/// along \p stages, which begin with that engine.
struct RerouteOrder {
  std::string request_id;
  std::vector<pipeline::Stage> stages;

  friend bool operator==(const RerouteOrder&, const RerouteOrder&) = default;
};

/// A caller's request for addresses to connect to.
struct EntryRequest {
  std::string failure_domain;

  friend bool operator==(const EntryRequest&, const EntryRequest&) = default;
};

/// Longest answer of an endpoint to a report, a probe or an order, in bytes:
/// some KiB. Parsed it takes a multiple.
inline constexpr std::size_t kMaxReportBytes = 128UL * 1024;

/// A store call fails after this time without a byte of its answer. A slow
/// store takes a quarter of a second.
inline constexpr Duration kStoreInactivityTimeout =
    std::chrono::milliseconds(600);
/// Time limit for the whole answer. When all instances of a large fleet restart
/// and read concurrently, each receives a configuration of 300 KB within a
/// second.
inline constexpr Duration kStoreResponseTimeout =
    std::chrono::milliseconds(3000);

/// The store's calls. Every callback runs once, asynchronously, on the loop's
/// thread.
template <typename S>
concept ObjectStore = requires(
    S& store, const store::ObjectKey& key, const store::Write& write,
    const std::string& collection, std::function<void(store::ReadAnswer)> read,
    std::function<void(store::WriteAnswer)> written,
    std::function<void(std::uint64_t)> epoch_seen,
    std::function<void(std::optional<store::Listing>)> listed) {
  store.Read(key, read);
  store.Write(write, written);
  store.List(collection, listed);
  store.Remove(key);
  // Called with the epoch in each answer, before the answer's own callback.
  store.OnEpoch(epoch_seen);
  { store.UnreadableEpochs() } -> std::same_as<std::uint64_t>;
};

/// Names, formats and calls of a deployment. An adapter only translates and
/// makes no decisions; the rest of this library is the same on every
/// deployment.
template <typename A>
concept Adapter = requires(const std::string& text, std::string_view target,
                           const store::Object& object,
                           const placement::PlaceOrder& order,
                           const RerouteOrder& reroute, int status,
                           const std::vector<std::string>& addresses,
                           Duration length) {
  requires ObjectStore<typename A::Store>;
  { A::Headers() } -> std::same_as<HeaderNames>;
  { A::ConfigurationKey() } -> std::same_as<store::ObjectKey>;
  { A::EndpointCollection() } -> std::same_as<std::string>;
  { A::InstanceCollection() } -> std::same_as<std::string>;
  { A::QuarantineCollection() } -> std::same_as<std::string>;
  {
    A::ToConfiguration(text)
    } -> std::same_as<std::optional<routes::Configuration>>;
  { A::ToEndpoint(object) } -> std::same_as<std::optional<endpoints::Endpoint>>;
  { A::ReportRequest() } -> std::same_as<http::Request>;
  { A::ToReport(text) } -> std::same_as<std::optional<EndpointReport>>;
  { A::OrderRequest(order) } -> std::same_as<http::Request>;
  { A::RerouteRequest(reroute) } -> std::same_as<http::Request>;
  { A::ToRerouteFault(text) } -> std::same_as<std::string>;
  { A::PathText(reroute.stages) } -> std::same_as<std::string>;
  { A::ToOrderOutcome(status) } -> std::same_as<placement::OrderOutcome>;
  { A::IsReadinessRequest(target) } -> std::same_as<bool>;
  { A::ToEntryRequest(target) } -> std::same_as<std::optional<EntryRequest>>;
  { A::EntryResponse(addresses, length) } -> std::same_as<std::string>;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ADAPTER_H_
