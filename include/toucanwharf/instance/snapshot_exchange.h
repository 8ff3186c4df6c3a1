#ifndef TOUCANWHARF_INSTANCE_SNAPSHOT_EXCHANGE_H_
#define TOUCANWHARF_INSTANCE_SNAPSHOT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/gossip/beacon.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/endpoint_list_log.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {

/// Serves snapshots of the configuration and the list of endpoints to peers,
/// and fetches newer ones from them. Owned by PeerLink.
///
/// Load: a configuration of 1,240 routes has 290 KB, and the leader's beacons
/// announce it to 295 instances within a quarter of a second. If all fetched it
/// from the leader, its link would be saturated for seconds: fetches would time
/// out and restart, the leader's own store reads would fail behind them, and
/// the list of endpoints would not get through either, so that endpoints that
/// have departed would still receive requests (I5, I7). Therefore snapshots are
/// deflated; an instance sends only a few concurrently and refuses further
/// requests immediately; and the refused ones choose a peer that has the
/// snapshot by then, in their own failure domain if possible.
/// Thread safety: only on the loop's thread.
class SnapshotExchange {
 public:
  /// Called with the store's revision and the text of a newer configuration.
  using OnConfiguration = std::function<void(const store::Revision& revision,
                                             const std::string& text)>;
  /// Called after a change of the list of endpoints.
  using OnEndpoints = std::function<void()>;

  /// Precondition: all references outlive the object.
  SnapshotExchange(http::Loop& event_loop, http::Client& http_client,
                   InstanceState& shared_state, eventlog::Logger& log,
                   EndpointListLog& list_log, std::string own_failure_domain);

  /// Sets the callbacks. Precondition: called before all other functions.
  void Start(OnConfiguration on_configuration, OnEndpoints on_endpoints);
  /// Fetches the snapshots that are newer at the sender of \p beacon.
  void FetchNewer(const gossip::Beacon& beacon);
  /// Handles a peer's request. Returns false if it is for no snapshot.
  bool Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  enum class Kind { kConfiguration, kEndpoints };

  /// A snapshot to fetch, and the peer that announced it.
  struct WantedSnapshot {
    Kind kind = Kind::kConfiguration;
    /// Which configuration, or which list of endpoints.
    gossip::ConfigurationId configuration;
    store::Revision endpoints;
    /// Control address.
    std::string announcer;
    int attempts = 0;
  };

  /// The snapshot of one kind that is served to peers.
  struct Snapshot {
    std::string text;
    std::string deflated;
    store::Revision revision;
    /// Number of retained endpoints in it, whose remaining time it states.
    std::size_t retained = 0;
  };

  static std::string PathOf(Kind kind);
  /// Returns whether \p wanted is newer than what this instance has.
  bool IsNewer(const WantedSnapshot& wanted) const;
  /// Returns whether the sender of \p beacon has \p wanted, or a newer one.
  static bool Has(const gossip::Beacon& beacon, const WantedSnapshot& wanted);
  bool& Fetching(Kind kind) {
    return kind == Kind::kConfiguration ? this->fetching_configuration
                                        : this->fetching_endpoints;
  }
  void FetchAfter(Duration delay, const WantedSnapshot& wanted);
  void Fetch(const WantedSnapshot& wanted);
  /// Completes the fetch of \p wanted from \p source, or schedules a retry.
  /// \p status is 0 for an incomplete answer.
  void OnFetched(WantedSnapshot wanted, const std::string& source, int status,
                 const http::ResponseHead& head, const std::string& body);
  /// Applies a fetched snapshot; false if it is malformed.
  bool Apply(Kind kind, const http::ResponseHead& head,
             const std::string& body);
  bool ApplyEndpoints(const std::string& text);
  /// Returns a peer that has the wanted snapshot: one in this instance's
  /// failure domain if there is any, else the one that announced it.
  std::string ChooseSource(const WantedSnapshot& wanted, TimePoint now);
  /// Returns a random duration of up to \p max.
  Duration RandomDelay(Duration max);
  /// Returns whether there is a snapshot to serve.
  bool Has(Kind kind) const;
  /// Returns the snapshot to serve, updated if it is outdated.
  const Snapshot& CurrentSnapshot(Kind kind);
  /// Returns whether the maximum number of snapshots is being sent.
  bool AtSendLimit();

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  eventlog::Logger& logger;
  EndpointListLog& endpoint_log;
  std::string failure_domain;
  OnConfiguration apply_configuration;
  OnEndpoints endpoints_changed;
  Random random;
  /// Whether a fetch is in progress or scheduled.
  bool fetching_configuration = false;
  bool fetching_endpoints = false;
  Snapshot configuration;
  Snapshot endpoints;
  /// Answers that may not have been sent completely.
  std::vector<std::shared_ptr<http::Exchange>> being_sent;
};

/// Serializes \p list for another instance. Thread safety: safe.
std::string EndpointsToText(const endpoints::EndpointListSnapshot& list);
/// Parses a list; returns nothing for any other text. Thread safety: safe.
std::optional<endpoints::EndpointListSnapshot> EndpointsFromText(
    const std::string& text);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_SNAPSHOT_EXCHANGE_H_
