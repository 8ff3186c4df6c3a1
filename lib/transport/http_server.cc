#include "toucanwharf/transport/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "toucanwharf/transport/errors.h"

namespace toucanwharf::transport {

/// State of a connection while its request is read.
struct HttpServer::Incoming {
  TimePoint start_time;
  ConnectionRegistry::Id registered = 0;
  std::string body;
  /// The status of a refusal, for which the rest of the body is discarded.
  std::optional<int> refusal;
  std::shared_ptr<Exchange> exchange;
};

namespace {

constexpr int kContentTooLarge = 413;
constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;
/// Connections that are being closed for lack of room at one moment.
constexpr unsigned int kClosingConnections = 256;
constexpr const char* kNoMemory = "there is no memory for it now; come back";
/// Retry-After of a request for which there was no memory, in seconds.
constexpr const char* kRetryNoMemory = "1";

MHD_Result AddPair(void* owner, enum MHD_ValueKind /*kind*/, const char* key,
                   const char* value) {
  auto* pairs = static_cast<std::map<std::string, std::string>*>(owner);
  (*pairs)[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result AddHeader(void* owner, enum MHD_ValueKind /*kind*/, const char* key,
                     const char* value) {
  auto* pairs = static_cast<std::map<std::string, std::string>*>(owner);
  (*pairs)[absl::AsciiStrToLower(key)] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result RefuseNow(MHD_Connection* connection, int status,
                     std::string_view reason) {
  const std::string body = "{\"error\":{\"message\":\"" + std::string(reason) +
                           "\"},\"ran\":\"no\"}\n";
  MHD_Response* response = MHD_create_response_from_buffer(
      body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  MHD_add_response_header(response, "Connection", "close");
  if (status == kUnavailable) {
    MHD_add_response_header(response, "Retry-After", kRetryNoMemory);
  }
  const MHD_Result done = MHD_queue_response(
      connection, static_cast<unsigned int>(status), response);
  MHD_destroy_response(response);
  return done;
}

/// Returns the length that the head of the request announces; 0 if none.
std::uint64_t AnnouncedLength(MHD_Connection* connection) {
  const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                                 "Content-Length");
  std::uint64_t length = 0;
  if (text == nullptr || !absl::SimpleAtoi(text, &length)) return 0;
  return length;
}

ConnectionRegistry::Id RegisteredId(MHD_Connection* connection) {
  const auto* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  if (info == nullptr) return 0;
  return reinterpret_cast<ConnectionRegistry::Id>(info->socket_context);
}

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::uint32_t port = 0;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port)) return std::nullopt;
  if (port > 65535) return std::nullopt;
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(port));
  const std::string host = address.substr(0, colon);
  if (inet_pton(AF_INET, host.c_str(), &parsed.sin_addr) != 1) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace

/// Callbacks of libmicrohttpd, with access to the server's private members.
struct HttpServer::Callbacks {
  static MHD_Result OnAccess(void* owner, MHD_Connection* connection,
                             const char* url, const char* method,
                             const char* /*version*/, const char* upload,
                             std::size_t* upload_size, void** state) {
    auto* server = static_cast<HttpServer*>(owner);
    if (*state == nullptr) {
      auto* incoming = new Incoming;
      incoming->start_time = BootClock().Now();
      incoming->registered = RegisteredId(connection);
      *state = incoming;
      ++server->open_exchanges;
      if (AnnouncedLength(connection) > server->limits.body_bytes) {
        return RefuseNow(connection, kContentTooLarge,
                         "the body is too large; send less");
      }
      server->registry->Enter(incoming->registered, ConnectionPhase::kWaiting,
                              incoming->start_time);
      return MHD_YES;
    }
    auto* incoming = static_cast<Incoming*>(*state);
    if (incoming->exchange) return Answer(connection, incoming->exchange);
    if (*upload_size > 0) {
      const std::string_view bytes(upload, *upload_size);
      *upload_size = 0;
      return AppendBody(*server, connection, *incoming, bytes);
    }
    if (incoming->refusal) {
      return RefuseNow(connection, *incoming->refusal,
                       *incoming->refusal == kUnavailable
                           ? kNoMemory
                           : "the body is too large; send less");
    }
    return PassToHandler(*server, connection, *incoming, url, method);
  }

  static MHD_Result AppendBody(HttpServer& server, MHD_Connection* connection,
                               Incoming& incoming, std::string_view bytes) {
    if (BootClock().Now() - incoming.start_time > server.limits.request) {
      return RefuseNow(connection, kRequestTimeout,
                       "the request came too slowly; send it at once");
    }
    if (incoming.refusal) return MHD_YES;
    if (incoming.body.size() + bytes.size() > server.limits.body_bytes) {
      Refuse(server, incoming, kContentTooLarge);
      return MHD_YES;
    }
    incoming.body.append(bytes);
    if (!server.registry->Hold(incoming.registered, incoming.body.capacity(),
                               BootClock().Now())) {
      Refuse(server, incoming, kUnavailable);
    }
    return MHD_YES;
  }

