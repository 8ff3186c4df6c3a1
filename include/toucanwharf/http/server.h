#ifndef TOUCANWHARF_HTTP_SERVER_H_
#define TOUCANWHARF_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/message.h"
#include "toucanwharf/http/resources.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::http {

/// Limits on the size and duration of one caller's requests. The defaults
/// apply until the configuration sets others.
struct ServerLimits {
  /// Largest head of a request, in bytes.
  std::uint32_t max_header_bytes = 16 * 1024;
  /// Largest body of a request, in bytes.
  std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
  /// From a request's first byte to the end of its head.
  Duration header_timeout = std::chrono::seconds(3);
  /// A connection without a request is closed after this long.
  Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

/// One request and its response. Call exactly one of: Respond; Begin then
/// Write and End; or Abort at any time before the end.
/// Thread safety: only on the loop's thread.
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& Received() const = 0;
  /// Sends a complete response.
  virtual void Respond(const ResponseHead& head, std::string_view body) = 0;
  /// Sends the head; a body without a length is sent with chunked encoding, or
  /// without framing if the head says so.
  virtual void Begin(const ResponseHead& head) = 0;
  /// Sends part of the body immediately. Precondition: Begin was called.
  virtual void Write(std::string_view bytes) = 0;
  /// Ends the body started by Begin.
  virtual void End() = 0;
  /// Closes the connection, so that the partial response can't look complete:
  /// by a reset if nothing but the close would end it.
  virtual void Abort() = 0;
  /// Returns whether the caller's connection is closed.
  virtual bool IsDisconnected() const = 0;
  /// Returns how many bytes are queued because the caller hasn't read them.
  virtual std::size_t UnsentBytes() const = 0;
  /// Sets a callback that runs once if the caller closes the connection before
  /// the end of the response; never after it.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

class ConnectionTable;

/// Returns a table of the connections of all servers that share \p resources.
/// Precondition: both outlive the table. Thread safety: on the loop's thread.
std::shared_ptr<ConnectionTable> MakeConnectionTable(Loop& loop,
                                                     Resources& resources);

/// What a server shares with others, and decides before it reads a body.
struct ServerOptions {
  /// Null for a server without limits on memory and descriptors.
  std::shared_ptr<ConnectionTable> table;
  resources::ConnectionUse use = resources::ConnectionUse::kCaller;
  /// Called with a request whose head is complete and whose body isn't. If it
  /// responds, the body is not read and the connection closes; else the request
  /// is passed to the handler once it is whole.
  std::function<void(const std::shared_ptr<Exchange>&)> head_check;
};

/// Listens on one address and passes requests to a handler.
/// Thread safety: only on the loop's thread.
class Server {
 public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  /// Listens on \p address ("IP:PORT"). Errors: that of the failed socket call.
  /// Precondition: \p loop outlives the server.
  static Result<std::unique_ptr<Server>> Listen(Loop& loop,
                                                const std::string& address,
                                                Handler handler,
                                                ServerOptions options = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Applies \p limits from the next request on each connection.
  void SetLimits(const ServerLimits& limits);
  /// Makes every later response close its connection.
  void CloseAfterResponses();
  /// Refuses the requests that are being received, and closes the connections
  /// that are idle. Those with a request under way close after its response.
  void CloseUnused();
  /// Returns how many requests are being received.
  std::size_t Receiving() const;
  /// Returns how many connections are open.
  std::size_t Open() const;
  /// Returns how many bytes of responses, also of those that have ended, are
  /// queued because their callers haven't read them.
  std::size_t UnsentBytes() const;
  /// Returns the port listened on.
  std::uint16_t Port() const;

  struct State;

 private:
  explicit Server(std::shared_ptr<State> inner);

  std::shared_ptr<State> state;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_SERVER_H_
