#include "standins/relay/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <deque>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace toucanwharf::standins {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kPollMs = 20;
constexpr int kBacklog = 1024;
constexpr std::size_t kBlockBytes = 65536;
/// Limit of bytes buffered for a delayed direction. Above it the relay stops
/// reading, which slows down the sender.
constexpr std::size_t kMaxBufferedBytes = std::size_t{4} * 1024 * 1024;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void SendNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int Connect(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (connect(socket, generic, sizeof(address)) == 0) {
    SendNoDelay(socket);
    return socket;
  }
  close(socket);
  return -1;
}

/// Closes \p socket with a TCP reset instead of an orderly shutdown.
void Reset(int socket) {
  const linger zero_linger{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof(zero_linger));
  close(socket);
}

struct Chunk {
  SteadyClock::time_point due;
  std::string bytes;
};

/// One direction of a connection, with its delayed bytes.
struct Direction {
  int from = -1;
  int to = -1;
  bool from_client = false;
  bool ended = false;
  bool closed = false;
  std::size_t buffered_bytes = 0;
  std::deque<Chunk> chunks;
};

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

}  // namespace

/// One relayed connection, served by its own thread.
class Link {
 public:
  Link(Relay& owner, LinkState& link_state, int client, int server)
      : relay(owner), state(link_state) {
    this->up.from = client;
    this->up.to = server;
    this->up.from_client = true;
    this->down.from = server;
    this->down.to = client;
  }

  /// Relays until both directions are closed; false if the connection has to be
  /// reset.
  bool Run() {
    while (!this->state.cut) {
      if (!this->Poll()) return false;
      if (!this->Flush(this->up) || !this->Flush(this->down)) return false;
      if (this->up.closed && this->down.closed) return true;
    }
    return false;
  }

 private:
  bool Poll() {
    std::array<pollfd, 2> sockets{};
    sockets[0] = pollfd{this->PollableSocket(this->up), POLLIN, 0};
    sockets[1] = pollfd{this->PollableSocket(this->down), POLLIN, 0};
    poll(sockets.data(), sockets.size(), this->PollTimeoutMs());
    if (sockets[0].revents != 0 && !this->Read(this->up)) return false;
    return sockets[1].revents == 0 || this->Read(this->down);
  }

  static int PollableSocket(const Direction& flow) {
    return flow.ended || flow.buffered_bytes > kMaxBufferedBytes ? -1
                                                                 : flow.from;
  }

  int PollTimeoutMs() const {
    const bool has_delayed =
        !this->up.chunks.empty() || !this->down.chunks.empty();
    return has_delayed ? 1 : kPollMs;
  }

  bool Read(Direction& flow) {
    std::array<char, kBlockBytes> block;
    const ssize_t received =
        recv(flow.from, block.data(), block.size(), MSG_DONTWAIT);
    if (received < 0) return errno == EAGAIN || errno == EINTR;
    // A blackholed link drops bytes and end of stream alike: neither side
    // receives anything.
    if (this->state.blackholed) {
      flow.ended = flow.ended || received == 0;
      return true;
    }
    if (received == 0) {
      flow.ended = true;
      return true;
    }
    const auto size = static_cast<std::size_t>(received);
    if (flow.from_client) {
      this->relay.bytes_in += size;
      if (this->relay.ConsumeFault(this->relay.close_after_request)) {
        return false;
      }
    } else {
      this->relay.bytes_out += size;
      if (this->relay.ConsumeFault(this->relay.close_before_answer)) {
        return false;
      }
    }
    const std::chrono::milliseconds delay(this->relay.delay_ms.load());
    flow.buffered_bytes += size;
    flow.chunks.push_back(
        Chunk{SteadyClock::now() + delay, std::string(block.data(), size)});
    return true;
  }

  bool Flush(Direction& flow) {
    const auto now = SteadyClock::now();
    while (!flow.chunks.empty() && flow.chunks.front().due <= now) {
      const Chunk chunk = std::move(flow.chunks.front());
      flow.chunks.pop_front();
      flow.buffered_bytes -= chunk.bytes.size();
      if (this->state.blackholed) continue;
      if (!SendAll(flow.to, chunk.bytes)) return false;
    }
    if (!flow.ended || flow.closed || !flow.chunks.empty()) return true;
    if (this->state.blackholed) return true;
    flow.closed = true;
    shutdown(flow.to, SHUT_WR);
    return true;
  }

  Relay& relay;
  LinkState& state;
  Direction up;
  Direction down;
};

bool Relay::ConsumeFault(std::atomic<std::uint64_t>& remaining) {
  std::uint64_t now = remaining.load();
  while (now > 0) {
    if (remaining.compare_exchange_weak(now, now - 1)) return true;
  }
  return false;
}

std::uint16_t Relay::Start(std::uint16_t port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(listener, generic, sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    throw std::runtime_error("cannot listen");
  }
  socklen_t size = sizeof(address);
  getsockname(listener, generic, &size);
  std::thread([this, listener] { this->Accept(listener); }).detach();
  return ntohs(address.sin_port);
}

void Relay::Accept(int listener) {
  while (true) {
    const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) continue;
    SendNoDelay(client);
    const std::lock_guard lock(this->mutex);
    const std::uint64_t id = ++this->accepted;
    if (this->refuse) {
      Reset(client);
      continue;
    }
    const auto state = std::make_shared<LinkState>();
    state->blackholed = this->blackhole_new.load();
    this->open[id] = state;
    std::thread([this, client, id] { this->Serve(client, id); }).detach();
  }
}

void Relay::Serve(int client, std::uint64_t id) {
  std::shared_ptr<LinkState> state;
  {
    const std::lock_guard lock(this->mutex);
    state = this->open.at(id);
  }
  const int server = Connect(this->target);
  if (server < 0) {
    Reset(client);
  } else if (Link(*this, *state, client, server).Run()) {
    close(client);
    close(server);
  } else {
    Reset(client);
    Reset(server);
  }
  const std::lock_guard lock(this->mutex);
  this->open.erase(id);
}

void Relay::Set(const nlohmann::json& body) {
  const std::lock_guard lock(this->mutex);
  if (body.value("heal", false)) {
    this->refuse = false;
    this->blackhole_new = false;
    this->delay_ms = 0;
    this->close_after_request = 0;
    this->close_before_answer = 0;
  }
  const std::string silence = body.value("silence", "");
  for (auto& [id, link] : this->open) {
    if (!silence.empty()) link->blackholed = true;
    if (body.value("cut", false)) link->cut = true;
  }
  if (silence == "all") this->blackhole_new = true;
  this->refuse = body.value("refuse", this->refuse.load());
  this->delay_ms = body.value("delay_ms", this->delay_ms.load());
  this->close_after_request =
      body.value("close_after_request", this->close_after_request.load());
  this->close_before_answer =
      body.value("close_before_answer", this->close_before_answer.load());
}

nlohmann::json Relay::Status() {
  const std::lock_guard lock(this->mutex);
  return {{"accepted", this->accepted},
          {"open", this->open.size()},
          {"bytes_in", this->bytes_in.load()},
          {"bytes_out", this->bytes_out.load()},
          {"refuse", this->refuse.load()},
          {"silence_new", this->blackhole_new.load()},
          {"delay_ms", this->delay_ms.load()},
          {"close_after_request", this->close_after_request.load()},
          {"close_before_answer", this->close_before_answer.load()}};
}

}  // namespace toucanwharf::standins
