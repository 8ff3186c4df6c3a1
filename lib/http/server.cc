#include "toucanwharf/http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <map>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "address.h"
#include "loop_state.h"
#include "parser.h"

namespace toucanwharf::http {
namespace {

using boost::asio::ip::tcp;
using Code = boost::system::error_code;
namespace beast_http = boost::beast::http;

constexpr std::size_t kReadSize = 8UL * 1024;
/// Bytes of pipelined requests that are read while one is being answered; the
/// rest stays in the socket's buffers.
constexpr std::size_t kMaxReadAhead = 64UL * 1024;
/// After a response that closes the connection, further bytes are read and
/// discarded for this long: closing with unread bytes resets the connection,
/// and the caller would lose the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/// A body must be complete this long after the head.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);
/// Pending connections that the kernel queues.
constexpr int kBacklog = 1024;

std::string ReasonOf(const ResponseHead& head) {
  if (!head.reason.empty()) return head.reason;
  const auto default_reason =
      beast_http::obsolete_reason(static_cast<beast_http::status>(head.status));
  return {default_reason.data(), default_reason.size()};
}

std::string HeadText(const ResponseHead& head, bool chunked,
                     std::optional<std::uint64_t> length, bool close,
                     Duration idle) {
  std::string text =
      absl::StrCat("HTTP/1.1 ", head.status, " ", ReasonOf(head), "\r\n");
  for (const auto& [name, value] : head.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  if (chunked) {
    absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n");
  } else if (length) {
    absl::StrAppend(&text, "Content-Length: ", *length, "\r\n");
  }
  if (close) {
    absl::StrAppend(&text, "Connection: close\r\n");
  } else {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(idle).count();
    absl::StrAppend(&text, "Keep-Alive: timeout=", seconds, "\r\n");
  }
  absl::StrAppend(&text, "\r\n");
  return text;
}

/// Returns the status of the response to an unacceptable request.
int StatusOf(const Code& why) {
  if (why == beast_http::error::header_limit) return kHeaderTooLarge;
  if (why == beast_http::error::body_limit) return kContentTooLarge;
  return kBadRequest;
}

bool BodylessStatus(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status == kNoContent || status == kNotModified;
}

}  // namespace

class Connection;

struct Server::State {
  State(Loop& event_loop, tcp::acceptor opened, Handler request_handler)
      : loop(event_loop),
        acceptor(std::move(opened)),
        handler(std::move(request_handler)) {}

