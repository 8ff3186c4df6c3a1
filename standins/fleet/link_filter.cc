#include "standins/fleet/link_filter.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <filesystem>
#include <limits>
#include <optional>
#include <system_error>
#include <utility>

namespace toucanwharf::standins::fleet {
namespace {

constexpr Duration kWatchPeriod = std::chrono::milliseconds(2);

/// Offsets into the IPv4 header, which the kernel reaches below the TCP header.
constexpr std::uint32_t kNetworkHeader =
    static_cast<std::uint32_t>(SKF_NET_OFF);
constexpr std::uint32_t kTotalLength = kNetworkHeader + 2;
constexpr std::uint32_t kSourceAddress = kNetworkHeader + 12;
constexpr std::uint32_t kIpHeaderBytes = 20;
/// Byte of the TCP header whose upper half is its length in words.
constexpr std::uint32_t kDataOffset = 12;
constexpr std::uint32_t kDataOffsetMask = 0xf0;
constexpr std::uint32_t kWordsToBytesShift = 2;
constexpr std::uint32_t kDrop = 0;
constexpr std::uint32_t kAccept = std::numeric_limits<std::uint32_t>::max();

sock_filter Statement(int code, std::uint32_t operand) {
  return {static_cast<std::uint16_t>(code), 0, 0, operand};
}

sock_filter JumpIfEqual(std::uint32_t operand, std::uint8_t if_true,
                        std::uint8_t if_false) {
  return {static_cast<std::uint16_t>(BPF_JMP | BPF_JEQ | BPF_K), if_true,
          if_false, operand};
}

/// Appends the instructions that drop packets from \p source: all of them, or
/// with \p payload_only those that carry data.
void AppendDrop(std::vector<sock_filter>& program, std::uint32_t source,
                bool payload_only) {
  const std::vector<sock_filter> all = {Statement(BPF_RET | BPF_K, kDrop)};
  const std::vector<sock_filter> payload = {
      Statement(BPF_LD | BPF_B | BPF_ABS, kDataOffset),
      Statement(BPF_ALU | BPF_AND | BPF_K, kDataOffsetMask),
      Statement(BPF_ALU | BPF_RSH | BPF_K, kWordsToBytesShift),
      Statement(BPF_ALU | BPF_ADD | BPF_K, kIpHeaderBytes),
      Statement(BPF_MISC | BPF_TAX, 0),
      Statement(BPF_LD | BPF_H | BPF_ABS, kTotalLength),
      Statement(BPF_ALU | BPF_SUB | BPF_X, 0),
      JumpIfEqual(0, 1, 0),
      Statement(BPF_RET | BPF_K, kDrop),
      Statement(BPF_RET | BPF_K, kAccept)};
  const std::vector<sock_filter>& block = payload_only ? payload : all;
  program.push_back(Statement(BPF_LD | BPF_W | BPF_ABS, kSourceAddress));
  program.push_back(
      JumpIfEqual(source, 0, static_cast<std::uint8_t>(block.size())));
  program.insert(program.end(), block.begin(), block.end());
}

std::optional<std::string> Ip(const sockaddr_in& address) {
  if (address.sin_family != AF_INET) return std::nullopt;
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return std::string(text);
}

std::optional<std::string> LocalIp(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (getsockname(socket, generic, &size) != 0) return std::nullopt;
  return Ip(address);
}

std::optional<std::string> RemoteIp(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (getpeername(socket, generic, &size) != 0) return std::nullopt;
  return Ip(address);
}

/// Resets the connection of \p socket; its owner closes it.
void Reset(int socket) {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  // A connection that is gone already needs no reset.
  (void)connect(socket, &none, sizeof(none));
}

std::vector<int> OpenDescriptors() {
  std::vector<int> descriptors;
  std::error_code ignored;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
    const std::string name = entry.path().filename();
    int descriptor = -1;
    std::from_chars(name.data(), name.data() + name.size(), descriptor);
    descriptors.push_back(descriptor);
  }
  return descriptors;
}

std::uint32_t HostOrder(const std::string& ip) {
  return ntohl(inet_addr(ip.c_str()));
}

}  // namespace

bool LinkFilter::CutLink::Affects(const std::string& target) const {
  return this->targets.empty() ||
         std::find(this->targets.begin(), this->targets.end(), target) !=
             this->targets.end();
}

void LinkFilter::Cut(const std::string& source, LinkFault how,
                     const std::vector<std::string>& targets) {
  this->cuts[source] = CutLink{how, targets};
  this->Apply();
  if (std::exchange(this->watching, true)) return;
  this->loop.After(kWatchPeriod, [this] { this->Watch(); });
}

void LinkFilter::Heal(const std::string& source) {
  this->cuts.erase(source);
  this->Apply();
}

void LinkFilter::Watch() {
  if (this->cuts.empty()) {
    this->watching = false;
    return;
  }
  this->Apply();
  this->loop.After(kWatchPeriod, [this] { this->Watch(); });
}

void LinkFilter::Apply() {
  for (const int socket : OpenDescriptors()) {
    const auto local = LocalIp(socket);
    if (local && local->starts_with(this->prefix)) {
      this->ApplyTo(socket, *local);
    }
  }
}

void LinkFilter::ApplyTo(int socket, const std::string& local) {
  std::vector<sock_filter> program;
  const auto remote = RemoteIp(socket);
  for (const auto& [source, cut] : this->cuts) {
    if (!cut.Affects(local)) continue;
    const bool resets = cut.how == LinkFault::kReset;
    AppendDrop(program, HostOrder(source), resets);
    if (resets && remote == source) Reset(socket);
  }
  if (program.empty()) {
    const int unused = 0;
    setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    return;
  }
  program.push_back(Statement(BPF_RET | BPF_K, kAccept));
  const sock_fprog filter{static_cast<std::uint16_t>(program.size()),
                          program.data()};
  setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

}  // namespace toucanwharf::standins::fleet
