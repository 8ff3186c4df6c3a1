#ifndef TOUCANWHARF_STANDINS_PLATFORM_STORE_H_
#define TOUCANWHARF_STANDINS_PLATFORM_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace toucanwharf::standins {

/// Maximum size of an object's value in bytes.
inline constexpr std::size_t kValueLimit = 1048576;

/// An object as stored. The value stays serialized, since the store doesn't
/// interpret it.
struct StoredObject {
  std::string collection;
  std::string name;
  std::uint64_t version = 0;
  std::string writer;
  std::string value;

  /// Returns the object as JSON text, as specified in docs/PROTOCOLS.md.
  std::string Text() const;
};

using ObjectPtr = std::shared_ptr<const StoredObject>;
using Collection = std::map<std::string, ObjectPtr>;

/// Outcome of a conditional write.
struct WriteResult {
  bool done = false;
  bool missing = false;
  /// The new version, or the current one if the condition failed.
  std::uint64_t version = 0;
};

/// Result of a list call.
struct ListResult {
  std::uint64_t revision = 0;
  std::vector<ObjectPtr> items;
};

/// A change reported by a watch.
struct StoreEvent {
  std::uint64_t revision = 0;
  bool put = true;
  ObjectPtr object;
};

/// Result of a watch call; if too_old is set, the caller has to list again.
struct WatchResult {
  bool too_old = false;
  std::uint64_t revision = 0;
  std::vector<StoreEvent> events;
};

/// Versioned objects with conditional writes and watches.
/// Thread safety: safe; all methods may be called concurrently.
class Store {
 public:
  /// Returns the object, or null. With \p stale, as it was before the
  /// collection's last write.
  ObjectPtr Get(const std::string& collection, const std::string& name,
                bool stale);
  /// Returns all objects of \p collection. With \p stale, as they were before
  /// the collection's last write.
  ListResult List(const std::string& collection, bool stale);
  /// Writes \p object and assigns its version. If \p if_version is 0, the
  /// object must not exist.
  WriteResult Put(StoredObject object, std::optional<std::uint64_t> if_version);
  WriteResult Delete(const std::string& collection, const std::string& name,
                     std::optional<std::uint64_t> if_version);
  /// Waits up to \p wait for changes of \p collection after revision \p after.
  /// Returns early, without events, once \p interrupted returns true.
  WatchResult Watch(const std::string& collection, std::uint64_t after,
                    std::chrono::milliseconds wait,
                    const std::function<bool()>& interrupted);
  /// Wakes all watches, so that they check whether they are interrupted.
  void WakeWatches();

 private:
  struct CollectionState {
    Collection current;
    Collection previous;
    std::uint64_t previous_revision = 0;
    std::deque<StoreEvent> events;
    std::size_t event_bytes = 0;
    /// Latest revision whose event was dropped; watches that start before it
    /// get too_old.
    std::uint64_t dropped_revision = 0;
    std::condition_variable changed;
  };

  void Record(CollectionState& state, bool put, const ObjectPtr& object);

  std::mutex mutex;
  std::uint64_t revision = 0;
  std::map<std::string, CollectionState> collections;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_STORE_H_
