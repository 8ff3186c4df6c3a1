#include "toucanwharf/http/client.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
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

constexpr std::size_t kReadSize = 8UL * 1024;
constexpr std::uint32_t kMaxResponseHeader = 64 * 1024;
/// Idle time that every server allows, where it doesn't say.
constexpr Duration kDefaultKeep = std::chrono::seconds(1);
/// Taken off the idle time that a server announces: its clock began earlier,
/// and a request that crosses its close would be lost.
constexpr Duration kKeepMargin = std::chrono::seconds(1);
/// Idle connections to one address; more than the callers of one instance use
/// at once only hold descriptors.
constexpr std::size_t kMaxIdlePerAddress = 32;

std::string RequestText(const std::string& address, const Request& request) {
  std::string text =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  if (!request.headers.Find("Host")) {
    absl::StrAppend(&text, "Host: ", address, "\r\n");
  }
  for (const auto& [name, value] : request.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  const bool length = !request.body.empty() || request.method == "POST" ||
                      request.method == "PUT" || request.method == "PATCH";
  if (length) {
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
  }
  text.append("\r\n").append(request.body);
  return text;
}

/// Returns the idle time that the Keep-Alive field \p value allows.
Duration KeepTime(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) return kDefaultKeep;
  int seconds = 0;
  const char* first = value.data() + at + kName.size();
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds) - kKeepMargin;
}

}  // namespace

class Link;

struct Client::State {
  explicit State(Loop& event_loop) : loop(event_loop) {}

  Loop& loop;
  std::map<CallId, std::shared_ptr<Link>> calls;
  std::map<std::string, std::vector<std::shared_ptr<Link>>> idle;
  CallId last_call = 0;
};

