#include "toucanwharf/http/client.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstdio>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "address.h"
#include "bulk_turns.h"
#include "loop_state.h"
#include "parser.h"
#include "toucanwharf/resources/eviction.h"

namespace toucanwharf::http {
namespace {

using boost::asio::ip::tcp;
using Code = boost::system::error_code;

constexpr std::size_t kReadSize = 16UL * 1024;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 * 1024;
/// Before the final response of a call.
constexpr int kMaxInterimResponses = 100;
/// Assumed when a server doesn't announce an idle timeout.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(1);
/// Subtracted from the idle timeout that a server announces: the server's timer
/// started earlier, and a request sent while it closes would be lost.
constexpr Duration kIdleTimeoutMargin = std::chrono::seconds(1);
/// Idle connections kept to one address. More than the callers of one instance
/// use concurrently would only hold file descriptors.
constexpr std::size_t kMaxIdlePerAddress = 32;
/// Receive buffer of each connection, in bytes. What waits there for a caller
/// that reads slowly counts as memory of the machine.
constexpr int kReceiveBufferBytes = 32 * 1024;
/// A buffer of up to this many bytes is kept for the next ones.
constexpr std::size_t kKeptInputBytes = 1024;
/// When there is no room for more of answers, this part of all is freed at
/// once, so that room is seldom looked for.
constexpr std::size_t kFreedAnswersDivisor = 16;
/// Connections that remain for calls of the process itself, to the store and to
/// peers, as a part of all.
constexpr std::size_t kOwnCallsDivisor = 32;

std::string HeadText(const std::string& address, const Request& request) {
  std::string text =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  if (!request.headers.Find("Host")) {
    absl::StrAppend(&text, "Host: ", address, "\r\n");
  }
  for (const auto& [name, value] : request.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  const bool has_length = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
  if (has_length) {
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
  }
  text.append("\r\n");
  return text;
}

/// Returns how long a connection may stay idle, given the value of the
/// response's Keep-Alive field.
Duration IdleTimeout(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t start = value.find(kName);
  if (start == std::string_view::npos) return kDefaultIdleTimeout;
  int seconds = 0;
  const char* first = value.data() + start + kName.size();
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds) - kIdleTimeoutMargin;
}

}  // namespace

class ClientConnection;

struct Client::State {
  State(Loop& event_loop, const std::string& source_ip, Resources* shared)
      : loop(event_loop),
        resources(shared),
        source(ParseAddress(source_ip + ":0")) {}

  /// Counts the descriptor of a new connection, for which the one that has been
  /// idle for longest may be closed. Returns false if there is none.
  bool TakeDescriptor(resources::DescriptorLease& lease);
  bool CloseLongestIdle();
  /// Removes an idle connection to \p address that can take a request from the
  /// pool and returns it; null if there is none.
  std::shared_ptr<ClientConnection> TakeIdle(const std::string& address);
  /// Returns how many connections idle, which could be closed for others.
  std::size_t IdleCount() const;
  /// Ends the calls that hold most for longest of their answers if there is no
  /// room for what all hold.
  ///
  /// Load: faulty peers send what is no answer on many calls at once, and each
  /// call stays inside its own limits. Answers that make progress go on.
  void KeepWithinAnswers();

