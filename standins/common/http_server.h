#ifndef TOUCANWHARF_STANDINS_COMMON_HTTP_SERVER_H_
#define TOUCANWHARF_STANDINS_COMMON_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

struct MHD_Daemon;

namespace toucanwharf::standins {

/// A completely received request.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// Returns the query parameter \p name as a number, or \p fallback if absent.
  std::uint64_t Number(const std::string& name, std::uint64_t fallback) const;
  /// Returns the body as JSON; a discarded value if it isn't valid JSON.
  nlohmann::json Json() const;
};

/// Returns the next chunk of a streamed body, nullopt at its end. May block.
using BodyStream = std::function<std::optional<std::string>()>;

/// The response to a request.
struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  /// If set, sent in place of `body`.
  BodyStream stream;
  /// Closes the connection without a response.
  bool drop = false;
};

/// Returns a JSON reply.
HttpReply JsonReply(int status, const nlohmann::json& body);
/// Returns a reply that closes the connection without a response.
HttpReply DropReply();

/// Blocking HTTP server, one thread per connection, for the stand-ins only.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;
  /// Called when the headers have been read; false closes the connection
  /// before the body is read.
  using HeaderCheck = std::function<bool(const HttpRequest&)>;

  /// Listens on 127.0.0.1:\p port; 0 picks a free port. The handlers are called
  /// concurrently. Throws std::runtime_error if the port is in use.
  HttpServer(std::uint16_t port, Handler handler,
             HeaderCheck header_check = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the listening port. Thread safety: safe.
  std::uint16_t Port() const { return this->port; }

 private:
  Handler handler;
  HeaderCheck header_check;
  MHD_Daemon* daemon = nullptr;
  std::uint16_t port = 0;

  friend struct HttpCallbacks;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_COMMON_HTTP_SERVER_H_
