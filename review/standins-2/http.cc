#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Reads bytes from a socket until a deadline.
class Reader {
 public:
  Reader(int socket, Clock::time_point until, std::size_t rate = 0)
      : fd(socket), deadline(until), bytes_per_second(rate) {}

  /// Appends more bytes to `text`. Returns false at the end, after a failure or
  /// at the deadline.
  bool More() {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->deadline - Clock::now());
    if (left.count() <= 0) return false;
    pollfd waiting{this->fd, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(left.count())) <= 0) return false;
    char buffer[16384];
    const ssize_t size = recv(this->fd, buffer, sizeof buffer, 0);
    if (size == 0) this->at_end = true;
    if (size <= 0) return false;
    this->text.append(buffer, static_cast<std::size_t>(size));
    if (this->bytes_per_second > 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(
          1000000 * size / static_cast<ssize_t>(this->bytes_per_second)));
    }
    return true;
  }

  /// Reads up to and including \p mark and returns its position, or npos.
  std::size_t Find(const std::string& mark, std::size_t from) {
    for (;;) {
      const std::size_t found = this->text.find(mark, from);
      if (found != std::string::npos) return found;
      if (!this->More()) return std::string::npos;
    }
  }

  bool Take(std::size_t size) {
    while (this->text.size() < size) {
      if (!this->More()) return false;
    }
    return true;
  }

  int fd;
  Clock::time_point deadline;
  std::size_t bytes_per_second;
  std::string text;
  /// Whether the peer closed the connection in order.
  bool at_end = false;
};

/// Reads the header lines of a message that begins at 0. Returns where the body
/// begins, or npos.
std::size_t ReadHead(Reader& reader, std::string& first_line,
                     HeaderList& headers) {
  const std::size_t end = reader.Find("\r\n\r\n", 0);
  if (end == std::string::npos) return end;
  std::size_t at = 0;
  bool first = true;
  while (at < end) {
    const std::size_t line_end = reader.text.find("\r\n", at);
    const std::string line = reader.text.substr(at, line_end - at);
    at = line_end + 2;
    if (std::exchange(first, false)) {
      first_line = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return end + 4;
}

/// Reads a chunked body that begins at \p at. Returns whether it is complete,
/// and sets \p at to its end.
bool ReadChunks(Reader& reader, std::size_t& at, std::string& body) {
  for (;;) {
    const std::size_t line_end = reader.Find("\r\n", at);
    if (line_end == std::string::npos) return false;
    const std::size_t size = std::strtoul(
        reader.text.substr(at, line_end - at).c_str(), nullptr, 16);
    at = line_end + 2;
    if (!reader.Take(at + size + 2)) {
      body.append(reader.text.substr(at));
      return false;
    }
    body.append(reader.text, at, size);
    at += size + 2;
    if (size == 0) return true;
  }
}

void ResetOnClose(int fd) {
  const linger at_once{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

}  // namespace

std::string HeaderOf(const HeaderList& headers, const std::string& name) {
  for (const auto& [known, value] : headers) {
    if (strcasecmp(known.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

std::string HeadText(int status, const HeaderList& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "\r\n";
}

bool Peer::Send(const std::string& bytes) { return SendAll(this->fd, bytes); }

bool Peer::Respond(int status, const HeaderList& headers,
                   const std::string& body) {
  HeaderList all = headers;
  all.emplace_back("Content-Length", std::to_string(body.size()));
  return this->Send(HeadText(status, all) + body);
}

Server::Server(const std::string& ip, int port, Handler request_handler)
    : handler(std::move(request_handler)) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 256) != 0) {
    close(fd);
    throw std::runtime_error("cannot listen on " + ip);
  }
  this->listener = fd;
  this->acceptor = std::thread([this] { this->Accept(); });
}

Server::~Server() {
  this->Crash();
  this->acceptor.join();
  while (this->running > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Server::Crash() {
  const std::lock_guard lock(this->mutex);
  const int fd = this->listener.exchange(-1);
  if (fd >= 0) {
    shutdown(fd, SHUT_RDWR);
    close(fd);
  }
  for (const int connection : this->open) {
    ResetOnClose(connection);
    shutdown(connection, SHUT_RD);
  }
}

void Server::Accept() {
  for (;;) {
    const int listening = this->listener;
    if (listening < 0) return;
    const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(this->mutex);
    if (this->listener < 0) {
      close(fd);
      return;
    }
    this->open.insert(fd);
    ++this->running;
    std::thread([this, fd] {
      this->Serve(fd);
      {
        const std::lock_guard closing(this->mutex);
        this->open.erase(fd);
        close(fd);
      }
      --this->running;
    }).detach();
  }
}

void Server::Serve(int fd) {
  std::string rest;
  for (;;) {
    Reader reader(fd, Clock::now() + std::chrono::seconds(60));
    reader.text = rest;
    std::string first_line;
    Request request;
    const std::size_t at = ReadHead(reader, first_line, request.headers);
    if (at == std::string::npos) return;
    const std::size_t space = first_line.find(' ');
    request.method = first_line.substr(0, space);
    request.target = first_line.substr(
        space + 1, first_line.find(' ', space + 1) - space - 1);
    const std::size_t size = std::strtoul(
        HeaderOf(request.headers, "Content-Length").c_str(), nullptr, 10);
    if (!reader.Take(at + size)) return;
    request.body = reader.text.substr(at, size);
    rest = reader.text.substr(at + size);
    Peer peer(fd);
    if (!this->handler(request, peer)) return;
  }
}

Channel::Channel(const std::string& ip, int port)
    : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = AddressOf(ip, port);
  const bool connected =
      connect(this->fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0;
  if (connected) {
    const int on = 1;
    setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return;
  }
  close(this->fd);
  this->fd = -1;
}

Channel::~Channel() {
  if (this->fd >= 0) close(this->fd);
}

bool Channel::Send(const std::string& bytes) {
  return this->fd >= 0 && SendAll(this->fd, bytes);
}

Reply Channel::Receive(const CallOptions& options) {
  Reply reply;
  if (this->fd < 0) return reply;
  if (options.bytes_per_second > 0) {
    const int window = 64 * 1024;
    setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  }
  Reader reader(this->fd,
                Clock::now() + std::chrono::milliseconds(options.timeout_ms),
                options.bytes_per_second);
  std::string first_line;
  std::size_t at = ReadHead(reader, first_line, reply.headers);
  if (at == std::string::npos) return reply;
  reply.status = std::atoi(first_line.substr(first_line.find(' ')).c_str());
  const std::string length = HeaderOf(reply.headers, "Content-Length");
  if (strcasecmp(HeaderOf(reply.headers, "Transfer-Encoding").c_str(),
                 "chunked") == 0) {
    reply.complete = ReadChunks(reader, at, reply.body);
  } else if (!length.empty()) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    reply.complete = reader.Take(at + size);
    reply.body = reader.text.substr(at, size);
  } else {
    while (reader.More()) continue;
    reply.body = reader.text.substr(at);
    reply.complete = reader.at_end;
  }
  return reply;
}

std::string TextOf(const Request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!request.body.empty() || request.method == "POST") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

Reply Call(const std::string& ip, int port, const Request& request,
           const CallOptions& options) {
  Channel channel(ip, port);
  channel.Send(TextOf(request));
  return channel.Receive(options);
}

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf("127.0.0.1", 0);
  socklen_t size = sizeof address;
  bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace review