  Loop& loop;
  Resources* resources;
  /// Where connections come from; the system chooses if there is none.
  std::optional<tcp::endpoint> source;
  std::map<CallId, std::shared_ptr<ClientConnection>> calls;
  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>> idle;
  CallId last_call = 0;
};

/// One connection to a peer, with at most one call on it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(std::weak_ptr<Client::State> client_state, Loop& event_loop,
                   std::string peer_address)
      : client(std::move(client_state)),
        loop(event_loop),
        address(std::move(peer_address)),
        socket(event_loop.InternalState().context) {}
  ~ClientConnection() { this->loop.Cancel(this->timer); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  const std::string& Address() const { return this->address; }
  bool Open() const { return !this->closed; }

  void PrepareCall(CallId call, std::string text, Body body,
                   CallHandlers call_handlers, bool without_body, bool reused) {
    this->id = call;
    this->head_only = without_body;
    this->handlers = std::move(call_handlers);
    this->output = std::move(text);
    this->output_body = std::move(body);
    this->result = CallResult{};
    this->meter.Reset();
    this->interim_responses = 0;
    this->result.reused = reused;
    this->head_delivered = false;
    this->held = false;
    this->held_before = 0;
    this->progressed_at = this->loop.Now();
    this->loop.Cancel(this->timer);
    this->parser.emplace();
    this->parser->header_limit(kMaxResponseHeaderBytes);
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser->skip(without_body);
    this->parser->on_body = [this](std::string_view bytes) {
      this->OnBody(bytes);
    };
  }

  void Connect(const tcp::endpoint& peer,
               const std::optional<tcp::endpoint>& source, Duration timeout) {
    this->Bind(source);
    Code ignored;
    if (!this->socket.is_open()) this->socket.open(peer.protocol(), ignored);
    this->socket.set_option(
        tcp::socket::receive_buffer_size(kReceiveBufferBytes), ignored);
    const auto weak = this->weak_from_this();
    this->timer = this->loop.After(timeout, [weak] {
      if (const auto self = weak.lock()) self->Finish(CallEnd::kNotConnected);
    });
    this->socket.async_connect(
        peer, [self = this->shared_from_this()](const Code& error) {
          self->OnConnected(error);
        });
  }

  void SetResources(Resources& shared) {
    this->resources = &shared;
    this->input_lease = resources::Lease(shared.answers);
  }

  void SetDescriptor(resources::DescriptorLease lease) {
    this->descriptor = std::move(lease);
  }

  /// Ends the call, for which there is no descriptor, without a connection.
  void FailWithoutDescriptor() {
    this->loop.Post([self = this->shared_from_this()] {
      if (self->id == 0) return;
      self->result.no_descriptor = true;
      self->Finish(CallEnd::kNotConnected);
    });
  }

  TimePoint IdleSince() const { return this->idle_since; }

  /// Returns whether an idle connection can take a request: what the peer has
  /// sent since its last response would be read as the response to it.
  bool IsQuiet() {
    char byte = 0;
    Code error;
    this->socket.receive(boost::asio::buffer(&byte, 1),
                         tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block;
  }
  void RemoveFromPool();

  /// Sends the request on an open connection.
  void PostRequest() {
    this->loop.Post([self = this->shared_from_this()] {
      if (!self->closed && self->id != 0) self->SendRequest();
    });
  }

  void SetReading(bool reads) {
    this->held = !reads;
    if (reads) this->Read();
  }

  /// Returns what this call holds of its answer, which ending it would free.
  resources::Holding Holding() const {
    return {static_cast<std::size_t>(this->id), this->HeldBytes(),
            this->loop.Now() - this->progressed_at};
  }

  /// Ends the call, for whose answer there is no memory.
  void EndForMemory() { this->Finish(CallEnd::kNoMemory); }

  void Abandon() {
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
    this->descriptor.Release();
    this->input_lease.Resize(0);
    this->FreeOutput();
  }

 private:
  void FreeOutput() {
    std::string().swap(this->output);
    this->output_body = Body();
  }

  void Bind(const std::optional<tcp::endpoint>& source) {
    if (!source) return;
    const Code error = BindSource(this->socket, *source);
    if (!error) return;
    std::fprintf(stderr,
                 "calls cannot come from %s: %s; name an address of this "
                 "host\n",
                 source->address().to_string().c_str(),
                 error.message().c_str());
  }

  void OnConnected(const Code& error) {
    if (this->closed || this->id == 0) return;
    this->loop.Cancel(this->timer);
    if (error) {
      this->result.refused = error == boost::asio::error::connection_refused ||
                             error == boost::asio::error::connection_reset;
      this->Finish(CallEnd::kNotConnected);
      return;
    }
    Code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    EnableKeepAlive(this->socket);
    if (const auto on_connected = this->handlers.on_connected) on_connected();
    if (this->closed || this->id == 0) return;
    this->SendRequest();
    this->Read();
  }

  void SendRequest() {
    this->result.sent = true;
    const std::array<boost::asio::const_buffer, 2> text = {
        boost::asio::buffer(this->output),
        boost::asio::buffer(this->output_body.Text())};
    boost::asio::async_write(
        this->socket, text,
        [self = this->shared_from_this(), call = this->id,
         body = this->output_body](const Code& error, std::size_t) {
          // A server may respond before it has read the whole request. The
          // response is read first; the read side reports a lost connection.
          if (self->id != call) return;
          if (error) self->result.write_failed = true;
          self->FreeOutput();
        });
  }

  /// Waits for bytes without a buffer: most connections are idle, or wait for
  /// the next event.
  void Read() {
    if (this->closed || this->reading || this->held) return;
    this->reading = true;
    this->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](const Code& error) {
          self->reading = false;
          self->OnReadable(error);
        });
  }

  void OnReadable(const Code& error) {
    if (this->closed) return;
    if (!this->meter.IsBulk() || error) {
      this->ReadOnce(error);
      return;
    }
    this->reading = true;
    this->loop.InternalState().bulk.Await([self = this->shared_from_this()] {
      self->reading = false;
      if (!self->closed && !self->held) self->ReadOnce(Code());
    });
  }

  void ReadOnce(const Code& error) {
    std::array<char, kReadSize> buffer;
    Code read_error = error;
    std::size_t size = 0;
    const TimePoint began = this->loop.Now();
    if (!read_error) {
      size = this->socket.read_some(boost::asio::buffer(buffer), read_error);
    }
    if (read_error == boost::asio::error::would_block) {
      this->Read();
      return;
    }
    const auto self = this->shared_from_this();
    this->OnRead(read_error, {buffer.data(), size});
    if (size == kReadSize) this->meter.Add(this->loop.Now() - began);
  }

  void OnRead(const Code& error, std::string_view bytes) {
    if (this->id == 0) {
      // Idle: the peer closed, or sent bytes that belong to no request.
      this->Close();
      this->RemoveFromPool();
      return;
    }
    if (error) {
      this->OnReadError(error);
      return;
    }
    const auto self = this->shared_from_this();
    this->input.append(bytes);
    this->Parse();
    this->CountInput();
    if (const auto state = this->client.lock()) state->KeepWithinAnswers();
    this->Read();
  }

  void CountInput() {
    if (this->closed) std::string().swap(this->input);
    const std::size_t capacity = this->input.capacity();
    const bool mostly_unused = this->input.size() <= capacity / 4;
    if (capacity > kKeptInputBytes && mostly_unused) {
      this->input.shrink_to_fit();
    }
    this->input_lease.Resize(this->closed
                                 ? 0
                                 : this->input.capacity() +
                                       this->parser->head.headers.HeapBytes());
    const std::size_t held = this->HeldBytes();
    if (held <= this->held_before) this->progressed_at = this->loop.Now();
    this->held_before = held;
  }

  std::size_t HeldBytes() const {
    const auto& of_receiver = this->handlers.held_bytes;
    return this->input_lease.Amount() + (of_receiver ? of_receiver() : 0);
  }

  /// The socket reports a reset once: after a write has failed by it, the read
  /// side only sees an end.
  void OnReadError(const Code& error) {
    const bool orderly =
        error == boost::asio::error::eof && !this->result.write_failed;
    if (orderly && this->parser->got_some()) {
      Code parse_error;
      this->parser->put_eof(parse_error);
      if (!parse_error && this->parser->is_done()) {
        this->reusable = false;
        this->result.ended_by_close = true;
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
      // Deliver the head before any byte of the body.
      const bool head_delivered_before = this->head_delivered;
      this->parser->stops_at_body = !head_delivered_before;
      Code parse_error;
      const std::size_t size_before = this->input.size();
      const bool valid = this->parser->Feed(this->input, parse_error);
      if (this->id != call) return;
      if (!valid) {
        if (this->resources != nullptr) {
          ++this->resources->counters.malformed_answers;
        }
        this->Finish(CallEnd::kMalformed);
        return;
      }
      if (!this->parser->is_header_done()) return;
      if (!this->head_delivered && !this->DeliverHead()) return;
      if (this->id != call) return;
      if (this->parser->is_done()) {
        this->OnComplete();
        return;
      }
      // An incomplete chunk header: wait for more bytes.
      if (head_delivered_before && this->input.size() == size_before) return;
    }
  }

  /// Delivers the head. Returns false if more bytes must be read first.
  bool DeliverHead() {
    const int status = this->parser->head.status;
    constexpr int kFirstFinal = 200;
    if (status < kFirstFinal) {
      // An interim response; the final one follows.
      const int interim = this->interim_responses + 1;
      if (interim > kMaxInterimResponses) {
        this->Finish(CallEnd::kMalformed);
        return false;
      }
      const BulkMeter meter_of_call = this->meter;
      const bool failed_before = this->result.write_failed;
      std::string rest = std::move(this->input);
      this->input.clear();
      this->PrepareCall(this->id, std::move(this->output),
                        std::move(this->output_body), std::move(this->handlers),
                        this->head_only, this->result.reused);
      this->result.sent = true;
      this->result.write_failed = failed_before;
      this->meter = meter_of_call;
      this->interim_responses = interim;
      this->input = std::move(rest);
      return !this->input.empty();
    }
    this->head_delivered = true;
    this->parser->head.ends_with_connection = this->parser->need_eof();
    if (this->handlers.on_head) {
      const auto on_head = this->handlers.on_head;
      on_head(this->parser->head);
    }
    // The receiver has a copy.
    this->idle_timeout =
        IdleTimeout(this->parser->head.headers.Get("Keep-Alive"));
    this->parser->head.headers = Headers();
    return true;
  }

  void OnBody(std::string_view bytes) {
    if (this->id == 0 || !this->handlers.on_data) return;
    const auto on_data = this->handlers.on_data;
    on_data(bytes);
  }

  void OnComplete() {
    // Surplus bytes, or a request not yet fully sent, rule out reuse.
    this->reusable = this->parser->keep_alive() && this->input.empty() &&
                     this->output.empty() && !this->result.write_failed;
    this->Finish(CallEnd::kComplete);
  }

  void Finish(CallEnd end);
  void ReturnToPool(Client::State& state);

  std::weak_ptr<Client::State> client;
  Loop& loop;
  std::string address;
  tcp::socket socket;
  CallId id = 0;
  CallHandlers handlers;
  CallResult result;
  std::string input;
  resources::Lease input_lease;
  /// Bytes held after the last read, and when they last became no more.
  std::size_t held_before = 0;
  TimePoint progressed_at;
  /// How long the connection may idle after this call.
  Duration idle_timeout = kDefaultIdleTimeout;
  Resources* resources = nullptr;
  /// The head of the request, and its body, until they are sent.
  std::string output;
  Body output_body;
  resources::DescriptorLease descriptor;
  TimePoint idle_since;
  BulkMeter meter;
  int interim_responses = 0;
  std::optional<MessageParser<false>> parser;
  TimerId timer = 0;
  bool head_delivered = false;
  /// Whether the response has no body, whatever its head says.
  bool head_only = false;
  bool reading = false;
  /// Reading waits for the receiver of the response.
  bool held = false;
  bool reusable = false;
  bool closed = false;
};

