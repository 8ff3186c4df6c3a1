#include "standins/platform/store.h"

#include <utility>

namespace toucanwharf::standins {
namespace {

constexpr std::size_t kMostEvents = 20000;
constexpr std::size_t kMostEventBytes = std::size_t{64} * 1024 * 1024;

std::uint64_t VersionOf(const Collection& collection, const std::string& name) {
  const auto found = collection.find(name);
  return found == collection.end() ? 0 : found->second->version;
}

}  // namespace

std::string StoredObject::Text() const {
  const nlohmann::json head = {{"collection", this->collection},
                               {"name", this->name},
                               {"version", this->version},
                               {"writer", this->writer}};
  std::string text = head.dump();
  text.pop_back();
  return text + ",\"value\":" + this->value + "}";
}

ObjectPtr Store::Get(const std::string& collection, const std::string& name,
                     bool stale) {
  const std::lock_guard lock(this->mutex);
  const Shelf& shelf = this->shelves[collection];
  const Collection& seen = stale ? shelf.before : shelf.now;
  const auto found = seen.find(name);
  return found == seen.end() ? nullptr : found->second;
}

ListResult Store::List(const std::string& collection, bool stale) {
  const std::lock_guard lock(this->mutex);
  const Shelf& shelf = this->shelves[collection];
  ListResult result;
  result.revision = stale ? shelf.before_revision : this->revision;
  for (const auto& [name, object] : stale ? shelf.before : shelf.now) {
    result.items.push_back(object);
  }
  return result;
}

WriteResult Store::Put(StoredObject object,
                       std::optional<std::uint64_t> if_version) {
  const std::lock_guard lock(this->mutex);
  Shelf& shelf = this->shelves[object.collection];
  const std::uint64_t current = VersionOf(shelf.now, object.name);
  if (if_version && *if_version != current) {
    return WriteResult{.version = current};
  }
  shelf.before = shelf.now;
  shelf.before_revision = this->revision;
  object.version = ++this->revision;
  const auto kept = std::make_shared<const StoredObject>(std::move(object));
  shelf.now[kept->name] = kept;
  this->Record(shelf, true, kept);
  return WriteResult{.done = true, .version = kept->version};
}

WriteResult Store::Delete(const std::string& collection,
                          const std::string& name,
                          std::optional<std::uint64_t> if_version) {
  const std::lock_guard lock(this->mutex);
  Shelf& shelf = this->shelves[collection];
  const auto found = shelf.now.find(name);
  if (found == shelf.now.end()) return WriteResult{.missing = true};
  if (if_version && *if_version != found->second->version) {
    return WriteResult{.version = found->second->version};
  }
  shelf.before = shelf.now;
  shelf.before_revision = this->revision;
  StoredObject last = *found->second;
  last.version = ++this->revision;
  shelf.now.erase(found);
  const std::uint64_t version = last.version;
  this->Record(shelf, false,
               std::make_shared<const StoredObject>(std::move(last)));
  return WriteResult{.done = true, .version = version};
}

void Store::Record(Shelf& shelf, bool put, const ObjectPtr& object) {
  shelf.events.push_back(StoreEvent{object->version, put, object});
  shelf.event_bytes += object->value.size();
  while (shelf.events.size() > kMostEvents ||
         shelf.event_bytes > kMostEventBytes) {
    shelf.event_bytes -= shelf.events.front().object->value.size();
    shelf.forgotten = shelf.events.front().revision;
    shelf.events.pop_front();
  }
  shelf.changed.notify_all();
}

WatchResult Store::Watch(const std::string& collection, std::uint64_t after,
                         std::chrono::milliseconds wait,
                         const std::function<bool()>& interrupted) {
  std::unique_lock lock(this->mutex);
  Shelf& shelf = this->shelves[collection];
  WatchResult result;
  result.too_old = after < shelf.forgotten;
  if (result.too_old) return result;
  shelf.changed.wait_for(lock, wait, [&] {
    const bool news =
        !shelf.events.empty() && shelf.events.back().revision > after;
    return news || interrupted();
  });
  result.revision = this->revision;
  for (const StoreEvent& event : shelf.events) {
    if (event.revision > after) result.events.push_back(event);
  }
  return result;
}

void Store::WakeWatches() {
  const std::lock_guard lock(this->mutex);
  for (auto& [name, shelf] : this->shelves) shelf.changed.notify_all();
}

}  // namespace toucanwharf::standins