/// One connection to a peer, with at most one call on it.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(std::weak_ptr<Client::State> client_state, Loop& event_loop,
       std::string peer_address)
      : client(std::move(client_state)),
        loop(event_loop),
        address(std::move(peer_address)),
        socket(event_loop.Inner().context) {}
  ~Link() { this->loop.Cancel(this->timer); }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  const std::string& Address() const { return this->address; }
  bool Open() const { return !this->closed; }

  void Begin(CallId call, std::string text, CallHandlers call_handlers,
             bool head_only, bool again) {
    this->id = call;
    this->handlers = std::move(call_handlers);
    this->output = std::move(text);
    this->result = CallResult{};
    this->result.reused = again;
    this->sent_head = false;
    this->loop.Cancel(this->timer);
    this->parser.emplace();
    this->parser->header_limit(kMaxResponseHeader);
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser->eager(true);
    this->parser->skip(head_only);
    this->parser->on_body = [this](std::string_view bytes) {
      this->OnBody(bytes);
    };
  }

  void Connect(const tcp::endpoint& peer, Duration timeout) {
    const auto weak = this->weak_from_this();
    this->timer = this->loop.After(timeout, [weak] {
      if (const auto self = weak.lock()) self->Finish(CallEnd::kNotConnected);
    });
    this->socket.async_connect(
        peer, [self = this->shared_from_this()](const Code& error) {
          self->OnConnected(error);
        });
  }

  /// Sends the request on an open connection.
  void SendSoon() {
    this->loop.Post([self = this->shared_from_this()] {
      if (!self->closed && self->id != 0) self->SendRequest();
    });
  }

  void Drop() {
    this->id = 0;
    this->handlers = {};
    this->Close();
  }

  void Close() {
    if (this->closed) return;
    this->closed = true;
    this->loop.Cancel(this->timer);
    Code ignored;
    this->socket.close(ignored);
  }

 private:
  void OnConnected(const Code& error) {
    if (this->closed || this->id == 0) return;
    this->loop.Cancel(this->timer);
    if (error) {
      this->Finish(CallEnd::kNotConnected);
      return;
    }
    Code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    KeepAlive(this->socket);
    this->SendRequest();
    this->Read();
  }

  void SendRequest() {
    this->result.sent = true;
    boost::asio::async_write(this->socket, boost::asio::buffer(this->output),
                             [self = this->shared_from_this(), call = this->id](
                                 const Code& error, std::size_t) {
                               // A server may answer before it has read all;
                               // what it said is read first, and the end of the
                               // connection tells the rest.
                               if (self->id != call) return;
                               if (error) self->write_failed = true;
                               self->output.clear();
                             });
  }

  void Read() {
    if (this->closed || this->reading) return;
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
    if (this->id == 0) {
      // Idle: a close, or bytes that belong to no request.
      this->Close();
      this->LeavePool();
      return;
    }
    if (error) {
      this->OnEnd(error);
      return;
    }
    this->input.append(this->buffer.data(), size);
    this->Parse();
    this->Read();
  }

  void OnEnd(const Code& error) {
    if (error == boost::asio::error::eof && this->parser->got_some()) {
      Code why;
      this->parser->put_eof(why);
      if (!why && this->parser->is_done()) {
        this->keep = false;
        this->Finish(CallEnd::kComplete);
        return;
      }
    }
    this->Finish(CallEnd::kBroken);
  }

  void Parse() {
    const auto self = this->shared_from_this();
    const CallId call = this->id;
    while (this->id == call && !this->input.empty()) {
      // A head is announced before any of its body is handed on.
      const bool announced = this->sent_head;
      this->parser->eager(announced);
      Code why;
      const std::size_t before = this->input.size();
      const bool good = this->parser->Feed(this->input, why);
      if (this->id != call) return;
      if (!good) {
        this->Finish(CallEnd::kMalformed);
        return;
      }
      if (!this->parser->is_header_done()) return;
      if (!this->sent_head && !this->TakeHead()) return;
      if (this->id != call) return;
      if (this->parser->is_done()) {
        this->OnWhole();
        return;
      }
      // Part of a chunk's head needs the rest of it.
      if (announced && this->input.size() == before) return;
    }
  }

  /// Announces the head. Returns false when more must be read first.
  bool TakeHead() {
    const int status = this->parser->head.status;
    constexpr int kFirstFinal = 200;
    if (status < kFirstFinal) {
      // An interim response; the final one follows.
      std::string rest = std::move(this->input);
      this->input.clear();
      this->Begin(this->id, std::move(this->output), std::move(this->handlers),
                  false, this->result.reused);
      this->result.sent = true;
      this->input = std::move(rest);
      return !this->input.empty();
    }
    this->sent_head = true;
    if (this->handlers.on_head) {
      const auto on_head = this->handlers.on_head;
      on_head(this->parser->head);
    }
    return true;
  }

  void OnBody(std::string_view bytes) {
    if (this->id == 0 || !this->handlers.on_data) return;
    const auto on_data = this->handlers.on_data;
    on_data(bytes);
  }

  void OnWhole() {
    // Surplus bytes, or a request not yet sent whole, spoil the connection.
    this->keep = this->parser->keep_alive() && this->input.empty() &&
                 this->output.empty() && !this->write_failed;
    this->Finish(CallEnd::kComplete);
  }

  void Finish(CallEnd end);
  void LeavePool();
  void Keep(Client::State& state);

  std::weak_ptr<Client::State> client;
  Loop& loop;
  std::string address;
  tcp::socket socket;
  CallId id = 0;
  CallHandlers handlers;
  CallResult result;
  std::array<char, kReadSize> buffer{};
  std::string input;
  std::string output;
  std::optional<MessageParser<false>> parser;
  TimerId timer = 0;
  bool sent_head = false;
  bool write_failed = false;
  bool reading = false;
  bool keep = false;
  bool closed = false;
};

void Link::Finish(CallEnd end) {
  if (this->id == 0) return;
  const auto self = this->shared_from_this();
  const auto state = this->client.lock();
  const CallId call = std::exchange(this->id, 0);
  const CallHandlers ended = std::exchange(this->handlers, CallHandlers{});
  this->result.end = end;
  const CallResult final_result = this->result;
  const bool keeps = end == CallEnd::kComplete && this->keep && state;
  if (keeps) {
    this->Keep(*state);
  } else {
    this->Close();
  }
  if (!state) return;
  state->calls.erase(call);
  if (ended.on_done) ended.on_done(final_result);
}

void Link::Keep(Client::State& state) {
  const Duration time = KeepTime(this->parser->head.headers.Get("Keep-Alive"));
  auto& pool = state.idle[this->address];
  if (time <= Duration(0) || pool.size() >= kMaxIdlePerAddress) {
    this->Close();
    return;
  }
  pool.push_back(this->shared_from_this());
  const auto weak = this->weak_from_this();
  this->loop.Cancel(this->timer);
  this->timer = this->loop.After(time, [weak] {
    const auto self = weak.lock();
    if (!self || self->id != 0) return;
    self->Close();
    self->LeavePool();
  });
  this->Read();
}

