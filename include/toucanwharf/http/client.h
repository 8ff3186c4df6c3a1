#ifndef TOUCANWHARF_HTTP_CLIENT_H_
#define TOUCANWHARF_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/message.h"
#include "toucanwharf/http/resources.h"
#include "toucanwharf/resources/account.h"

namespace toucanwharf::http {

/// Identifies a call of one client; 0 identifies none.
using CallId = std::uint64_t;

/// Whether a call may reuse an idle connection. A request that must not run
/// twice gets a new one: the peer may close an idle connection while the
/// request is in flight, and it is then unknown whether the request ran.
enum class Reuse { kAllowed, kNever };

/// How a call ended.
enum class CallEnd {
  /// The complete response was received.
  kComplete,
  /// No connection was established; no byte was sent.
  kNotConnected,
  /// The connection closed before the response was complete.
  kBroken,
  /// The bytes received are not a valid response.
  kMalformed,
  /// This process had no memory for the rest of the response, of which it held
  /// more for longer than of others. Says nothing of the peer.
  kNoMemory,
};

struct CallResult {
  CallEnd end = CallEnd::kBroken;
  /// Whether any byte of the request may have been sent. False is certain.
  bool sent = false;
  /// Whether the connection had served an earlier call; its loss before any
  /// response then says little about the peer.
  bool reused = false;
  /// Whether the peer refused the connection: nothing listens at its address. A
  /// failure of this process, or of the network, is not a refusal.
  bool refused = false;
  /// Whether there was no descriptor for a connection, which says nothing of
  /// the peer.
  bool no_descriptor = false;
  /// Whether the response ended only with its connection: it had neither a
  /// length nor chunks, so that a crash of the peer looks the same.
  bool ended_by_close = false;
  /// Whether sending the request failed before its end, as it does when the
  /// peer resets the connection or answers before it has read everything.
  bool write_failed = false;

  friend bool operator==(const CallResult&, const CallResult&) = default;
};

struct CallOptions {
  Reuse reuse = Reuse::kAllowed;
  /// A connection attempt fails after this long. The kernel retransmits a
  /// lost first packet only after a second.
  Duration connect_timeout = std::chrono::milliseconds(400);
};

/// Callbacks of one call; none runs after on_done or Cancel, and none inside
/// Start.
struct CallHandlers {
  /// A new connection was established; not called on one that is reused.
  std::function<void()> on_connected;
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void(const CallResult&)> on_done;
  /// Returns how many bytes the receiver holds of the response, of those that a
  /// lease of Client::LeaseForAnswer counts. Without it there are none.
  std::function<std::size_t()> held_bytes;
};

/// Sends HTTP requests, one at a time on each connection, and pools idle
/// connections. It never retries and follows no redirects. Bytes received on
/// an idle connection, or after the end of a response, close it.
/// Thread safety: only on the loop's thread.
class Client {
 public:
  /// Connections come from the address \p source_ip of this host; empty lets
  /// the system choose. \p resources count them; null for no limit.
  /// Precondition: \p loop and \p resources outlive the client.
  explicit Client(Loop& loop, const std::string& source_ip = "",
                  Resources* resources = nullptr);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends \p request to \p address ("IP:PORT"). Sets Content-Length.
  CallId Start(const std::string& address, const Request& request,
               const CallOptions& options, CallHandlers handlers);
  /// Returns whether there are descriptors for another call and for the few
  /// that the process makes for itself.
  bool HasRoom() const;
  /// Returns a lease, of nothing yet, for what a receiver holds of an answer.
  /// When more is held of all answers than there is room for, the calls that
  /// hold most for longest are ended; see CallHandlers::held_bytes.
  resources::Lease LeaseForAnswer() const;
  /// Closes the call's connection; a call that has ended, or 0, is ignored.
  void Cancel(CallId id);
  /// Sets whether the call's response is read on; while it is not, the peer is
  /// slowed down by the socket's buffers. A call that has ended, or 0, is
  /// ignored.
  void SetReading(CallId id, bool reads);

  struct State;

 private:
  std::shared_ptr<State> state;
};

/// Limits of a call that collects the response body.
struct FetchLimits {
  /// Sets both to \p timeout.
  // NOLINTNEXTLINE(google-explicit-constructor): most callers pass one value
  FetchLimits(Duration timeout) : inactivity(timeout), total(timeout) {}
  FetchLimits(Duration max_inactivity, Duration max_total)
      : inactivity(max_inactivity), total(max_total) {}
  /// For a body of \p most_bytes at most, from what the call is for.
  FetchLimits(Duration timeout, std::size_t most_bytes)
      : inactivity(timeout), total(timeout), max_bytes(most_bytes) {}

  /// Longest time without a byte of the response.
  Duration inactivity;
  /// Longest time from the start to the end of the response.
  Duration total;
  /// Longest body, in bytes: one without an end must not be held.
  std::size_t max_bytes = 16UL * 1024 * 1024;

  friend bool operator==(const FetchLimits&, const FetchLimits&) = default;
};

/// Starts a call that collects the body. \p done gets the result, the head and
/// the body; a call that exceeds \p limits is cancelled and ends as kBroken, or
/// as kMalformed if its body is too long.
void Fetch(Loop& loop, Client& client, const std::string& address,
           const Request& request, const FetchLimits& limits,
           std::function<void(const CallResult&, const ResponseHead&,
                              const std::string&)>
               done,
           const CallOptions& options = {});

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_CLIENT_H_
