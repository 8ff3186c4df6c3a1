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
#include "toucanwharf/transport/http_client.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace toucanwharf::transport {

/// A request as it came in, body complete.
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

/// One request and the way its answer goes back.
///
/// Thread safety: all methods are safe. What is sent after the caller has left
/// is dropped.
class Exchange {
 public:
  explicit Exchange(HttpRequest request) : request(std::move(request)) {}

  /// Returns the request. Never changes.
  const HttpRequest& Request() const { return this->request; }

  /// Sends a complete answer.
  /// Precondition: neither Respond nor BeginStream was called before.
  void Respond(int status, std::vector<Header> headers, std::string body);

  /// Sends status and headers of an answer whose body follows by Write.
  /// Precondition: neither Respond nor BeginStream was called before.
  void BeginStream(int status, std::vector<Header> headers);

  /// Adds to a stream's body. Precondition: BeginStream was called.
  void Write(std::string_view bytes);

  /// Ends a stream's body. Precondition: BeginStream was called.
  void End();

  /// Returns true once the caller's connection is known to be closed.
  bool IsDisconnected();

 private:
  friend class HttpServer;

  /// Precondition: `mutex` is held.
  void Resume();

  const HttpRequest request;
  /// Guards all below.
  std::mutex mutex;
  MHD_Connection* connection = nullptr;
  int socket = -1;
  bool suspended = false;
  bool answered = false;
  bool streaming = false;
  bool ended = false;
  bool left = false;
  bool server_closing = false;
  int status = 0;
  std::vector<Header> headers;
  std::string pending;
};

/// Bounds of what one listener takes in.
struct ServerLimits {
  std::size_t body_bytes = 4 << 20;
  unsigned int connections = 16000;
  /// Without a byte from the caller for this long the connection is closed.
  Duration idle{std::chrono::seconds(75)};
  /// A request must be complete this long after its first byte: a caller that
  /// sends a byte now and then would otherwise hold its connection for ever.
  Duration request{std::chrono::seconds(30)};
  unsigned int threads = 2;

  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

/// HTTP listener by libmicrohttpd. Its threads only read and write bytes; the
/// handler hands each exchange on to the event loop.
class HttpServer {
 public:
  /// Called on one of the server's threads for each complete request; must
  /// not block.
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  /// Opens the listener at \p address ("ip:port"; port 0 chooses one).
  /// Errors: transport_error when the address is malformed or taken.
  static Result<std::unique_ptr<HttpServer>> Open(const std::string& address,
                                                  ServerLimits limits,
                                                  Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the port that is listened on. Thread safety: safe.
  std::uint16_t Port() const { return this->port; }

  /// Closes the listening socket; open connections go on (I6).
  /// Thread safety: safe; the second call does nothing.
  void StopListening();

  /// Returns the number of exchanges whose answer is not complete.
  /// Thread safety: safe.
  std::size_t OpenExchanges() const { return this->open_exchanges; }

 private:
  struct Callbacks;
  struct Incoming;

  HttpServer(ServerLimits limits, Handler handler);

  /// Returns false when the server is closing.
  bool Register(const std::shared_ptr<Exchange>& exchange);
  void Unregister(const Exchange* exchange);
  void WakeSuspended();

  ServerLimits limits;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::uint16_t port = 0;
  int quiesced_socket = -1;
  std::atomic<bool> listening{true};
  std::atomic<std::size_t> open_exchanges{0};
  /// Guards the two below.
  std::mutex exchanges_mutex;
  std::map<const Exchange*, std::weak_ptr<Exchange>> exchanges;
  bool closing = false;
};

}  // namespace toucanwharf::transport

#endif  // TOUCANWHARF_TRANSPORT_HTTP_SERVER_H_
