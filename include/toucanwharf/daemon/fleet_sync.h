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

/// How the fleet reads and brings forward the configuration of this router.
struct ConfigCallbacks {
  /// Returns the generation in force.
  std::function<std::uint64_t()> generation;
  /// Returns what a peer at a generation lacks, or nothing.
  std::function<std::optional<std::string>(std::uint64_t since)> update_for;
  /// Takes a peer's text; returns whether a new generation is in force.
  std::function<bool(const std::string& text)> take_update;
};

/// Sends an answer of this router to another one; see peers::Handlers::answer.
using AnswerSender =
    std::function<void(const std::string& request, std::uint64_t from,
                       const std::string& customer, peers::AnswerSink)>;

/// Keeps this router in touch with the others: who is there, who leaves, and
/// which configuration they have.
///
/// A router that sees a higher generation at a peer asks that peer for it, so
/// that a new instance gets the configuration also while the platform is down
/// (I7).
/// Thread safety: none; for the loop's thread.
class FleetSync {
 public:
  /// Precondition: all references outlive the object.
  FleetSync(transport::EventLoop& loop, const settings::Settings& settings,
            const Directory& directory, Metrics& metrics,
            ConfigCallbacks config, AnswerSender answers, std::uint64_t seed);

  /// Listens for peers and begins to talk. Precondition: called once.
  Result<void> Start();
  /// Tells the others that this router drains (I5).
  void AnnounceDrain() { this->peers.Leave(); }
  /// Returns whether the router \p id must be in no advice any more.
  bool IsDeparted(const std::string& id) const {
    return this->peers.IsDeparted(id);
  }
  /// Returns where peers reach the router that made the request id \p id, if
  /// it is another one and not known to be dead.
  std::optional<std::string> OriginOf(const std::string& id) const;
  /// Returns the client for calls to other routers.
  peers::PeerClient& Client() { return this->peers.Client(); }
  /// Returns the ids of the routers not known to be dead, this one included.
  std::vector<std::string> LiveRouters() const;

 private:
  void Tick();
  void FetchFromNewer();
  void Report();

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
