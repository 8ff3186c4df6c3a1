#ifndef TOUCANWHARF_HTTP_CLIENT_H_
#define TOUCANWHARF_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/message.h"

namespace toucanwharf::http {

/// Names one call of a client; 0 names none.
using CallId = std::uint64_t;

/// Whether a connection that served before may be used. A request that must
/// not run twice gets a fresh one: on a kept connection the peer's close may
/// cross the request, and then nobody knows whether it ran.
enum class Reuse { kAllowed, kNever };

/// How a call ended.
enum class CallEnd {
  /// The response came whole.
  kComplete,
  /// No connection; no byte was sent.
  kNotConnected,
  /// The connection ended before the response did.
  kBroken,
  /// What came is no response.
  kMalformed,
};

struct CallResult {
  CallEnd end = CallEnd::kBroken;
  /// Whether any byte of the request may have left. False is certain.
  bool sent = false;
  /// Whether the connection had served before; a break before any answer then
  /// says little of the peer.
  bool reused = false;

  friend bool operator==(const CallResult&, const CallResult&) = default;
};

struct CallOptions {
  Reuse reuse = Reuse::kAllowed;
  /// A connection that isn't there after this long is given up. A lost first
  /// packet is sent again by the kernel only after a second.
  Duration connect_timeout = std::chrono::milliseconds(400);
};

/// Callbacks of one call; none comes after on_done or Cancel, and none inside
/// Start.
struct CallHandlers {
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void(const CallResult&)> on_done;
};

/// Sends HTTP requests, one at a time on each connection, and keeps idle
/// connections. It repeats nothing and follows no redirects. Bytes that come
/// on an idle connection, or beyond a response, close it.
/// Thread safety: only on the loop's thread.
class Client {
 public:
  /// Precondition: \p loop outlives the client.
  explicit Client(Loop& loop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends \p request to \p address ("IP:PORT"). Content-Length is set here.
  CallId Start(const std::string& address, const Request& request,
               const CallOptions& options, CallHandlers handlers);
  /// Closes the call's connection; a call that has ended, or 0, is ignored.
  void Cancel(CallId id);

  struct State;

 private:
  std::shared_ptr<State> state;
};

/// How long a call that collects the body may take.
struct FetchLimits {
  /// Both are \p timeout.
  // NOLINTNEXTLINE(google-explicit-constructor): most calls have one figure
  FetchLimits(Duration timeout) : silence(timeout), whole(timeout) {}
  FetchLimits(Duration longest_silence, Duration longest)
      : silence(longest_silence), whole(longest) {}

  /// Without a byte of the answer for so long the peer counts as gone.
  Duration silence;
  /// From the start to the answer's end.
  Duration whole;

  friend bool operator==(const FetchLimits&, const FetchLimits&) = default;
};

/// A call that collects the body, ended by \p limits. \p done gets the result,
/// the head and the body; a call that was given up counts as broken.
void Fetch(Loop& loop, Client& client, const std::string& address,
           const Request& request, const FetchLimits& limits,
           std::function<void(const CallResult&, const ResponseHead&,
                              const std::string&)>
               done,
           const CallOptions& options = {});

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_CLIENT_H_
