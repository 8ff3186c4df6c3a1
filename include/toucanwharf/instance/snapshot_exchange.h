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

/// Hands the configuration and the list of endpoints to peers, and fetches from
/// them what they have newer.
///
/// Load that it answers: a configuration of 1,240 routes has 290 KB, and 295
/// instances hear of it from the leader within a quarter of a second. If all
/// fetched it there, its link would be full for seconds: their fetches time out
/// and begin anew, the leader's own reads of the store fail behind them, and
/// the list of endpoints doesn't come through either, so that endpoints that
/// have left go on getting requests (I5, I7). So copies are deflated; an
/// instance hands out a few at a time and turns others away at once; and these
/// find one that has a copy by now, in their own failure domain if they can.
/// Thread safety: only on the loop's thread.
class SnapshotExchange {
 public:
  /// Called with the store's revision and the text of a newer configuration.
  using OnConfiguration =
      std::function<void(std::uint64_t revision, const std::string& text)>;
  /// Called after the list of endpoints has changed.
  using OnEndpoints = std::function<void()>;

  /// Precondition: all references outlive the object.
  SnapshotExchange(http::Loop& event_loop, http::Client& http_client,
                   InstanceState& shared_state, eventlog::Logger& log,
                   EndpointListLog& list_log, std::string own_failure_domain);

  /// Sets whom to tell. Precondition: called before all others.
  void Start(OnConfiguration on_configuration, OnEndpoints on_endpoints);
  /// Fetches what the sender of \p beacon has newer.
  void FetchNewer(const gossip::Beacon& beacon);
  /// Answers a peer's request; false if it is for nothing of this.
  bool Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  enum class Kind { kConfiguration, kEndpoints };

  /// What is fetched, and who told of it.
  struct Wanted {
    Kind kind = Kind::kConfiguration;
    std::uint64_t revision = 0;
    /// Control address.
    std::string teller;
    int tries = 0;
  };

  /// What is handed out of one kind.
  struct Copy {
    std::string text;
    std::string deflated;
    std::uint64_t revision = 0;
    /// How many endpoints it says are kept, and for how much longer.
    std::size_t kept = 0;
  };

  static std::string PathOf(Kind kind);
  static std::uint64_t RevisionIn(const gossip::Beacon& beacon, Kind kind);
  /// Returns the revision that is known here.
  std::uint64_t KnownHere(Kind kind) const;
  bool& Fetching(Kind kind) {
    return kind == Kind::kConfiguration ? this->fetching_configuration
                                        : this->fetching_endpoints;
  }
  void FetchAfter(Duration delay, const Wanted& wanted);
  void Fetch(const Wanted& wanted);
  /// Ends the fetch of \p wanted from \p source, or tries anew soon. \p status
  /// is 0 for no whole answer.
  void OnFetched(Wanted wanted, const std::string& source, int status,
                 const http::ResponseHead& head, const std::string& body);
  /// Puts what came into use; false if it is no copy.
  bool Take(Kind kind, const http::ResponseHead& head, const std::string& body);
  bool TakeEndpoints(const std::string& text);
  /// Returns an instance that has what is wanted: one in the own failure domain
  /// if there is, else the one that told of it.
  std::string SourceOf(const Wanted& wanted, TimePoint now);
  /// Returns a time of up to \p most, drawn at random.
  Duration UpTo(Duration most);
  /// Returns whether there is anything to hand out.
  bool Has(Kind kind) const;
  /// Returns what is handed out, as it is now.
  const Copy& Renewed(Kind kind);
  /// Returns whether as many copies are under way as may be.
  bool Busy();

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  eventlog::Logger& logger;
  EndpointListLog& lists;
  std::string failure_domain;
  OnConfiguration take_configuration;
  OnEndpoints endpoints_changed;
  Random random;
  /// Whether a fetch runs, or waits for its turn.
  bool fetching_configuration = false;
  bool fetching_endpoints = false;
  Copy configuration;
  Copy endpoints;
  /// Answers that peers may still be reading.
  std::vector<std::shared_ptr<http::Exchange>> handing_out;
};

/// Returns \p list as text, for one instance to hand to another.
/// Thread safety: safe.
std::string EndpointsToText(const endpoints::EndpointListSnapshot& list);
/// The way back; nothing for a text that is no such list. Thread safety: safe.
std::optional<endpoints::EndpointListSnapshot> EndpointsFromText(
    const std::string& text);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_SNAPSHOT_EXCHANGE_H_
