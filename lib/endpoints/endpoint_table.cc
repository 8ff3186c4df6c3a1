#include "toucanwharf/endpoints/endpoint_table.h"

#include <utility>

namespace toucanwharf::endpoints {

bool EndpointTable::Replace(std::vector<Endpoint> listed,
                            std::uint64_t revision, TimePoint now) {
  if (revision < this->last_revision) return false;
  this->last_revision = revision;
  if (std::exchange(this->away, false)) {
    this->missing_kept_until = now + this->outage_grace;
  }
  std::map<std::string, Endpoint> next;
  for (Endpoint& one : listed) {
    std::string id = one.id;
    next.emplace(std::move(id), std::move(one));
  }
  const std::size_t in_list = next.size();
  if (now < this->missing_kept_until) {
    for (const auto& [id, known] : this->by_id) next.emplace(id, known);
  }
  this->kept = next.size() - in_list;
  if (next == this->by_id && this->changed_revision > 0) return false;
  this->changed_revision = revision;
  this->by_id = std::move(next);
  return true;
}

const Endpoint* EndpointTable::Find(const std::string& id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : &found->second;
}

void EndpointTable::ForEachReady(
    const std::string& service,
    const std::function<void(const Endpoint&)>& visit) const {
  for (const auto& [id, one] : this->by_id) {
    if (one.service != service) continue;
    if (one.state != EndpointState::kReady) continue;
    visit(one);
  }
}

}  // namespace toucanwharf::endpoints