  /// Refuses a request as soon as it has ended; what still comes is discarded.
  static void Refuse(HttpServer& server, Incoming& incoming, int status) {
    incoming.refusal = status;
    std::string().swap(incoming.body);
    server.registry->Hold(incoming.registered, 0, BootClock().Now());
  }

  static MHD_Result PassToHandler(HttpServer& server,
                                  MHD_Connection* connection,
                                  Incoming& incoming, const char* url,
                                  const char* method) {
    HttpRequest request;
    request.method = method;
    request.path = url;
    request.body = std::move(incoming.body);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, AddPair,
                              &request.query);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, AddHeader,
                              &request.headers);
    if (!server.registry->Hold(incoming.registered, HeldBytes(request),
                               BootClock().Now())) {
      return RefuseNow(connection, kUnavailable, kNoMemory);
    }
    auto exchange = std::make_shared<Exchange>(std::move(request));
    incoming.exchange = exchange;
    if (!server.Register(exchange)) return MHD_NO;
    server.registry->Enter(incoming.registered, ConnectionPhase::kAnswering,
                           BootClock().Now());
    {
      const std::lock_guard lock(exchange->mutex);
      exchange->connection = connection;
      exchange->registry = server.registry;
      exchange->registered = incoming.registered;
      const auto* info = MHD_get_connection_info(
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      if (info != nullptr) exchange->socket = info->connect_fd;
      if (exchange->server_closing) return MHD_NO;
      exchange->suspended = true;
      MHD_suspend_connection(connection);
    }
    server.handler(exchange);
    return MHD_YES;
  }

  /// The head of a response, and its body unless it is streamed.
  struct Head {
    int status = 0;
    bool streaming = false;
    std::vector<Header> headers;
    std::string body;
  };

  static std::optional<Head> TakeHead(Exchange& exchange) {
    const std::lock_guard lock(exchange.mutex);
    if (!exchange.answered) return std::nullopt;
    Head head;
    head.status = exchange.status;
    head.streaming = exchange.streaming;
    head.headers = std::move(exchange.headers);
    if (!head.streaming) head.body = std::move(exchange.pending);
    return head;
  }

  // Calls libmicrohttpd without holding the exchange's mutex: libmicrohttpd
  // locks its own mutex here, and calls ReadStream under it, which locks the
  // exchange.
  static MHD_Result Answer(MHD_Connection* connection,
                           const std::shared_ptr<Exchange>& exchange) {
    const std::optional<Head> head = TakeHead(*exchange);
    // Resumed without a response: the server is closing.
    if (!head) return MHD_NO;
    MHD_Response* response = nullptr;
    if (head->streaming) {
      constexpr std::size_t kBlockBytes = 16384;
      response = MHD_create_response_from_callback(
          MHD_SIZE_UNKNOWN, kBlockBytes, ReadStream,
          new std::shared_ptr<Exchange>(exchange), FreeStream);
    } else {
      response = MHD_create_response_from_buffer(
          head->body.size(), const_cast<char*>(head->body.data()),
          MHD_RESPMEM_MUST_COPY);
    }
    for (const auto& [key, value] : head->headers) {
      MHD_add_response_header(response, key.c_str(), value.c_str());
    }
    const MHD_Result done = MHD_queue_response(
        connection, static_cast<unsigned int>(head->status), response);
    MHD_destroy_response(response);
    return done;
  }

  static ssize_t ReadStream(void* owner, std::uint64_t /*position*/,
                            char* buffer, std::size_t capacity) {
    Exchange& exchange = **static_cast<std::shared_ptr<Exchange>*>(owner);
    const std::lock_guard lock(exchange.mutex);
    // What waited was dropped: the answer must not look whole.
    if (exchange.disconnected) return MHD_CONTENT_READER_END_WITH_ERROR;
    if (exchange.pending.empty()) {
      if (exchange.ended) return MHD_CONTENT_READER_END_OF_STREAM;
      if (exchange.server_closing) return MHD_CONTENT_READER_END_WITH_ERROR;
      exchange.suspended = true;
      MHD_suspend_connection(exchange.connection);
      return 0;
    }
    const std::size_t size = std::min(capacity, exchange.pending.size());
    std::copy_n(exchange.pending.begin(), size, buffer);
    exchange.pending.erase(0, size);
    exchange.CountHeld();
    if (exchange.registry) {
      exchange.registry->Progress(exchange.registered, BootClock().Now());
    }
    return static_cast<ssize_t>(size);
  }

  static void FreeStream(void* owner) {
    delete static_cast<std::shared_ptr<Exchange>*>(owner);
  }

  static void OnConnection(void* owner, MHD_Connection* connection,
                           void** context,
                           enum MHD_ConnectionNotificationCode what) {
    auto* server = static_cast<HttpServer*>(owner);
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
      server->registry->Close(
          reinterpret_cast<ConnectionRegistry::Id>(*context));
      return;
    }
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const int socket = info == nullptr ? -1 : info->connect_fd;
    *context = reinterpret_cast<void*>(
        server->registry->Open(socket, BootClock().Now()));
  }

