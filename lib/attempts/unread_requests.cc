#include "toucanwharf/attempts/unread_requests.h"

#include <algorithm>
#include <utility>

namespace toucanwharf::attempts {

void UnreadRequests::Add(const std::string& endpoint, TimePoint sent,
                         Extra extra) {
  this->unread[endpoint].push_back({sent, std::move(extra)});
}

std::vector<UnreadRequests::Extra> UnreadRequests::OnAnswered(
    const std::string& endpoint, TimePoint begun) {
  std::vector<Extra> read;
  const auto found = this->unread.find(endpoint);
  if (found == this->unread.end()) return read;
  std::erase_if(found->second, [&](Request& request) {
    if (request.sent > begun) return false;
    read.push_back(std::move(request.extra));
    return true;
  });
  if (found->second.empty()) this->unread.erase(found);
  return read;
}

std::vector<UnreadRequests::Extra> UnreadRequests::RemoveOld(TimePoint now) {
  std::vector<Extra> old;
  for (auto& [endpoint, requests] : this->unread) {
    std::erase_if(requests, [&](Request& request) {
      if (now - request.sent < this->max_unread) return false;
      old.push_back(std::move(request.extra));
      return true;
    });
  }
  std::erase_if(this->unread,
                [](const auto& entry) { return entry.second.empty(); });
  return old;
}

}  // namespace toucanwharf::attempts
