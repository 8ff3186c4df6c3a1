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

/// Where the parts of a resumed answer go. Both functions may be called from
/// several threads, also after the call has ended.
struct AnswerSink {
  /// Sends the next part. False once the other router has gone or is too slow.
  std::function<bool(std::string part)> write;
  /// Ends the answer; whole if \p complete.
  std::function<void(bool complete)> end;
};

/// What a router answers to others. All are run by Post.
struct Handlers {
  /// Takes a probe in and returns the answer.
  std::function<membership::Message(const membership::Message&)> probe;
  /// Passes a probe on to an address; the callback gets the answer.
  std::function<void(const std::string& address, const membership::Message&,
                     PeerClient::OnMessage)>
      pass_on;
  /// Returns the configuration after a generation, or nothing if it can't.
  std::function<std::optional<std::string>(std::uint64_t since)> config;
  /// Streams the answer \p request of \p customer from token \p from on.
  std::function<void(const std::string& request, std::uint64_t from,
                     const std::string& customer, AnswerSink)>
      answer;
};

/// Serves other routers over gRPC, on threads of its own that only hand over.
/// Thread safety: construct and Stop on one thread.
class PeerServer {
 public:
  /// Listens on \p address ("ip:port"); port 0 chooses one. Requests whose
  /// seal isn't of \p key are refused before a handler sees them.
  static Result<std::unique_ptr<PeerServer>> Start(const std::string& address,
                                                   std::string key, Post post,
                                                   Handlers handlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Returns the port that is listened on. Thread safety: safe.
  int Port() const;
  /// Ends calls in progress and stops listening. May be called on the thread
  /// that Post posts to: it waits for none of the handlers.
  void Stop();

  class Impl;

 private:
  explicit PeerServer(std::unique_ptr<Impl> started);

  std::unique_ptr<Impl> impl;
};

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_PEERS_SERVER_H_
