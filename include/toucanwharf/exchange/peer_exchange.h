#ifndef TOUCANWHARF_EXCHANGE_PEER_EXCHANGE_H_
#define TOUCANWHARF_EXCHANGE_PEER_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "toucanwharf/membership/membership.h"
#include "toucanwharf/peers/client.h"
#include "toucanwharf/peers/server.h"
#include "toucanwharf/settings/settings.h"
#include "toucanwharf/support/result.h"
#include "toucanwharf/transport/event_loop.h"

/// What one router exchanges with the others.
namespace toucanwharf::exchange {

/// What the daemon answers to other routers, on the loop's thread.
struct PeerCallbacks {
  /// See peers::Handlers::config.
  std::function<std::optional<std::string>(std::uint64_t since)> config;
  /// See peers::Handlers::answer.
  std::function<void(const std::string& request, std::uint64_t from,
                     const std::string& customer, peers::AnswerSink)>
      answer;
};

/// Counts since the start.
struct Counters {
  std::uint64_t probes_sent = 0;
  std::uint64_t probes_received = 0;
  std::uint64_t probes_failed = 0;
  /// Gossip in messages sent and received; the frames round it come on top.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;

  friend bool operator==(const Counters&, const Counters&) = default;
};

/// Joins membership with gRPC and the event loop.
/// Thread safety: none; all methods on the loop's thread, or before it runs.
class PeerExchange {
 public:
  /// Uses the peers' addresses, key and instance id of \p router_settings.
  /// Precondition: \p event_loop outlives the exchange.
  PeerExchange(transport::EventLoop& event_loop,
               const settings::Settings& router_settings,
               PeerCallbacks answered);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Listens for peers and begins to probe. Precondition: called once.
  Result<void> Start();
  /// Takes in the routers of the platform's list: ids, and the addresses at
  /// which peers reach them.
  void OnList(const std::vector<membership::Seed>& list);
  /// Tells all others that this router drains (I5).
  void Leave();
  /// Shares an own item; see membership::View::Publish.
  bool Publish(membership::ItemKind kind, const std::string& key,
               const std::string& value);
  /// Returns the members not known to be dead, this one included.
  std::vector<membership::Member> Present() const;
  /// Returns whether \p id said that it leaves, or is known to be dead. Of an
  /// instance never heard of, nothing is known.
  bool IsDeparted(const std::string& id) const;
  /// Returns all members' items of \p kind.
  std::vector<membership::Item> Items(membership::ItemKind kind) const;
  /// Returns whether this router is one of the \p count that watch
  /// \p endpoint, and as which (0 first); \p count if it is none.
  std::size_t ObserverRank(const std::string& endpoint,
                           std::size_t count) const;
  /// Returns the client, for configuration and answers of others.
  peers::PeerClient& Client() { return *this->client; }
  /// Returns the counts since the start.
  Counters Counts() const { return this->counters; }
  /// Returns the port that peers reach. Precondition: Start succeeded.
  int Port() const { return this->server->Port(); }

 private:
  void Tick();
  void Send(const membership::Probe& probe);
  membership::Message Answer(const membership::Message& message);
  void PassOn(const std::string& address, const membership::Message& message,
              peers::PeerClient::OnMessage done);
  peers::Handlers MakeHandlers();

  transport::EventLoop& loop;
  settings::Settings settings;
  PeerCallbacks callbacks;
  membership::Settings limits;
  membership::Membership members;
  Counters counters;
  /// Tasks that outlive the exchange find it gone. Before `post`, which uses
  /// it.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  peers::Post post;
  std::unique_ptr<peers::PeerClient> client;
  std::unique_ptr<peers::PeerServer> server;
  transport::TimerId timer = 0;
};

}  // namespace toucanwharf::exchange

#endif  // TOUCANWHARF_EXCHANGE_PEER_EXCHANGE_H_
