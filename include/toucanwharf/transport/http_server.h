#ifndef TOUCANWHARF_TRANSPORT_HTTP_SERVER_H_
#define TOUCANWHARF_TRANSPORT_HTTP_SERVER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/support/result.h"
#include "toucanwharf/transport/connection_registry.h"
#include "toucanwharf/transport/http_client.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace toucanwharf::transport {

/// A received request with its complete body.
struct HttpRequest {
  std::string method;
  std::string path;
  /// Decoded query arguments; a repeated name keeps its last value.
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};

/// Returns the memory that \p request takes, in bytes. Thread safety: safe.
std::size_t HeldBytes(const HttpRequest& request);

/// One request and its response. Data written after the caller has
/// disconnected is discarded.
///
/// Thread safety: all methods are safe.
class Exchange {
 public:
  explicit Exchange(HttpRequest received);

  /// Returns the request, which never changes.
  const HttpRequest& Request() const { return this->request; }

  /// Sends a complete response.
  /// Precondition: neither Respond nor BeginStream was called before.
  void Respond(int status, std::vector<Header> headers, std::string body);

  /// Sends status and headers of a response whose body follows by Write.
  /// Precondition: neither Respond nor BeginStream was called before.
  void BeginStream(int status, std::vector<Header> headers);

  /// Appends to the body of a stream. Precondition: BeginStream was called.
  void Write(std::string_view bytes);

  /// Ends the body of a stream. Precondition: BeginStream was called.
  void End();

  /// Returns whether the caller's connection is known to be closed.
  bool IsDisconnected();

 private:
  friend class HttpServer;

  /// Precondition: `mutex` is held.
  void Resume();
  /// Counts the request and what waits of its answer; drops the answer if there
  /// is no room for it. Precondition: `mutex` is held.
  void CountHeld();

  const HttpRequest request;
  const std::size_t request_bytes;
  /// Guards all members below.
  std::mutex mutex;
  MHD_Connection* connection = nullptr;
  std::shared_ptr<ConnectionRegistry> registry;
  ConnectionRegistry::Id registered = 0;
  int socket = -1;
  bool suspended = false;
  bool answered = false;
  bool streaming = false;
  bool ended = false;
  bool disconnected = false;
  bool server_closing = false;
  int status = 0;
  std::vector<Header> headers;
  std::string pending;
};

/// Limits of one listener.
struct ServerLimits {
  std::size_t body_bytes = 4 << 20;
  unsigned int connections = 16000;
  /// Inactivity timeout of a caller's connection.
  Duration idle{std::chrono::seconds(75)};
  /// Longest time from a request's first byte to its last: a caller that sends
  /// a byte now and then would otherwise hold its connection indefinitely.
  Duration request{std::chrono::seconds(30)};
  unsigned int threads = 2;

  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

/// HTTP listener based on libmicrohttpd. Its threads only read and write bytes;
/// the handler passes each exchange to the event loop.
class HttpServer {
 public:
  /// Called on one of the server's threads for each complete request; must
  /// not block.
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  /// Opens the listener at \p address ("ip:port"; port 0 chooses one).
  /// \p registry counts its connections with those of other listeners; null for
  /// no limit on all of them together.
  /// Errors: transport_error when the address is malformed or taken.
  static Result<std::unique_ptr<HttpServer>> Open(
      const std::string& address, ServerLimits limits, Handler handler,
      std::shared_ptr<ConnectionRegistry> registry = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the port that is listened on. Thread safety: safe.
  std::uint16_t Port() const { return this->port; }

  /// Closes the listening socket; open connections continue (I6).
  /// Thread safety: safe; the second call does nothing.
  void StopListening();

  /// Returns the number of exchanges whose response is not complete.
  /// Thread safety: safe.
  std::size_t OpenExchanges() const { return this->open_exchanges; }

 private:
  struct Callbacks;
  struct Incoming;

  HttpServer(ServerLimits limits, Handler handler,
             std::shared_ptr<ConnectionRegistry> connections);

  /// Returns false if the server is closing.
  bool Register(const std::shared_ptr<Exchange>& exchange);
  void Unregister(const Exchange* exchange);
  void ResumeAllSuspended();

  ServerLimits limits;
  Handler handler;
  std::shared_ptr<ConnectionRegistry> registry;
  MHD_Daemon* daemon = nullptr;
  std::uint16_t port = 0;
  int quiesced_socket = -1;
  std::atomic<bool> listening{true};
  std::atomic<std::size_t> open_exchanges{0};
  /// Guards the two members below.
  std::mutex exchanges_mutex;
  std::map<const Exchange*, std::weak_ptr<Exchange>> exchanges;
  bool closing = false;
};

}  // namespace toucanwharf::transport

#endif  // TOUCANWHARF_TRANSPORT_HTTP_SERVER_H_
