#include "toucanwharf/gossip/ready_instance_list.h"

#include <arpa/inet.h>

#include <array>

namespace toucanwharf::gossip {

std::optional<std::uint32_t> IpNumber(const std::string& address) {
  const std::string ip = address.substr(0, address.rfind(':'));
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) return std::nullopt;
  return ntohl(parsed.s_addr);
}

std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':') + 1);
}

std::string AddressOf(std::uint32_t number, const std::string& port) {
  const in_addr address{htonl(number)};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address, text.data(), text.size());
  return std::string(text.data()) + ":" + port;
}

void ReadyInstanceList::Update(const std::vector<std::uint32_t>& reported,
                               TimePoint now) {
  if (reported.empty()) return;
  this->ready = reported;
  this->updated_at = now;
}

bool ReadyInstanceList::IsCurrent(TimePoint now) const {
  return this->updated_at && now - *this->updated_at <= kMaxAge;
}

}  // namespace toucanwharf::gossip
