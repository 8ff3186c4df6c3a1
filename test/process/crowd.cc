#include "test/process/crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace toucanwharf::process_test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kPieceBytes = 16UL * 1024;
/// Receive buffer of each connection, so that unread answers stay with the
/// peer.
constexpr int kReceiveBufferBytes = 4096;
constexpr auto kSendPatience = std::chrono::seconds(2);
constexpr auto kPause = std::chrono::milliseconds(5);
constexpr auto kReadTime = std::chrono::seconds(2);
constexpr auto kSamplePeriod = std::chrono::milliseconds(20);
constexpr std::size_t kBytesPerKib = 1024;

sockaddr_in ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  return to;
}

/// Returns the connected socket, or -1.
int Connect(const sockaddr_in& to) {
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  // The kernel drops the first packet while the queue of new connections is
  // full, and sends it again after a second.
  const timeval patience{2, 0};
  setsockopt(opened, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
  const auto* generic = reinterpret_cast<const sockaddr*>(&to);
  if (connect(opened, generic, sizeof(to)) != 0) {
    close(opened);
    return -1;
  }
  fcntl(opened, F_SETFL, O_NONBLOCK);
  return opened;
}

}  // namespace

std::string LengthField(std::size_t length) {
  return "Content-Length: " + std::to_string(length) + "\r\n";
}

std::string RequestHead(std::size_t index, const std::string& framing,
                        const std::string& method_and_target,
                        const std::string& key) {
  return method_and_target + " HTTP/1.1\r\nHost: " + PlatformFleet::kHost +
         "\r\nX-Request-Id: crowd-" + std::to_string(index) +
         "\r\nX-Deadline-Ms: 4000\r\n" +
         (key.empty() ? "" : "Authorization: Token " + key + "\r\n") + framing +
         "\r\n";
}

std::string Chunks(std::size_t bytes, std::size_t chunk_bytes) {
  std::ostringstream size;
  size << std::hex << chunk_bytes << "\r\n";
  const std::string chunk = size.str() + std::string(chunk_bytes, 'c') + "\r\n";
  std::string text;
  for (std::size_t sent = 0; sent < bytes; sent += chunk_bytes) text += chunk;
  return text;
}

namespace {

/// Returns what clients that do \p what send: a head for each, and a body.
std::pair<std::function<std::string(std::size_t)>, std::string> ScriptOf(
    Misbehaviour what, std::size_t body_bytes) {
  constexpr std::size_t kLongHead = 12000;
  constexpr std::size_t kLargeChunk = 64UL * 1024;
  const auto with = [](const std::string& framing,
                       const std::string& call = "POST /read/x",
                       const std::string& key = PlatformFleet::kKey) {
    return [=](std::size_t index) {
      return RequestHead(index, framing, call, key);
    };
  };
  const std::string length = LengthField(body_bytes);
  switch (what) {
    case Misbehaviour::kNothing:
      return {[](std::size_t) { return ""; }, ""};
    case Misbehaviour::kHeadWithoutEnd:
      return {[](std::size_t) { return "GET /read/x HTTP/1.1\r\nX-Long: "; },
              std::string(kLongHead, 'h')};
    case Misbehaviour::kBodyShortOfItsEnd:
      return {with(length), std::string(body_bytes - 1, 'b')};
    case Misbehaviour::kTinyChunks:
      return {with(kChunkedField), Chunks(body_bytes / 8, 1)};
    case Misbehaviour::kBodyOverTheLimit:
      return {with(kChunkedField), Chunks(2 * body_bytes, kLargeChunk)};
    case Misbehaviour::kWholeBodyWithoutKey:
      return {with(length, "POST /read/x", ""), std::string(body_bytes, 'b')};
    case Misbehaviour::kWholeBody:
      return {with(length), std::string(body_bytes, 'b')};
    case Misbehaviour::kReadsNothing:
      return {with("", "GET /read/long-answer"), ""};
  }
  return {};
}

}  // namespace

void PlayCrowd(const std::string& address, Misbehaviour what, std::size_t count,
               std::size_t body_bytes, std::chrono::milliseconds duration) {
  const auto until = Clock::now() + duration;
  const auto [head, body] = ScriptOf(what, body_bytes);
  Crowd crowd(address, count);
  crowd.Send(head, body);
  std::this_thread::sleep_until(until);
}

Crowd::Crowd(const std::string& address, std::size_t count) {
  const sockaddr_in to = ParseAddress(address);
  for (std::size_t index = 0; index < count; ++index) {
    this->connections.push_back({Connect(to), "", 0});
  }
}

Crowd::~Crowd() {
  for (const Connection& connection : this->connections) {
    if (connection.socket >= 0) close(connection.socket);
  }
}

bool Crowd::SendPiece(Connection& connection, const std::string& body) {
  const bool in_head = connection.sent < connection.head.size();
  const std::string& text = in_head ? connection.head : body;
  const std::size_t offset =
      in_head ? connection.sent : connection.sent - connection.head.size();
  const std::size_t size = std::min(kPieceBytes, text.size() - offset);
  if (size == 0 || connection.socket < 0) return false;
  const ssize_t sent = send(connection.socket, text.data() + offset, size,
                            MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) {
    if (errno == EAGAIN) return false;
    close(connection.socket);
    connection.socket = -1;
    return false;
  }
  connection.sent += static_cast<std::size_t>(sent);
  return true;
}

void Crowd::Send(const std::function<std::string(std::size_t)>& head,
                 const std::string& body) {
  for (std::size_t index = 0; index < this->connections.size(); ++index) {
    this->connections[index].head = head(index);
    this->connections[index].sent = 0;
  }
  auto last_progress = Clock::now();
  while (Clock::now() - last_progress < kSendPatience) {
    bool progress = false;
    bool done = true;
    for (Connection& connection : this->connections) {
      progress = SendPiece(connection, body) || progress;
      const std::size_t total = connection.head.size() + body.size();
      done = done && (connection.socket < 0 || connection.sent == total);
    }
    if (done) break;
    if (progress) last_progress = Clock::now();
    if (!progress) std::this_thread::sleep_for(kPause);
  }
  std::this_thread::sleep_for(kReadTime);
}

ProcessWatch::ProcessWatch(pid_t watched) : pid(watched) {
  this->sampler = std::thread([this] {
    const std::filesystem::path descriptors =
        "/proc/" + std::to_string(this->pid) + "/fd";
    while (!this->ends) {
      std::error_code gone;
      std::size_t count = 0;
      for (std::filesystem::directory_iterator entry(descriptors, gone), end;
           !gone && entry != end; entry.increment(gone)) {
        ++count;
      }
      this->peak_descriptors = std::max(this->peak_descriptors.load(), count);
      std::this_thread::sleep_for(kSamplePeriod);
    }
  });
}

ProcessWatch::~ProcessWatch() {
  this->ends = true;
  this->sampler.join();
}

std::size_t ProcessWatch::PeakResidentBytes() const {
  constexpr std::string_view kName = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (!line.starts_with(kName)) continue;
    return std::stoul(line.substr(kName.size())) * kBytesPerKib;
  }
  return 0;
}

}  // namespace toucanwharf::process_test
