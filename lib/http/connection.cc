#include "connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "loop_state.h"
#include "response_text.h"
#include "server_state.h"

namespace toucanwharf::http {
namespace {

using boost::asio::ip::tcp;
using Code = boost::system::error_code;
namespace beast_http = boost::beast::http;

constexpr std::size_t kReadSize = 16UL * 1024;
/// Reads in a row of a connection that has more, before others get their turn.
constexpr int kMaxReadsInARow = 4;
/// Bytes of pipelined requests that are read while one is being answered; the
/// rest stays in the socket's buffers.
constexpr std::size_t kMaxReadAhead = 64UL * 1024;
/// The next pipelined request is taken up only when no more bytes than this
/// wait for the caller to read.
constexpr std::size_t kMaxUnsentBeforeNext = 64UL * 1024;
/// After a response that closes the connection, further bytes are read and
/// discarded for this long: closing with unread bytes resets the connection,
/// and the caller would lose the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/// A body must be complete this long after the head.
constexpr Duration kBodyTimeout = std::chrono::seconds(10);
/// A caller that has read nothing for this long may lose its connection when
/// memory runs out.
constexpr Duration kStalledReader = std::chrono::milliseconds(500);
/// A body is first given this much memory, and twice as much each time.
constexpr std::size_t kFirstBodyBytes = 16UL * 1024;
/// Answers of which more than that is unread don't take this last part of the
/// memory: many of them may be ready before any counts as stalled.
constexpr std::size_t kUnreadMarginDivisor = 16;
/// Requests that hold more leave a part of the memory to those that hold less.
constexpr std::size_t kSmallRequestBytes = 64UL * 1024;
constexpr std::size_t kSmallRequestDivisor = 8;
/// HTTP/1.1.
constexpr int kFirstVersionWithChunks = 11;
/// Memory that an answered request takes besides its own bytes.
constexpr std::size_t kExchangeBytes = 4UL * 1024;
/// Retry-After of a request for which there was no memory.
constexpr const char* kRetryNoMemory = "1";
/// The same of one that comes as the process ends: its caller goes elsewhere.
constexpr const char* kRetryElsewhere = "0";

/// Returns the status of the response to an unacceptable request.
int StatusOf(const Code& why) {
  if (why == beast_http::error::header_limit) return kHeaderTooLarge;
  if (why == beast_http::error::body_limit) return kContentTooLarge;
  return kBadRequest;
}

/// Returns the memory of \p text outside of the object, in bytes.
std::size_t HeapBytes(const std::string& text) {
  static const std::size_t kInside = std::string().capacity();
  return text.capacity() > kInside ? text.capacity() : 0;
}

std::size_t HeapBytes(const Request& request) {
  return HeapBytes(request.method) + HeapBytes(request.target) +
         request.headers.HeapBytes();
}

void Free(std::string& text) { std::string().swap(text); }

}  // namespace

/// The exchange of one request. It keeps its connection alive, and no longer
/// uses it after the response has ended.
class Connection::ConnectionExchange : public Exchange {
 public:
  ConnectionExchange(std::shared_ptr<Connection> caller_connection,
                     Request received, resources::Lease counted)
      : connection(std::move(caller_connection)),
        request(std::move(received)),
        lease(std::move(counted)) {}
  /// Closes the connection if the handler drops a request without a response,
  /// so that the caller doesn't wait.
  ~ConnectionExchange() override {
    if (!this->done) this->connection->Close();
  }
  ConnectionExchange(const ConnectionExchange&) = delete;
  ConnectionExchange& operator=(const ConnectionExchange&) = delete;