void ClientConnection::Finish(CallEnd end) {
  if (this->id == 0) return;
  const auto self = this->shared_from_this();
  const auto state = this->client.lock();
  const CallId call = std::exchange(this->id, 0);
  const CallHandlers finished_handlers =
      std::exchange(this->handlers, CallHandlers{});
  this->result.end = end;
  const CallResult final_result = this->result;
  const bool reuse = end == CallEnd::kComplete && this->reusable && state;
  if (reuse) {
    this->ReturnToPool(*state);
  } else {
    this->Close();
  }
  if (!state) return;
  state->calls.erase(call);
  if (finished_handlers.on_done) finished_handlers.on_done(final_result);
}

void ClientConnection::ReturnToPool(Client::State& state) {
  auto& pool = state.idle[this->address];
  if (this->idle_timeout <= Duration(0) || pool.size() >= kMaxIdlePerAddress) {
    this->Close();
    return;
  }
  this->idle_since = this->loop.Now();
  pool.push_back(this->shared_from_this());
  const auto weak = this->weak_from_this();
  this->loop.Cancel(this->timer);
  this->timer = this->loop.After(this->idle_timeout, [weak] {
    const auto self = weak.lock();
    if (!self || self->id != 0) return;
    self->Close();
    self->RemoveFromPool();
  });
  this->Read();
}