  static void OnCompleted(void* owner, MHD_Connection* /*connection*/,
                          void** state,
                          enum MHD_RequestTerminationCode /*how*/) {
    auto* server = static_cast<HttpServer*>(owner);
    auto* incoming = static_cast<Incoming*>(*state);
    if (incoming == nullptr) return;
    if (incoming->exchange) {
      server->Unregister(incoming->exchange.get());
      const std::lock_guard lock(incoming->exchange->mutex);
      incoming->exchange->disconnected = true;
      incoming->exchange->suspended = false;
      incoming->exchange->connection = nullptr;
      incoming->exchange->registry = nullptr;
      incoming->exchange->socket = -1;
    }
    const TimePoint now = BootClock().Now();
    server->registry->Hold(incoming->registered, 0, now);
    server->registry->Enter(incoming->registered, ConnectionPhase::kIdle, now);
    delete incoming;
    *state = nullptr;
    --server->open_exchanges;
  }
};

HttpServer::HttpServer(ServerLimits limits, Handler handler,
                       std::shared_ptr<ConnectionRegistry> connections)
    : limits(limits),
      handler(std::move(handler)),
      registry(std::move(connections)) {
  if (this->registry) return;
  this->registry = std::make_shared<ConnectionRegistry>(ConnectionLimits{});
}

Result<std::unique_ptr<HttpServer>> HttpServer::Open(
    const std::string& address, ServerLimits limits, Handler handler,
    std::shared_ptr<ConnectionRegistry> registry) {
  std::optional<sockaddr_in> parsed = ParseAddress(address);
  if (!parsed) return make_error_code(TransportError::kBadAddress);
  // The registry closes connections when there are too many of all listeners;
  // libmicrohttpd, which divides its limit between the threads, would only stop
  // accepting.
  const unsigned int most_accepted =
      registry ? (limits.connections + kClosingConnections) * limits.threads
               : limits.connections;
  std::unique_ptr<HttpServer> server(
      new HttpServer(limits, std::move(handler), std::move(registry)));
  const auto idle_seconds = static_cast<unsigned int>(
      std::chrono::duration_cast<std::chrono::seconds>(limits.idle).count());
  server->daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0,
      nullptr, nullptr, &Callbacks::OnAccess, server.get(),
      MHD_OPTION_SOCK_ADDR, &*parsed, MHD_OPTION_NOTIFY_COMPLETED,
      &Callbacks::OnCompleted, server.get(), MHD_OPTION_NOTIFY_CONNECTION,
      &Callbacks::OnConnection, server.get(), MHD_OPTION_THREAD_POOL_SIZE,
      limits.threads, MHD_OPTION_CONNECTION_LIMIT, most_accepted,
      MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
  if (server->daemon == nullptr) {
    return make_error_code(TransportError::kCannotListen);
  }
  const auto* info =
      MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  server->port = info == nullptr ? 0 : info->port;
  return server;
}

HttpServer::~HttpServer() {
  if (this->daemon == nullptr) return;
  // Doesn't call StopListening first: libmicrohttpd's quiesce removes the
  // listening socket from its epoll set both in the calling thread and in its
  // own, and rarely, under load, this race aborts the process ("Failed to
  // remove listen FD from epoll set"). Stopping the daemon ends its thread
  // before the socket is closed.
  this->ResumeAllSuspended();
  MHD_stop_daemon(this->daemon);
  if (this->quiesced_socket >= 0) close(this->quiesced_socket);
}

bool HttpServer::Register(const std::shared_ptr<Exchange>& exchange) {
  const std::lock_guard lock(this->exchanges_mutex);
  if (this->closing) return false;
  this->exchanges.emplace(exchange.get(), exchange);
  return true;
}

void HttpServer::Unregister(const Exchange* exchange) {
  const std::lock_guard lock(this->exchanges_mutex);
  this->exchanges.erase(exchange);
}

/// Guards against an abort at shutdown: a request that was passed to a loop
/// that has stopped never gets a response, and libmicrohttpd aborts the process
/// if it is stopped with suspended connections (seen in 6 of 40 stops). Resumes
/// all suspended connections, which end without a response; later requests are
/// refused before their connection is suspended.
void HttpServer::ResumeAllSuspended() {
  std::map<const Exchange*, std::weak_ptr<Exchange>> open;
  {
    const std::lock_guard lock(this->exchanges_mutex);
    this->closing = true;
    open = this->exchanges;
  }
  for (const auto& [key, weak] : open) {
    const auto exchange = weak.lock();
    if (!exchange) continue;
    const std::lock_guard lock(exchange->mutex);
    exchange->server_closing = true;
    if (!exchange->suspended || exchange->connection == nullptr) continue;
    exchange->suspended = false;
    MHD_resume_connection(exchange->connection);
  }
}

void HttpServer::StopListening() {
  if (!this->listening.exchange(false)) return;
  this->quiesced_socket = MHD_quiesce_daemon(this->daemon);
  // The server's threads may still use the descriptor, which could be reused
  // for another file once closed, so it is closed only after they have ended.
  // The shutdown refuses new connections from now on.
  if (this->quiesced_socket >= 0) shutdown(this->quiesced_socket, SHUT_RDWR);
}

}  // namespace toucanwharf::transport
