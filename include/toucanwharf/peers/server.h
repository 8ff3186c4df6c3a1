#ifndef TOUCANWHARF_PEERS_SERVER_H_
#define TOUCANWHARF_PEERS_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "toucanwharf/membership/values.h"
#include "toucanwharf/peers/client.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::peers {

/// Receives the parts of a resumed answer. Both functions may be called from
/// several threads, also after the call has ended.
struct AnswerSink {
  /// Sends the next part. Returns false once the other router has disconnected
  /// or is too slow.
  std::function<bool(std::string part)> write;
  /// Ends the answer; \p complete tells the other router whether it is whole.
  std::function<void(bool complete)> end;
};

/// Handlers of the requests of other routers. All run through Post.
struct Handlers {
  /// Processes a probe and returns the answer.
  std::function<membership::Message(const membership::Message&)> probe;
  /// Forwards a probe to an address; the callback gets the answer.
  std::function<void(const std::string& address, const membership::Message&,
                     PeerClient::OnMessage)>
      pass_on;
  /// Returns the configuration after a generation; nothing if that generation
  /// can't be served.
  std::function<std::optional<std::string>(std::uint64_t since)> config;
  /// Streams the answer \p request of \p customer from token \p from on.
  std::function<void(const std::string& request, std::uint64_t from,
                     const std::string& customer, AnswerSink)>
      answer;
};

/// Serves other routers over gRPC. Its own threads only check seals and post
/// the requests.
/// Thread safety: construct and Stop on one thread.
class PeerServer {
 public:
  /// Listens on \p address ("ip:port"); port 0 chooses one. Requests not sealed
  /// with \p key are rejected before they reach a handler.
  static Result<std::unique_ptr<PeerServer>> Start(const std::string& address,
                                                   std::string key, Post post,
                                                   Handlers handlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Returns the port that is listened on. Thread safety: safe.
  int Port() const;
  /// Ends calls in progress and stops listening. Doesn't wait for handlers, so
  /// it may be called on the thread that Post posts to.
  void Stop();

  class Impl;

 private:
  explicit PeerServer(std::unique_ptr<Impl> started);

  std::unique_ptr<Impl> impl;
};

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_PEERS_SERVER_H_