void ClientConnection::RemoveFromPool() {
  const auto state = this->client.lock();
  if (!state) return;
  const auto found = state->idle.find(this->address);
  if (found == state->idle.end()) return;
  std::erase_if(found->second, [this](const auto& connection) {
    return connection.get() == this;
  });
  if (found->second.empty()) state->idle.erase(found);
}

std::size_t Client::State::IdleCount() const {
  std::size_t count = 0;
  for (const auto& [address, pool] : this->idle) count += pool.size();
  return count;
}

void Client::State::KeepWithinAnswers() {
  if (this->resources == nullptr) return;
  const resources::Account& answers = this->resources->answers;
  if (answers.Used() <= answers.Capacity()) return;
  const std::size_t wanted =
      answers.Capacity() - answers.Capacity() / kFreedAnswersDivisor;
  std::vector<resources::Holding> holdings;
  for (const auto& [id, connection] : this->calls) {
    const resources::Holding holding = connection->Holding();
    if (holding.bytes > 0) holdings.push_back(holding);
  }
  for (const std::size_t id : resources::ChooseEvictions(
           std::move(holdings), answers.Used() - wanted)) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) continue;
    ++this->resources->counters.evicted_answers;
    const auto connection = found->second;
    connection->EndForMemory();
  }
}

bool Client::State::CloseLongestIdle() {
  std::shared_ptr<ClientConnection> longest;
  for (const auto& [address, pool] : this->idle) {
    const auto& first = pool.front();
    if (!longest || first->IdleSince() < longest->IdleSince()) longest = first;
  }
  if (!longest) return false;
  longest->Close();
  longest->RemoveFromPool();
  ++this->resources->counters.evicted_connections;
  return true;
}

