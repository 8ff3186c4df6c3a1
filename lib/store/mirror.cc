#include "toucanwharf/store/mirror.h"

#include <algorithm>
#include <set>

namespace toucanwharf::store {

bool Mirror::Apply(const Event& event) {
  const std::string& name = event.object.key.name;
  const auto known = this->objects.find(name);
  const bool present = known != this->objects.end();
  if (present && known->second.version >= event.object.version) return false;
  if (!event.deleted) {
    this->objects.insert_or_assign(name, event.object);
    return true;
  }
  if (present) this->objects.erase(known);
  return present;
}

std::vector<Event> Mirror::OnListing(const Listing& listing) {
  if (this->filled && listing.revision < this->revision) return {};
  std::vector<Event> changes;
  std::set<std::string> listed;
  for (const Object& object : listing.objects) {
    listed.insert(object.key.name);
    const Event event{false, object};
    if (this->Apply(event)) changes.push_back(event);
  }
  std::vector<Event> deleted;
  for (const auto& [name, object] : this->objects) {
    if (listed.contains(name)) continue;
    deleted.push_back(Event{true, object});
    deleted.back().object.version = listing.revision;
  }
  for (const Event& event : deleted) {
    this->objects.erase(event.object.key.name);
    changes.push_back(event);
  }
  this->revision = listing.revision;
  this->must_list = false;
  this->filled = true;
  return changes;
}

std::vector<Event> Mirror::OnEvents(const store::Revision& after,
                                    const store::Revision& reached,
                                    const std::vector<Event>& events) {
  // A watch from before the last listing has nothing new.
  if (this->must_list || after != this->revision) return {};
  std::vector<Event> changes;
  for (const Event& event : events) {
    if (event.object.version <= after) continue;
    if (this->Apply(event)) changes.push_back(event);
  }
  this->revision = std::max(this->revision, reached);
  return changes;
}

}  // namespace toucanwharf::store