void Link::LeavePool() {
  const auto state = this->client.lock();
  if (!state) return;
  const auto found = state->idle.find(this->address);
  if (found == state->idle.end()) return;
  std::erase_if(found->second,
                [this](const auto& link) { return link.get() == this; });
  if (found->second.empty()) state->idle.erase(found);
}

Client::Client(Loop& loop) : state(std::make_shared<State>(loop)) {}

Client::~Client() {
  for (const auto& [id, link] : this->state->calls) link->Drop();
  for (const auto& [address, pool] : this->state->idle) {
    for (const auto& link : pool) link->Close();
  }
}

CallId Client::Start(const std::string& address, const Request& request,
                     const CallOptions& options, CallHandlers handlers) {
  State& inner = *this->state;
  const CallId id = ++inner.last_call;
  const bool head_only = request.method == "HEAD";
  std::string text = RequestText(address, request);
  const auto pool = inner.idle.find(address);
  if (options.reuse == Reuse::kAllowed && pool != inner.idle.end()) {
    const auto link = pool->second.back();
    pool->second.pop_back();
    if (pool->second.empty()) inner.idle.erase(pool);
    inner.calls.emplace(id, link);
    link->Begin(id, std::move(text), std::move(handlers), head_only, true);
    link->SendSoon();
    return id;
  }
  const auto link = std::make_shared<Link>(this->state, inner.loop, address);
  inner.calls.emplace(id, link);
  link->Begin(id, std::move(text), std::move(handlers), head_only, false);
  const auto peer = ParseAddress(address);
  // An address that can't be read fails like one that can't be reached.
  link->Connect(peer.value_or(tcp::endpoint()),
                peer ? options.connect_timeout : Duration(0));
  return id;
}

void Client::Cancel(CallId id) {
  const auto found = this->state->calls.find(id);
  if (found == this->state->calls.end()) return;
  const auto link = found->second;
  this->state->calls.erase(found);
  link->Drop();
}

namespace {

using FetchDone = std::function<void(const CallResult&, const ResponseHead&,
                                     const std::string&)>;

/// A call that collects the body, until it has ended.
class Gathering : public std::enable_shared_from_this<Gathering> {
 public:
  Gathering(Loop& event_loop, Client& http_client, const FetchLimits& chosen,
            FetchDone on_done)
      : loop(event_loop),
        client(http_client),
        limits(chosen),
        done(std::move(on_done)),
        begun(event_loop.Now()),
        last_byte(event_loop.Now()) {}

  void Start(const std::string& address, const Request& request,
             const CallOptions& options) {
    const auto self = this->shared_from_this();
    CallHandlers handlers;
    handlers.on_head = [self](const ResponseHead& got) {
      self->last_byte = self->loop.Now();
      self->head = got;
    };
    handlers.on_data = [self](std::string_view bytes) {
      self->last_byte = self->loop.Now();
      self->body.append(bytes);
    };
    handlers.on_done = [self](const CallResult& result) {
      self->loop.Cancel(self->timer);
      self->done(result, self->head, self->body);
    };
    this->Wait();
    this->call =
        this->client.Start(address, request, options, std::move(handlers));
  }

 private:
  TimePoint GivenUpAt() const {
    return std::min(this->begun + this->limits.whole,
                    this->last_byte + this->limits.silence);
  }

  void Wait() {
    this->timer =
        this->loop.After(this->GivenUpAt() - this->loop.Now(),
                         [self = this->shared_from_this()] { self->Look(); });
  }

  void Look() {
    if (this->loop.Now() < this->GivenUpAt()) {
      this->Wait();
      return;
    }
    this->client.Cancel(this->call);
    CallResult result;
    result.sent = true;
    this->done(result, ResponseHead{}, "");
  }

  Loop& loop;
  Client& client;
  FetchLimits limits;
  FetchDone done;
  TimePoint begun;
  TimePoint last_byte;
  ResponseHead head;
  std::string body;
  CallId call = 0;
  TimerId timer = 0;
};

}  // namespace

void Fetch(Loop& loop, Client& client, const std::string& address,
           const Request& request, const FetchLimits& limits, FetchDone done,
           const CallOptions& options) {
  std::make_shared<Gathering>(loop, client, limits, std::move(done))
      ->Start(address, request, options);
}

}  // namespace toucanwharf::http
