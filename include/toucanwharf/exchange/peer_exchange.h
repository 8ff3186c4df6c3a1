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

/// Exchange of membership, configuration and answers between routers.
namespace toucanwharf::exchange {

/// Callbacks that serve the requests of other routers, on the loop's thread.
struct PeerCallbacks {
  /// See peers::Handlers::config.
  std::function<std::optional<std::string>(std::uint64_t since)> config;
  /// See peers::Handlers::answer.
  std::function<void(const std::string& request, std::uint64_t from,
                     const std::string& customer, peers::AnswerSink)>
      answer;
};

/// Counters since the start of the process.
struct Counters {
  std::uint64_t probes_sent = 0;
  std::uint64_t probes_received = 0;
  std::uint64_t probes_failed = 0;
  /// Encoded gossip sent and received, without the framing around it.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;

  friend bool operator==(const Counters&, const Counters&) = default;
};

/// Runs the membership protocol over gRPC on the event loop. The daemon owns
/// it. Thread safety: none; all methods on the loop's thread, or before it
/// runs.
class PeerExchange {
 public:
  /// Uses the peers' addresses, key and instance id of \p router_settings.
  /// Precondition: \p event_loop outlives the exchange.
  PeerExchange(transport::EventLoop& event_loop,
               const settings::Settings& router_settings,
               PeerCallbacks peer_callbacks);
  ~PeerExchange();
  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  /// Listens for peers and starts probing. Precondition: called once.
  Result<void> Start();
  /// Updates the routers that the platform lists: ids, and the addresses at
  /// which peers reach them.
  void OnList(const std::vector<membership::Seed>& list);
  /// Announces to all members that this router drains (I5).
  void Leave();
  /// Publishes an item of this router; see membership::View::Publish.
  bool Publish(membership::ItemKind kind, const std::string& key,
               const std::string& value);
  /// Returns the members not known to be dead, this one included.
  std::vector<membership::Member> Present() const;
  /// Returns whether \p id announced that it leaves, or is known to be dead;
  /// false for an unknown instance.
  bool IsDeparted(const std::string& id) const;
  /// Returns all members' items of \p kind.
  std::vector<membership::Item> Items(membership::ItemKind kind) const;
  /// Returns this router's rank, from 0, among the \p count observers of
  /// \p endpoint; \p count if it isn't one of them.
  std::size_t ObserverRank(const std::string& endpoint,
                           std::size_t count) const;
  /// Returns the client, to fetch configuration and answers from peers.
  peers::PeerClient& Client() { return *this->client; }
  /// Returns the counts since the start.
  Counters Counts() const { return this->counters; }
  /// Returns the port that peers connect to. Precondition: Start succeeded.
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
  /// Expires with the exchange, so that tasks which outlive it do nothing.
  /// Declared before `post`, which uses it.
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
  peers::Post post;
  std::unique_ptr<peers::PeerClient> client;
  std::unique_ptr<peers::PeerServer> server;
  transport::TimerId timer = 0;
};

}  // namespace toucanwharf::exchange

#endif  // TOUCANWHARF_EXCHANGE_PEER_EXCHANGE_H_
