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

/// One request, whole.
struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// Returns the query's value of \p name as a number, else \p otherwise.
  std::uint64_t Number(const std::string& name, std::uint64_t otherwise) const;
  /// Returns the body as JSON; a discarded value if it is none.
  nlohmann::json Json() const;
};

/// Gives the next piece of a streamed body, nothing at its end. It may block.
using BodyStream = std::function<std::optional<std::string>()>;

/// What goes back.
struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  /// If set, sent in place of `body`.
  BodyStream stream;
  /// Close the connection without any answer.
  bool drop = false;
};

/// Returns a JSON reply.
HttpReply JsonReply(int status, const nlohmann::json& body);
/// Returns a reply that closes the connection without an answer.
HttpReply DropReply();

/// Blocking HTTP server, one thread per connection, for the stand-ins only.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;
  /// Asked once the headers were read; false closes before the body is read.
  using HeaderCheck = std::function<bool(const HttpRequest&)>;

  /// Listens on 127.0.0.1:\p port; 0 chooses one. The handlers are called
  /// from many threads at once. Throws std::runtime_error if the port is taken.
  HttpServer(std::uint16_t port, Handler handler,
             HeaderCheck header_check = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Returns the port that is listened on. Thread safety: safe.
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
