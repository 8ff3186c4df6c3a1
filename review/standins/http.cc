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
#include <optional>
#include <thread>

namespace review {
namespace {

constexpr std::size_t kReadSize = 16UL * 1024;

std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

sockaddr_in ToSocketAddress(const std::string& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  const std::size_t colon = address.find(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  result.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(&address[colon + 1])));
  return result;
}

/// Bytes of one connection that have been received and not yet used.
struct Input {
  int fd;
  std::string bytes;
  bool reset = false;

  /// Reads more. Returns false at the end, a reset or after \p timeout_ms.
  bool Read(std::int64_t timeout_ms, std::size_t most = kReadSize) {
    pollfd ready{this->fd, POLLIN, 0};
    const auto wait = static_cast<int>(std::max<std::int64_t>(timeout_ms, 0));
    if (poll(&ready, 1, wait) <= 0) return false;
    std::string part(most, '\0');
    const ssize_t size = recv(this->fd, part.data(), part.size(), 0);
    this->reset = size < 0;
    if (size <= 0) return false;
    this->bytes.append(part, 0, static_cast<std::size_t>(size));
    return true;
  }

  std::string Take(std::size_t size) {
    std::string taken = this->bytes.substr(0, size);
    this->bytes.erase(0, size);
    return taken;
  }
};

/// Takes the first line and the headers off \p input, which has all of them.
std::string TakeHead(Input& input, Headers& headers) {
  const std::string head = input.Take(input.bytes.find("\r\n\r\n") + 4);
  std::size_t start = head.find("\r\n") + 2;
  const std::string first = head.substr(0, start - 2);
  while (start + 2 < head.size()) {
    const std::size_t end = head.find("\r\n", start);
    const std::string line = head.substr(start, end - start);
    const std::size_t colon = line.find(':');
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    if (colon != std::string::npos) {
      headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    start = end + 2;
  }
  return first;
}

bool HasHead(const Input& input) {
  return input.bytes.find("\r\n\r\n") != std::string::npos;
}

std::string RequestText(const Request& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!request.body.empty() || request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

/// Reads one request; bodies come with a length, as toucanwharf sends them.
bool ReadRequest(Input& input, Request& request) {
  constexpr std::int64_t kIdleMs = 60000;
  while (!HasHead(input)) {
    if (!input.Read(kIdleMs)) return false;
  }
  const std::string first = TakeHead(input, request.headers);
  const std::size_t space = first.find(' ');
  request.method = first.substr(0, space);
  request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
  const auto length = static_cast<std::size_t>(
      std::atoll(request.Header("Content-Length").c_str()));
  while (input.bytes.size() < length) {
    if (!input.Read(kIdleMs)) return false;
  }
  request.body = input.Take(length);
  return true;
}

void ServeConnection(
    int fd, const std::function<void(const Request&, Reply&)>& handler) {
  Input input{fd, "", false};
  while (true) {
    Request request;
    if (!ReadRequest(input, request)) break;
    Reply reply(fd);
    handler(request, reply);
    if (reply.close) break;
  }
  close(fd);
}

/// Reads an answer as its caller; keeps the deadline and the reading rate.
class AnswerReader {
 public:
  AnswerReader(Input& source, const CallOptions& call_options)
      : input(source),
        options(call_options),
        deadline(NowMs() + call_options.timeout_ms) {}

  Answer Run() {
    while (!HasHead(this->input)) {
      if (!this->More()) return this->answer;
    }
    const std::string first = TakeHead(this->input, this->answer.headers);
    this->answer.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    this->answer.end = this->ReadBody() ? End::kWhole : End::kBroken;
    if (this->options.listen_on_ms > 0 && this->answer.end == End::kWhole) {
      this->deadline = NowMs() + this->options.listen_on_ms;
      while (this->More()) {
      }
      this->answer.surplus = this->input.bytes.size();
    }
    return this->answer;
  }

 private:
  bool More() {
    std::size_t most = kReadSize;
    if (this->options.read_per_s > 0) {
      constexpr std::size_t kStepMs = 20;
      SleepMs(kStepMs);
      most =
          std::max<std::size_t>(1, this->options.read_per_s * kStepMs / 1000);
    }
    return this->input.Read(this->deadline - NowMs(), most);
  }

  bool ReadBody() {
    if (this->answer.Header("Transfer-Encoding") == "chunked") {
      return this->ReadChunks();
    }
    const std::string length = this->answer.Header("Content-Length");
    if (length.empty()) return this->ReadToEnd();
    return this->ReadExactly(
        static_cast<std::size_t>(std::atoll(length.c_str())));
  }

  bool ReadExactly(std::size_t length) {
    const std::size_t end = this->answer.body.size() + length;
    while (true) {
      const std::size_t missing = end - this->answer.body.size();
      this->Append(this->input.Take(missing));
      if (this->answer.body.size() == end) return true;
      if (!this->More()) return false;
    }
  }

  bool ReadToEnd() {
    do {
      this->Append(this->input.Take(this->input.bytes.size()));
    } while (this->More());
    return !this->input.reset && NowMs() < this->deadline;
  }

  bool ReadChunks() {
    while (true) {
      while (this->input.bytes.find("\r\n") == std::string::npos) {
        if (!this->More()) return false;
      }
      const std::string line =
          this->input.Take(this->input.bytes.find("\r\n") + 2);
      const auto size =
          static_cast<std::size_t>(std::strtoull(line.c_str(), nullptr, 16));
      if (size > 0 && !this->ReadExactly(size)) return false;
      while (this->input.bytes.size() < 2) {
        if (!this->More()) return false;
      }
      this->input.Take(2);
      if (size == 0) return true;
    }
  }

  void Append(const std::string& bytes) {
    this->answer.body += bytes;
    if (bytes.empty() || !this->options.on_progress) return;
    this->options.on_progress(this->answer.body.size());
  }

  Input& input;
  const CallOptions& options;
  std::int64_t deadline;
  Answer answer;
};

}  // namespace

std::string Request::Header(const std::string& name) const {
  return Find(this->headers, name);
}

std::string Request::Path() const {
  return this->target.substr(0, this->target.find('?'));
}

std::string Answer::Header(const std::string& name) const {
  return Find(this->headers, name);
}

std::int64_t NowMs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int Listen(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in place = ToSocketAddress(address);
  constexpr int kBacklog = 256;
  const auto* generic = reinterpret_cast<const sockaddr*>(&place);
  if (bind(fd, generic, sizeof(place)) != 0 || listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int FreePort(const std::string& ip) {
  // Below the range from which the system takes ports of outgoing connections.
  constexpr int kFirst = 12000;
  constexpr int kCount = 18000;
  static unsigned next = static_cast<unsigned>(getpid()) * 131U;
  while (true) {
    const int port = kFirst + static_cast<int>(next++ % kCount);
    const int stream = Listen(ip + ":" + std::to_string(port));
    if (stream < 0) continue;
    close(stream);
    const int datagram = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in place = ToSocketAddress(ip + ":" + std::to_string(port));
    const int taken = bind(datagram, reinterpret_cast<const sockaddr*>(&place),
                           sizeof(place));
    close(datagram);
    if (taken == 0) return port;
  }
}

bool Reply::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      this->close = true;
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool Reply::Respond(int status, const Headers& headers,
                    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return this->Send(text + body);
}

void Serve(int listener, std::function<void(const Request&, Reply&)> handler) {
  std::thread([listener, handler = std::move(handler)] {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([fd, &handler] { ServeConnection(fd, handler); }).detach();
    }
  }).detach();
}

Answer Call(const std::string& address, const Request& request,
            const CallOptions& options) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (options.read_per_s > 0) {
    // A caller behind a slow link has a small window.
    const int window = 32 * 1024;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  }
  const sockaddr_in place = ToSocketAddress(address);
  Answer none;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&place), sizeof(place)) !=
      0) {
    close(fd);
    return none;
  }
  Reply sender(fd);
  sender.Send(RequestText(request));
  Input input{fd, "", false};
  Answer answer = AnswerReader(input, options).Run();
  close(fd);
  return answer;
}

}  // namespace review