std::shared_ptr<ClientConnection> Client::State::TakeIdle(
    const std::string& address) {
  const auto pool = this->idle.find(address);
  if (pool == this->idle.end()) return nullptr;
  std::shared_ptr<ClientConnection> quiet;
  while (!quiet && !pool->second.empty()) {
    const auto last = std::move(pool->second.back());
    pool->second.pop_back();
    if (last->IsQuiet()) {
      quiet = last;
    } else {
      last->Close();
    }
  }
  if (pool->second.empty()) this->idle.erase(pool);
  return quiet;
}

bool Client::State::TakeDescriptor(resources::DescriptorLease& lease) {
  if (this->resources == nullptr) return true;
  constexpr auto kUse = resources::ConnectionUse::kCall;
  resources::Descriptors& descriptors = this->resources->descriptors;
  if (!descriptors.HasRoom(kUse)) this->CloseLongestIdle();
  if (!descriptors.Take(kUse)) {
    ++this->resources->counters.refused_calls;
    return false;
  }
  lease = resources::DescriptorLease(descriptors, kUse);
  return true;
}

Client::Client(Loop& loop, const std::string& source_ip, Resources* resources)
    : state(std::make_shared<State>(loop, source_ip, resources)) {}

bool Client::HasRoom() const {
  if (this->state->resources == nullptr) return true;
  const resources::Descriptors& descriptors =
      this->state->resources->descriptors;
  const std::size_t own_calls = descriptors.Capacity() / kOwnCallsDivisor;
  const std::size_t room = descriptors.Room(resources::ConnectionUse::kCall);
  return room > own_calls || room + this->state->IdleCount() > own_calls;
}

resources::Lease Client::LeaseForAnswer() const {
  if (this->state->resources == nullptr) return {};
  return resources::Lease(this->state->resources->answers);
}

Client::~Client() {
  for (const auto& [id, connection] : this->state->calls) connection->Abandon();
  for (const auto& [address, pool] : this->state->idle) {
    for (const auto& connection : pool) connection->Close();
  }
}

CallId Client::Start(const std::string& address, const Request& request,
                     const CallOptions& options, CallHandlers handlers) {
  State& inner = *this->state;
  const CallId id = ++inner.last_call;
  const bool head_only = request.method == "HEAD";
  std::string text = HeadText(address, request);
  const auto idle =
      options.reuse == Reuse::kAllowed ? inner.TakeIdle(address) : nullptr;
  if (idle) {
    inner.calls.emplace(id, idle);
    idle->PrepareCall(id, std::move(text), request.body, std::move(handlers),
                      head_only, true);
    idle->PostRequest();
    return id;
  }
  const auto connection =
      std::make_shared<ClientConnection>(this->state, inner.loop, address);
  inner.calls.emplace(id, connection);
  connection->PrepareCall(id, std::move(text), request.body,
                          std::move(handlers), head_only, false);
  resources::DescriptorLease descriptor;
  if (!inner.TakeDescriptor(descriptor)) {
    connection->FailWithoutDescriptor();
    return id;
  }
  connection->SetDescriptor(std::move(descriptor));
  if (inner.resources != nullptr) connection->SetResources(*inner.resources);
  const auto peer = ParseAddress(address);
  // A malformed address fails like an unreachable one.
  connection->Connect(peer.value_or(tcp::endpoint()), inner.source,
                      peer ? options.connect_timeout : Duration(0));
  return id;
}

