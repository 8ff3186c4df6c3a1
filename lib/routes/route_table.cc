#include "toucanwharf/routes/route_table.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace toucanwharf::routes {
namespace {

absl::string_view ToAbsl(std::string_view text) {
  return absl::string_view(text.data(), text.size());
}

std::string HostName(std::string_view host) {
  const std::size_t colon = host.find(':');
  return absl::AsciiStrToLower(ToAbsl(host.substr(0, colon)));
}

}  // namespace

RouteTable::RouteTable(Configuration read) : configuration(std::move(read)) {
  for (const Route& route : this->configuration.routes) {
    const std::string key =
        absl::StrCat(HostName(route.host), route.path_prefix);
    this->by_prefix.emplace(key, &route);
  }
  for (const Customer& customer : this->configuration.customers) {
    for (const std::string& key : customer.keys) {
      this->by_key.emplace(key, &customer);
    }
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  std::string key = absl::StrCat(HostName(host), ToAbsl(path));
  const std::size_t host_size = key.size() - path.size();
  // Every prefix ends with a slash, so only such cuts can match.
  while (key.size() > host_size) {
    const std::size_t slash = key.rfind('/');
    if (slash == std::string::npos || slash < host_size) return nullptr;
    key.resize(slash + 1);
    const auto found = this->by_prefix.find(key);
    if (found != this->by_prefix.end()) return found->second;
    key.resize(slash);
  }
  return nullptr;
}

const Customer* RouteTable::CustomerOf(std::string_view key) const {
  const auto found = this->by_key.find(ToAbsl(key));
  return found == this->by_key.end() ? nullptr : found->second;
}

const Service* RouteTable::FindService(std::string_view name) const {
  for (const Service& service : this->configuration.services) {
    if (service.name == name) return &service;
  }
  return nullptr;
}

const ServiceShare* DrawService(const Route& route, Random& random) {
  std::uint64_t total = 0;
  for (const ServiceShare& share : route.services) total += share.weight;
  if (total == 0) return nullptr;
  std::uint64_t drawn = random.Below(total);
  for (const ServiceShare& share : route.services) {
    if (drawn < share.weight) return &share;
    drawn -= share.weight;
  }
  return nullptr;
}

}  // namespace toucanwharf::routes
