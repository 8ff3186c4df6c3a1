#ifndef TOUCANWHARF_DAEMON_FLEET_SYNC_H_
#define TOUCANWHARF_DAEMON_FLEET_SYNC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/daemon/directory.h"
#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/exchange/peer_exchange.h"
#include "toucanwharf/settings/settings.h"
#include "toucanwharf/support/random.h"
#include "toucanwharf/support/result.h"
#include "toucanwharf/transport/event_loop.h"

namespace toucanwharf::daemon {

/// Access to this router's configuration for the exchange with peers.
struct ConfigCallbacks {
  /// Returns the generation in force.
  std::function<std::uint64_t()> generation;
  /// Returns the update for a peer at generation \p since, encoded, or nothing
  /// when the peer is up to date.
  std::function<std::optional<std::string>(std::uint64_t since)> update_for;
  /// Applies a peer's encoded update; returns whether a new generation is in
  /// force.
  std::function<bool(const std::string& text)> apply_update;
};

/// Sends an answer that this router runs to another router; see
/// peers::Handlers::answer.
using AnswerSender =
    std::function<void(const std::string& request, std::uint64_t from,
                       const std::string& customer, peers::AnswerSink)>;

/// Exchanges membership, drains and configuration generations with the other
/// routers.
///
/// A router that sees a higher generation at a peer fetches it from that peer,
/// so that a new instance gets the configuration even while the platform is
/// unavailable (I7).
/// Thread safety: none; for the loop's thread.
class FleetSync {
 public:
  /// Precondition: all references outlive the object.
  FleetSync(transport::EventLoop& loop, const settings::Settings& settings,
            const Directory& directory, Metrics& metrics,
            ConfigCallbacks config, AnswerSender answer_sender,
            std::uint64_t seed);

  /// Listens for peers and starts the exchange. Precondition: called once.
  Result<void> Start();
  /// Announces to the peers that this router drains (I5).
  void AnnounceDrain() { this->peers.Leave(); }
  /// Returns whether the router \p id left or failed, so that entry advice must
  /// not name it.
  bool IsDeparted(const std::string& id) const {
    return this->peers.IsDeparted(id);
  }
  /// Returns the peer address of the router that issued the request id \p id,
  /// if it is another router that is not known to have failed.
  std::optional<std::string> OriginOf(const std::string& id) const;
  /// Returns the client for calls to other routers.
  peers::PeerClient& Client() { return this->peers.Client(); }
  /// Returns the ids of the routers not known to have failed, including this
  /// one.
  std::vector<std::string> LiveRouters() const;

 private:
  void Tick();
  void FetchNewerConfig();
  void ExportMetrics();

  transport::EventLoop& loop;
  const settings::Settings& settings;
  const Directory& directory;
  Metrics& metrics;
  ConfigCallbacks config;
  Random random;
  bool fetching = false;
  exchange::PeerExchange peers;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_FLEET_SYNC_H_
