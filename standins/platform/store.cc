#include "standins/platform/store.h"

#include <utility>

namespace toucanwharf::standins {
namespace {

constexpr std::size_t kMaxEvents = 20000;
constexpr std::size_t kMaxEventBytes = std::size_t{64} * 1024 * 1024;

std::uint64_t VersionOf(const Collection& collection, const std::string& name) {
  const auto found = collection.find(name);
  return found == collection.end() ? 0 : found->second->version;
}

}  // namespace

std::string StoredObject::Text() const {
  const nlohmann::json header = {{"collection", this->collection},
                                 {"name", this->name},
                                 {"version", this->version},
                                 {"writer", this->writer}};
  std::string text = header.dump();
  text.pop_back();
  return text + ",\"value\":" + this->value + "}";
}

ObjectPtr Store::Get(const std::string& collection, const std::string& name,
                     bool stale) {
  const std::lock_guard lock(this->mutex);
  const CollectionState& state = this->collections[collection];
  const Collection& objects = stale ? state.previous : state.current;
  const auto found = objects.find(name);
  return found == objects.end() ? nullptr : found->second;
}

ListResult Store::List(const std::string& collection, bool stale) {
  const std::lock_guard lock(this->mutex);
  const CollectionState& state = this->collections[collection];
  ListResult result;
  result.revision = stale ? state.previous_revision : this->revision;
  for (const auto& [name, object] : stale ? state.previous : state.current) {
    result.items.push_back(object);
  }
  return result;
}

WriteResult Store::Put(StoredObject object,
                       std::optional<std::uint64_t> if_version) {
  const std::lock_guard lock(this->mutex);
  CollectionState& state = this->collections[object.collection];
  const std::uint64_t current = VersionOf(state.current, object.name);
  if (if_version && *if_version != current) {
    return WriteResult{.version = current};
  }
  state.previous = state.current;
  state.previous_revision = this->revision;
  object.version = ++this->revision;
  const auto stored = std::make_shared<const StoredObject>(std::move(object));
  state.current[stored->name] = stored;
  this->Record(state, true, stored);
  return WriteResult{.done = true, .version = stored->version};
}

WriteResult Store::Delete(const std::string& collection,
                          const std::string& name,
                          std::optional<std::uint64_t> if_version) {
  const std::lock_guard lock(this->mutex);
  CollectionState& state = this->collections[collection];
  const auto found = state.current.find(name);
  if (found == state.current.end()) return WriteResult{.missing = true};
  if (if_version && *if_version != found->second->version) {
    return WriteResult{.version = found->second->version};
  }
  state.previous = state.current;
  state.previous_revision = this->revision;
  StoredObject deleted = *found->second;
  deleted.version = ++this->revision;
  state.current.erase(found);
  const std::uint64_t version = deleted.version;
  this->Record(state, false,
               std::make_shared<const StoredObject>(std::move(deleted)));
  return WriteResult{.done = true, .version = version};
}

void Store::Record(CollectionState& state, bool put, const ObjectPtr& object) {
  state.events.push_back(StoreEvent{object->version, put, object});
  state.event_bytes += object->value.size();
  while (state.events.size() > kMaxEvents ||
         state.event_bytes > kMaxEventBytes) {
    state.event_bytes -= state.events.front().object->value.size();
    state.dropped_revision = state.events.front().revision;
    state.events.pop_front();
  }
  state.changed.notify_all();
}

WatchResult Store::Watch(const std::string& collection, std::uint64_t after,
                         std::chrono::milliseconds wait,
                         const std::function<bool()>& interrupted) {
  std::unique_lock lock(this->mutex);
  CollectionState& state = this->collections[collection];
  WatchResult result;
  result.too_old = after < state.dropped_revision;
  if (result.too_old) return result;
  state.changed.wait_for(lock, wait, [&] {
    const bool has_changes =
        !state.events.empty() && state.events.back().revision > after;
    return has_changes || interrupted();
  });
  result.revision = this->revision;
  for (const StoreEvent& event : state.events) {
    if (event.revision > after) result.events.push_back(event);
  }
  return result;
}

void Store::WakeWatches() {
  const std::lock_guard lock(this->mutex);
  for (auto& [name, state] : this->collections) state.changed.notify_all();
}

}  // namespace toucanwharf::standins