  Loop& loop;
  tcp::acceptor acceptor;
  Handler handler;
  ServerLimits limits;
  bool close_after_responses = false;
  std::map<const Connection*, std::weak_ptr<Connection>> connections;
};

/// One caller's connection: reads one request at a time, and detects that the
/// caller closes it while the request is being answered.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Server::State> server_state, tcp::socket accepted)
      : server(std::move(server_state)), socket(std::move(accepted)) {}
  ~Connection() {
    this->server->connections.erase(this);
    this->server->loop.Cancel(this->timer);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start() {
    this->server->connections.emplace(this, this->weak_from_this());
    this->PrepareNextRequest();
    this->Read();
  }

  void Close() {
    if (this->closed) return;
    this->closed = true;
    this->server->loop.Cancel(this->timer);
    Code ignored;
    this->socket.close(ignored);
    this->NotifyDisconnect();
  }

  void Respond(const ResponseHead& head, std::string_view body) {
    const bool bodyless = BodylessStatus(head.status);
    std::string text = HeadText(
        head, false,
        bodyless ? std::nullopt : std::optional<std::uint64_t>(body.size()),
        this->NeedsCloseHeader(head), this->server->limits.idle_timeout);
    if (!this->head_only) text.append(body);
    this->Send(text);
    this->OnResponseEnd();
  }

  void Begin(const ResponseHead& head) {
    this->chunked = !head.length.has_value() && !head.ends_with_connection;
    this->close_after = this->close_after || head.ends_with_connection;
    this->Send(HeadText(head, this->chunked, head.length,
                        this->NeedsCloseHeader(head),
                        this->server->limits.idle_timeout));
  }

  void Write(std::string_view bytes) {
    if (bytes.empty() || this->head_only) return;
    if (!this->chunked) {
      this->Send(bytes);
      return;
    }
    std::string chunk =
        absl::StrCat(absl::Hex(static_cast<std::uint64_t>(bytes.size())));
    chunk.append("\r\n").append(bytes).append("\r\n");
    this->Send(chunk);
  }

  void End() {
    if (this->chunked && !this->head_only) this->Send("0\r\n\r\n");
    this->OnResponseEnd();
  }

  bool Closed() const { return this->closed; }
  std::size_t UnsentBytes() const { return this->unsent.size(); }
  void SetOnDisconnect(std::function<void()> callback) {
    this->on_disconnect = std::move(callback);
  }

 private:
  class ConnectionExchange;

  bool NeedsCloseHeader(const ResponseHead& head) {
    const bool close_requested =
        EqualIgnoringCase(head.headers.Get("Connection"), "close");
    this->close_after = this->close_after || close_requested ||
                        this->server->close_after_responses ||
                        !this->keep_alive;
    return this->close_after && !close_requested;
  }

  void PrepareNextRequest() {
    this->parser.emplace();
    this->body.clear();
    const ServerLimits& limits = this->server->limits;
    this->parser->header_limit(limits.max_header_bytes);
    this->parser->body_limit(limits.max_body_bytes);
    this->parser->on_body = [this](std::string_view bytes) {
      this->body.append(bytes);
    };
    this->head_received = false;
    this->CloseAfter(limits.idle_timeout);
  }

  void CloseAfter(Duration delay) {
    this->SetTimer(delay, [this] { this->Close(); });
  }

  void SetTimer(Duration delay, const std::function<void()>& action) {
    this->server->loop.Cancel(this->timer);
    const auto weak = this->weak_from_this();
    this->timer = this->server->loop.After(delay, [weak, action] {
      if (const auto self = weak.lock()) action();
    });
  }

  void Read() {
    if (this->closed || this->reading) return;
    if (this->answering && this->input.size() > kMaxReadAhead) return;
    this->reading = true;
    this->socket.async_read_some(
        boost::asio::buffer(this->buffer),
        [self = this->shared_from_this()](const Code& error, std::size_t size) {
          self->reading = false;
          self->OnRead(error, size);
        });
  }

  void OnRead(const Code& error, std::size_t size) {
    if (this->closed) return;
    if (error) {
      this->Close();
      return;
    }
    if (!this->lingering) this->input.append(this->buffer.data(), size);
    if (!this->answering && !this->lingering) this->Parse();
    this->Read();
  }

  void Parse() {
    if (this->input.empty()) return;
    const bool request_started = this->parser->got_some();
    Code why;
    if (!this->parser->Feed(this->input, why)) {
      this->Reject(StatusOf(why));
      return;
    }
    if (this->parser->is_done()) {
      this->Dispatch();
      return;
    }
    if (!request_started) {
      this->SetTimer(this->server->limits.header_timeout,
                     [this] { this->Reject(kRequestTimeout); });
    }
    if (this->parser->is_header_done() && !this->head_received) {
      this->head_received = true;
      this->SetTimer(kBodyTimeout, [this] { this->Reject(kRequestTimeout); });
      const auto expect = this->parser->request.headers.Get("Expect");
      if (EqualIgnoringCase(expect, "100-continue")) {
        this->Send("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }

  void Reject(int status) {
    this->keep_alive = false;
    this->answering = true;
    ResponseHead head;
    head.status = status;
    this->Respond(head, "");
  }

  void Dispatch();

  void OnResponseEnd() {
    this->answering = false;
    this->on_disconnect = nullptr;
    if (this->close_after) {
      this->Linger();
      return;
    }
    this->PrepareNextRequest();
    // Posted, because the handler that is still running may use the exchange.
    this->server->loop.Post([weak = this->weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->closed || self->answering) return;
      self->Parse();
      self->Read();
    });
  }

  void Linger() {
    this->lingering = true;
    this->input.clear();
    this->OnLastAnswerProgress();
    this->Read();
  }

  /// Ends the connection soon after the last byte was sent; until then, only a
  /// caller that takes nothing for the idle timeout is given up.
  void OnLastAnswerProgress() {
    if (this->closed) return;
    if (!this->unsent.empty()) {
      this->CloseAfter(this->server->limits.idle_timeout);
      return;
    }
    Code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    this->CloseAfter(kLingerTimeout);
  }

  /// Counts the timers of a connection that has no request from the last byte
  /// sent.
  void OnProgress() {
    if (this->lingering) {
      this->OnLastAnswerProgress();
    } else if (!this->answering && !this->parser->got_some()) {
      this->CloseAfter(this->server->limits.idle_timeout);
    }
  }

  /// Writes what the socket accepts now, and the rest when it is writable.
  void Send(std::string_view bytes) {
    if (this->closed) return;
    if (this->unsent.empty()) {
      Code error;
      const std::size_t sent = this->socket.write_some(
          boost::asio::buffer(bytes.data(), bytes.size()), error);
      if (error && error != boost::asio::error::would_block) {
        this->CloseSoon();
        return;
      }
      bytes.remove_prefix(sent);
    }
    if (bytes.empty()) return;
    this->unsent.append(bytes);
    this->Drain();
  }

  void Drain() {
    if (this->writing) return;
    this->writing = true;
    this->socket.async_wait(
        tcp::socket::wait_write,
        [self = this->shared_from_this()](const Code& error) {
          self->writing = false;
          self->OnWritable(error);
        });
  }

  void OnWritable(const Code& error) {
    if (this->closed) return;
    Code failed = error;
    std::size_t sent = 0;
    if (!failed) {
      sent = this->socket.write_some(boost::asio::buffer(this->unsent), failed);
    }
    if (failed && failed != boost::asio::error::would_block) {
      this->Close();
      return;
    }
    this->unsent.erase(0, sent);
    if (sent > 0) this->OnProgress();
    if (!this->unsent.empty()) this->Drain();
  }

  /// A send fails inside a call of the handler, so the close is deferred until
  /// that call has returned.
  void CloseSoon() {
    this->server->loop.Post(
        [self = this->shared_from_this()] { self->Close(); });
  }

  void NotifyDisconnect() {
    if (!this->on_disconnect) return;
    const auto callback = std::exchange(this->on_disconnect, nullptr);
    callback();
  }

  std::shared_ptr<Server::State> server;
  tcp::socket socket;
  std::array<char, kReadSize> buffer{};
  std::string input;
  std::string unsent;
  std::optional<MessageParser<true>> parser;
  std::string body;
  TimerId timer = 0;
  std::function<void()> on_disconnect;
  bool reading = false;
  bool writing = false;
  bool answering = false;
  bool lingering = false;
  bool closed = false;
  bool head_received = false;
  bool keep_alive = true;
  bool close_after = false;
  bool chunked = false;
  bool head_only = false;
};

/// The exchange of one request. It keeps its connection alive, and no longer
/// uses it after the response has ended.
class Connection::ConnectionExchange : public Exchange {
 public:
  ConnectionExchange(std::shared_ptr<Connection> caller_connection,
                     Request received)
      : connection(std::move(caller_connection)),
        request(std::move(received)) {}
  /// NeedsCloseHeader the connection if the handler drops a request without a
  /// response, so that the caller doesn't wait.
  ~ConnectionExchange() override {
    if (!this->done) this->connection->Close();
  }
  ConnectionExchange(const ConnectionExchange&) = delete;
  ConnectionExchange& operator=(const ConnectionExchange&) = delete;

  const Request& Received() const override { return this->request; }
  void Respond(const ResponseHead& head, std::string_view body) override {
    if (std::exchange(this->done, true)) return;
    this->connection->Respond(head, body);
  }
  void Begin(const ResponseHead& head) override {
    if (!this->done) this->connection->Begin(head);
  }
  void Write(std::string_view bytes) override {
    if (!this->done) this->connection->Write(bytes);
  }
  void End() override {
    if (std::exchange(this->done, true)) return;
    this->connection->End();
  }
  void Abort() override {
    if (std::exchange(this->done, true)) return;
    this->connection->SetOnDisconnect(nullptr);
    this->connection->Close();
  }
  bool IsDisconnected() const override { return this->connection->Closed(); }
  std::size_t UnsentBytes() const override {
    return this->connection->UnsentBytes();
  }
  void OnDisconnect(std::function<void()> callback) override {
    if (!this->done) this->connection->SetOnDisconnect(std::move(callback));
  }

 private:
  std::shared_ptr<Connection> connection;
  Request request;
  bool done = false;
};

void Connection::Dispatch() {
  this->server->loop.Cancel(this->timer);
  this->answering = true;
  this->keep_alive = this->parser->keep_alive();
  this->head_only = this->parser->request.method == "HEAD";
  Request request = std::move(this->parser->request);
  request.body = std::move(this->body);
  this->server->handler(std::make_shared<ConnectionExchange>(
      this->shared_from_this(), std::move(request)));
}

namespace {

void Accept(const std::shared_ptr<Server::State>& state) {
  state->acceptor.async_accept([state](const Code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      // Out of file descriptors: accepting again immediately would spin.
      constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
      std::fprintf(stderr, "accept failed: %s; raise the limit of open files\n",
                   error.message().c_str());
      state->loop.After(kAcceptRetryDelay, [state] { Accept(state); });
      return;
    }
    Code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    EnableKeepAlive(socket);
    std::make_shared<Connection>(state, std::move(socket))->Start();
    Accept(state);
  });
}

}  // namespace

Result<std::unique_ptr<Server>> Server::Listen(Loop& loop,
                                               const std::string& address,
                                               Handler handler) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  tcp::acceptor acceptor(loop.InternalState().context);
  Code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(*endpoint, error);
  if (!error) acceptor.listen(kBacklog, error);
  if (error) return std::error_code(error.value(), std::generic_category());
  auto state =
      std::make_shared<State>(loop, std::move(acceptor), std::move(handler));
  Accept(state);
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> inner) : state(std::move(inner)) {}

Server::~Server() {
  Code ignored;
  this->state->acceptor.close(ignored);
  std::vector<std::shared_ptr<Connection>> open;
  for (const auto& [key, weak] : this->state->connections) {
    if (auto connection = weak.lock()) open.push_back(std::move(connection));
  }
  for (const auto& connection : open) connection->Close();
}

void Server::SetLimits(const ServerLimits& limits) {
  this->state->limits = limits;
}

void Server::CloseAfterResponses() {
  this->state->close_after_responses = true;
}

std::size_t Server::UnsentBytes() const {
  std::size_t total = 0;
  for (const auto& [key, weak] : this->state->connections) {
    if (const auto connection = weak.lock()) total += connection->UnsentBytes();
  }
  return total;
}

std::uint16_t Server::Port() const {
  return this->state->acceptor.local_endpoint().port();
}

}  // namespace toucanwharf::http