void Client::Cancel(CallId id) {
  const auto found = this->state->calls.find(id);
  if (found == this->state->calls.end()) return;
  const auto connection = found->second;
  this->state->calls.erase(found);
  connection->Abandon();
}

void Client::SetReading(CallId id, bool reads) {
  const auto found = this->state->calls.find(id);
  if (found != this->state->calls.end()) found->second->SetReading(reads);
}

namespace {

using FetchDone = std::function<void(const CallResult&, const ResponseHead&,
                                     const std::string&)>;

/// A call in flight that collects the body.
class FetchOperation : public std::enable_shared_from_this<FetchOperation> {
 public:
  FetchOperation(Loop& event_loop, Client& http_client,
                 const FetchLimits& fetch_limits, FetchDone on_done)
      : loop(event_loop),
        client(http_client),
        limits(fetch_limits),
        done(std::move(on_done)),
        started_at(event_loop.Now()),
        last_byte_at(event_loop.Now()),
        held_lease(http_client.LeaseForAnswer()) {}

  void Start(const std::string& address, const Request& request,
             const CallOptions& options) {
    const auto self = this->shared_from_this();
    CallHandlers handlers;
    handlers.on_head = [self](const ResponseHead& received_head) {
      self->last_byte_at = self->loop.Now();
      self->head = received_head;
      self->CountHeld();
    };
    handlers.on_data = [self](std::string_view bytes) { self->OnData(bytes); };
    handlers.on_done = [self](const CallResult& result) {
      self->loop.Cancel(self->timer);
      self->done(result, self->head, self->body);
    };
    handlers.held_bytes = [self] { return self->held_lease.Amount(); };
    this->Wait();
    this->call =
        this->client.Start(address, request, options, std::move(handlers));
  }

 private:
  TimePoint Deadline() const {
    return std::min(this->started_at + this->limits.total,
                    this->last_byte_at + this->limits.inactivity);
  }

  void Wait() {
    this->timer = this->loop.After(
        this->Deadline() - this->loop.Now(),
        [self = this->shared_from_this()] { self->CheckDeadline(); });
  }

  void OnData(std::string_view bytes) {
    this->last_byte_at = this->loop.Now();
    if (this->body.size() + bytes.size() > this->limits.max_bytes) {
      this->loop.Cancel(this->timer);
      this->GiveUp(CallEnd::kMalformed);
      return;
    }
    this->body.append(bytes);
    this->CountHeld();
  }

  void CountHeld() {
    this->held_lease.Resize(this->body.capacity() +
                            this->head.headers.HeapBytes());
  }

  void CheckDeadline() {
    if (this->loop.Now() < this->Deadline()) {
      this->Wait();
      return;
    }
    this->GiveUp(CallEnd::kBroken);
  }

  void GiveUp(CallEnd end) {
    this->client.Cancel(this->call);
    CallResult result;
    result.end = end;
    result.sent = true;
    this->done(result, ResponseHead{}, "");
  }

  Loop& loop;
  Client& client;
  FetchLimits limits;
  FetchDone done;
  TimePoint started_at;
  TimePoint last_byte_at;
  ResponseHead head;
  std::string body;
  resources::Lease held_lease;
  CallId call = 0;
  TimerId timer = 0;
};

}  // namespace

void Fetch(Loop& loop, Client& client, const std::string& address,
           const Request& request, const FetchLimits& limits, FetchDone done,
           const CallOptions& options) {
  std::make_shared<FetchOperation>(loop, client, limits, std::move(done))
      ->Start(address, request, options);
}

}  // namespace toucanwharf::http
