#ifndef TOUCANWHARF_PEERS_CLIENT_H_
#define TOUCANWHARF_PEERS_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "toucanwharf/membership/values.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::peers {

/// Submits a task to the thread that owns the daemon's state.
using Post = std::function<void(std::function<void()>)>;

/// Calls other routers over gRPC. No call blocks; each completion callback runs
/// exactly once, through Post, unless the client has been destroyed.
/// Thread safety: none; all methods on the thread that Post posts to.
class PeerClient {
 public:
  using OnMessage = std::function<void(const Result<membership::Message>&)>;
  using OnBytes = std::function<void(const Result<std::string>&)>;
  using OnEnd = std::function<void(const Result<void>&)>;

  /// Creates a client that seals its requests with \p key.
  /// Precondition: \p post outlives the client.
  PeerClient(Post post, std::string key);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends \p probe, directly or, if set, through the member at `probe.via`.
  void Send(const membership::Probe& probe, Duration timeout, OnMessage done);
  /// Requests the configuration after generation \p since from the router at
  /// \p address. Errors: kNotFound if it can't serve from that generation.
  void FetchConfig(const std::string& address, std::uint64_t since,
                   Duration timeout, OnBytes done);
  /// Streams answer \p request of \p customer from token \p from on: calls
  /// \p on_part for each part in order, then \p on_end once, which gets no
  /// error only if the other router sent the complete answer.
  void GetAnswer(const std::string& address, const std::string& request,
                 std::uint64_t from, const std::string& customer,
                 Duration timeout, std::function<void(std::string)> on_part,
                 OnEnd on_end);

  class Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace toucanwharf::peers

#endif  // TOUCANWHARF_PEERS_CLIENT_H_