  /// Ends the exchange without a response and returns its request, whose body
  /// is still to come; nothing if it has been answered.
  std::optional<Request> TakeUnanswered() {
    if (std::exchange(this->done, true)) return std::nullopt;
    return std::move(this->request);
  }

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
  resources::Lease lease;
  bool done = false;
};

Connection::Connection(std::shared_ptr<Server::State> server_state,
                       tcp::socket accepted, resources::DescriptorLease counted)
    : server(std::move(server_state)),
      table(this->server->options.table),
      descriptor(std::move(counted)),
      lease(this->table->Shared().buffers),
      socket(std::move(accepted)),
      place(this->table->Add(this, this->server->options.use)),
      phase_began(this->server->loop.Now()),
      last_sent(this->phase_began) {}

Connection::~Connection() {
  this->table->Remove(this->place, this->server->options.use, this->phase);
  this->server->connections.erase(this);
  this->server->loop.Cancel(this->timer);
}

void Connection::Start() {
  this->server->connections.emplace(this, this->weak_from_this());
  this->PrepareNextRequest();
  this->Read();
}

void Connection::Close() {
  if (this->closed) return;
  this->closed = true;
  this->server->loop.Cancel(this->timer);
  Code ignored;
  this->socket.close(ignored);
  this->descriptor.Release();
  this->DropRequest();
  Free(this->unsent);
  this->CountBuffers();
  // Nothing that is closed is closed once more.
  this->Enter(Phase::kAnswering);
  this->NotifyDisconnect();
}

void Connection::ResetAtClose(bool resets) {
  Code ignored;
  this->socket.set_option(tcp::socket::linger(resets, 0), ignored);
}

bool Connection::Receives() const {
  return !this->closed && !this->failed && !this->answering &&
         !this->lingering && this->parser->got_some();
}

void Connection::CloseUnused() {
  if (this->closed || this->failed || this->answering || this->lingering) {
    return;
  }
  if (!this->Receives()) {
    // A request may have come that was not read yet.
    const auto self = this->shared_from_this();
    this->OnReadable(Code());
    if (this->closed || this->answering || this->lingering) return;
  }
  if (this->Receives()) {
    this->Reject(kUnavailable, kRetryElsewhere);
    return;
  }
  this->Linger();
}

void Connection::Respond(const ResponseHead& head, std::string_view text) {
  const bool bodyless = HasNoBody(head.status);
  std::string response = HeadText(
      head, false,
      bodyless ? std::nullopt : std::optional<std::uint64_t>(text.size()),
      this->NeedsCloseHeader(head), this->server->limits.idle_timeout);
  if (!this->head_only) response.append(text);
  this->Send(response);
  this->OnResponseEnd();
}

void Connection::Begin(const ResponseHead& head) {
  const bool knows_chunks = this->parser->version >= kFirstVersionWithChunks;
  // The status itself says that there is no body, as the method HEAD does.
  this->head_only = this->head_only || HasNoBody(head.status);
  const bool has_end = head.length.has_value() || this->head_only;
  this->chunked = !has_end && !head.ends_with_connection && knows_chunks;
  this->ends_with_connection =
      head.ends_with_connection || (!has_end && !this->chunked);
  this->close_after = this->close_after || this->ends_with_connection;
  if (this->ends_with_connection) this->ResetAtClose(true);
  this->Send(HeadText(head, this->chunked, head.length,
                      this->NeedsCloseHeader(head),
                      this->server->limits.idle_timeout));
}

void Connection::Write(std::string_view bytes) {
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

void Connection::End() {
  if (this->chunked && !this->head_only) this->Send("0\r\n\r\n");
  this->OnResponseEnd();
}

bool Connection::NeedsCloseHeader(const ResponseHead& head) {
  const bool close_requested =
      EqualIgnoringCase(head.headers.Get("Connection"), "close");
  this->close_after = this->close_after || close_requested ||
                      this->server->close_after_responses || !this->keep_alive;
  return this->close_after && !close_requested;
}

void Connection::Enter(Phase next) {
  this->table->Move(this->place, this->server->options.use, this->phase, next);
  this->phase = next;
  this->phase_began = this->server->loop.Now();
}

void Connection::PrepareNextRequest() {
  this->parser.emplace();
  const ServerLimits& limits = this->server->limits;
  this->parser->header_limit(limits.max_header_bytes);
  this->parser->body_limit(limits.max_body_bytes);
  this->parser->on_body = [this](std::string_view bytes) {
    this->AppendBody(bytes);
  };
  this->head_received = false;
  this->head_bytes = 0;
  this->meter.Reset();
  // A caller that still reads its answer is not idle.
  this->Enter(this->unsent.empty() ? Phase::kIdle : Phase::kAnswering);
  this->CloseAfter(limits.idle_timeout);
}

void Connection::CloseAfter(Duration delay) {
  this->SetTimer(delay, [this] { this->Close(); });
}

void Connection::SetTimer(Duration delay, const std::function<void()>& action) {
  this->server->loop.Cancel(this->timer);
  const auto weak = this->weak_from_this();
  this->timer = this->server->loop.After(delay, [weak, action] {
    if (const auto self = weak.lock()) action();
  });
}

/// Waits for bytes without a buffer: most connections are idle.
void Connection::Read() {
  if (this->closed || this->failed || this->reading) return;
  const std::size_t read_ahead =
      this->table->Shared().buffers.Allowance(kMaxReadAhead, 0);
  if (this->answering && this->input.size() > read_ahead) return;
  this->reading = true;
  this->socket.async_wait(tcp::socket::wait_read,
                          [self = this->shared_from_this()](const Code& error) {
                            self->reading = false;
                            self->OnReadable(error);
                          });
}

void Connection::OnReadable(const Code& error) {
  if (this->closed) return;
  if (error) {
    this->Close();
    return;
  }
  if (!this->meter.IsBulk()) {
    this->ReadSome(kMaxReadsInARow);
    return;
  }
  this->reading = true;
  this->server->loop.InternalState().bulk.Await(
      [self = this->shared_from_this()] {
        self->reading = false;
        if (!self->closed) self->ReadSome(1);
      });
}

void Connection::ReadSome(int most) {
  const TimePoint began = this->server->loop.Now();
  for (int reads = 0; reads < most; ++reads) {
    std::array<char, kReadSize> buffer;
    Code read_error;
    const std::size_t size =
        this->socket.read_some(boost::asio::buffer(buffer), read_error);
    if (read_error == boost::asio::error::would_block) break;
    if (read_error) {
      this->Close();
      return;
    }
    this->OnBytes({buffer.data(), size});
    if (this->closed || this->answering || size < buffer.size()) break;
  }
  // What answering takes isn't the message's.
  if (!this->answering) this->meter.Add(this->server->loop.Now() - began);
  this->Read();
}

void Connection::OnBytes(std::string_view bytes) {
  if (this->lingering) {
    this->Discard(bytes.size());
    return;
  }
  this->input.append(bytes);
  if (this->TakesRequests()) this->Parse();
  this->CountBuffers();
  this->KeepWithinBuffers();
}

/// A caller is to get its refusal, but not to send for ever.
void Connection::Discard(std::size_t size) {
  this->discarded_bytes += size;
  if (this->discarded_bytes > this->server->limits.max_body_bytes) {
    this->Close();
  }
}

void Connection::Parse() {
  if (this->input.empty()) return;
  const bool begins = !this->parser->got_some();
  Code why;
  if (!this->parser->Feed(this->input, why)) {
    this->Reject(StatusOf(why));
    return;
  }
  if (this->parser->is_done()) {
    this->Dispatch();
    return;
  }
  if (begins) {
    this->Enter(Phase::kReceiving);
    this->SetTimer(this->server->limits.header_timeout,
                   [this] { this->Reject(kRequestTimeout); });
  }
  if (this->parser->is_header_done() && !this->head_received) this->OnHead();
}

void Connection::OnHead() {
  this->head_received = true;
  this->head_bytes = HeapBytes(this->parser->request);
  if (this->AnsweredByHead()) return;
  this->SetTimer(kBodyTimeout, [this] { this->Reject(kRequestTimeout); });
  const auto expect = this->parser->request.headers.Get("Expect");
  if (EqualIgnoringCase(expect, "100-continue")) {
    this->Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

bool Connection::AnsweredByHead() {
  if (!this->server->options.head_check) return false;
  this->answering = true;
  this->keep_alive = false;
  this->head_only = this->parser->request.method == "HEAD";
  const auto exchange = std::make_shared<ConnectionExchange>(
      this->shared_from_this(), std::move(this->parser->request),
      resources::Lease());
  this->server->options.head_check(exchange);
  auto unanswered = exchange->TakeUnanswered();
  if (!unanswered) return true;
  this->parser->request = std::move(*unanswered);
  this->answering = false;
  return false;
}

/// Grows the body in steps, up to its length, or to the largest one if that
/// isn't known: what is only announced takes no memory.
void Connection::AppendBody(std::string_view bytes) {
  const std::size_t size = this->body.size() + bytes.size();
  if (size > this->body.capacity()) {
    std::size_t capacity =
        std::max({kFirstBodyBytes, 2 * this->body.capacity(), size});
    const std::uint64_t most =
        this->parser->head.length.value_or(this->server->limits.max_body_bytes);
    capacity =
        std::max<std::size_t>(size, std::min<std::uint64_t>(capacity, most));
    std::string larger;
    larger.reserve(capacity);
    larger.append(this->body);
    this->body.swap(larger);
  }
  this->body.append(bytes);
}

void Connection::Reject(int status, const char* retry_after) {
  this->DropRequest();
  this->keep_alive = false;
  this->answering = true;
  ResponseHead head;
  head.status = status;
  if (retry_after != nullptr) head.headers.Add("Retry-After", retry_after);
  this->Respond(head, "");
}

void Connection::Dispatch() {
  this->server->loop.Cancel(this->timer);
  this->CountBuffers();
  // The platform must not take an instance for dead that is only full.
  const bool asks_for_state =
      this->server->options.use == resources::ConnectionUse::kControl &&
      this->body.empty();
  if (!asks_for_state && !this->KeepWithinBuffers()) return;
  this->answering = true;
  this->Enter(Phase::kAnswering);
  this->keep_alive = this->parser->keep_alive();
  this->head_only = this->parser->request.method == "HEAD";
  Request request = std::move(this->parser->request);
  resources::Account& buffers = this->table->Shared().buffers;
  // The call to the endpoint has a head of its own.
  resources::Lease exchange_lease(buffers,
                                  kExchangeBytes + 2 * HeapBytes(request));
  if (!this->body.empty()) {
    if (this->body.capacity() > 2 * this->body.size()) {
      this->body.shrink_to_fit();
    }
    resources::Lease body_lease(buffers, HeapBytes(this->body));
    request.body =
        Body(std::exchange(this->body, std::string()), std::move(body_lease));
  }
  this->head_bytes = 0;
  this->CountBuffers();
  this->server->handler(std::make_shared<ConnectionExchange>(
      this->shared_from_this(), std::move(request), std::move(exchange_lease)));
}

void Connection::OnResponseEnd() {
  this->answering = false;
  this->on_disconnect = nullptr;
  if (this->close_after) {
    this->Linger();
    return;
  }
  this->PrepareNextRequest();
  // Posted, because the handler that is still running may use the exchange.
  this->server->loop.Post([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) self->ParseNextRequest();
  });
}

void Connection::ParseNextRequest() {
  if (this->closed || !this->TakesRequests() || this->lingering) return;
  if (!this->parser->got_some()) this->Parse();
  this->CountBuffers();
  this->Read();
}

void Connection::Linger() {
  this->lingering = true;
  this->DropRequest();
  this->CountBuffers();
  this->OnLastAnswerProgress();
  this->Read();
}

void Connection::OnLastAnswerProgress() {
  if (this->closed || this->failed) return;
  if (!this->unsent.empty()) {
    this->CloseAfter(this->server->limits.idle_timeout);
    return;
  }
  Code ignored;
  if (this->ends_with_connection) this->ResetAtClose(false);
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->Enter(Phase::kIdle);
  this->CloseAfter(kLingerTimeout);
}

void Connection::OnProgress() {
  this->last_sent = this->server->loop.Now();
  if (this->lingering) {
    this->OnLastAnswerProgress();
    return;
  }
  if (this->answering || this->parser->got_some()) return;
  this->CloseAfter(this->server->limits.idle_timeout);
  if (this->unsent.empty()) this->Enter(Phase::kIdle);
  this->ParseNextRequest();
}

void Connection::Send(std::string_view bytes) {
  if (this->closed || this->failed) return;
  if (this->unsent.empty()) {
    Code error;
    const std::size_t sent = this->socket.write_some(
        boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != boost::asio::error::would_block) {
      this->CloseSoon();
      return;
    }
    bytes.remove_prefix(sent);
    this->last_sent = this->server->loop.Now();
  }
  if (bytes.empty()) return;
  this->unsent.append(bytes);
  this->Drain();
  this->CountBuffers();
  this->KeepWithinBuffers();
  if (this->unsent.size() > kMaxUnsentBeforeNext) this->MakeRoomForAnswer();
}

void Connection::MakeRoomForAnswer() {
  const resources::Account& buffers = this->table->Shared().buffers;
  const std::size_t most =
      buffers.Capacity() - buffers.Capacity() / kUnreadMarginDivisor;
  this->table->FreeBuffers(most);
  if (buffers.Used() > most && !this->failed) this->CutAnswer();
}

void Connection::Drain() {
  if (this->writing) return;
  this->writing = true;
  this->socket.async_wait(tcp::socket::wait_write,
                          [self = this->shared_from_this()](const Code& error) {
                            self->writing = false;
                            self->OnWritable(error);
                          });
}

void Connection::OnWritable(const Code& error) {
  if (this->closed || this->failed) return;
  Code write_error = error;
  std::size_t sent = 0;
  if (!write_error) {
    sent =
        this->socket.write_some(boost::asio::buffer(this->unsent), write_error);
  }
  if (write_error && write_error != boost::asio::error::would_block) {
    this->Close();
    return;
  }
  this->unsent.erase(0, sent);
  this->CountBuffers();
  if (sent > 0) this->OnProgress();
  if (!this->closed && !this->unsent.empty()) this->Drain();
}

void Connection::CloseSoon() {
  this->failed = true;
  this->server->loop.Post([self = this->shared_from_this()] { self->Close(); });
}

void Connection::NotifyDisconnect() {
  if (!this->on_disconnect) return;
  const auto callback = std::exchange(this->on_disconnect, nullptr);
  callback();
}

std::optional<Duration> Connection::EvictableFor(TimePoint now) const {
  if (this->closed || this->failed) return std::nullopt;
  if (!this->unsent.empty()) {
    const Duration stalled = now - this->last_sent;
    if (stalled < kStalledReader) return std::nullopt;
    return stalled;
  }
  if (this->phase != Phase::kReceiving) return std::nullopt;
  return now - this->phase_began;
}

void Connection::Evict() {
  if (this->unsent.empty()) {
    this->RefuseForMemory();
  } else {
    this->CutAnswer();
  }
}

void Connection::RefuseForMemory() {
  ++this->table->Shared().counters.evicted_requests;
  this->Reject(kUnavailable, kRetryNoMemory);
}

void Connection::CutAnswer() {
  ++this->table->Shared().counters.evicted_readers;
  Free(this->unsent);
  this->CountBuffers();
  this->CloseSoon();
}

bool Connection::TakesRequests() const {
  return !this->answering && this->unsent.size() <= kMaxUnsentBeforeNext;
}

void Connection::CountBuffers() {
  if (this->input.empty()) Free(this->input);
  if (this->unsent.empty()) Free(this->unsent);
  this->lease.Resize(HeapBytes(this->input) + HeapBytes(this->body) +
                     HeapBytes(this->unsent) + this->head_bytes);
}

bool Connection::KeepWithinBuffers() {
  const resources::Account& buffers = this->table->Shared().buffers;
  std::size_t limit = buffers.Capacity();
  if (this->lease.Amount() > kSmallRequestBytes) {
    limit -= limit / kSmallRequestDivisor;
  }
  if (buffers.Used() <= limit) return true;
  this->table->FreeBuffers(limit);
  const bool receives =
      !this->answering && !this->lingering && !this->closed && !this->failed;
  // Its refusal comes after what is still unread of the answer before it.
  if (buffers.Used() > limit && receives && this->parser->got_some()) {
    this->RefuseForMemory();
  }
  return receives && !this->answering && !this->lingering;
}

void Connection::DropRequest() {
  Free(this->body);
  Free(this->input);
  if (this->parser) this->parser->request = Request();
  this->head_bytes = 0;
}

}  // namespace toucanwharf::http
