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

/// Largest value that an object may hold.
inline constexpr std::size_t kValueLimit = 1048576;

/// An object as it is kept: the value stays text, since nothing here reads it.
struct StoredObject {
  std::string collection;
  std::string name;
  std::uint64_t version = 0;
  std::string writer;
  std::string value;

  /// Returns the object in the form of docs/PROTOCOLS.md.
  std::string Text() const;
};

using ObjectPtr = std::shared_ptr<const StoredObject>;
using Collection = std::map<std::string, ObjectPtr>;

/// What became of a conditional write.
struct WriteResult {
  bool done = false;
  bool missing = false;
  /// The new version, or the current one if the write lost.
  std::uint64_t version = 0;
};

/// What a list call sees.
struct ListResult {
  std::uint64_t revision = 0;
  std::vector<ObjectPtr> items;
};

/// A change that a watch reports.
struct StoreEvent {
  std::uint64_t revision = 0;
  bool put = true;
  ObjectPtr object;
};

/// What a watch call returns; too_old asks the caller to list again.
struct WatchResult {
  bool too_old = false;
  std::uint64_t revision = 0;
  std::vector<StoreEvent> events;
};

/// Objects with versions, conditional writes and watches.
/// Thread safety: all methods may be called at once from several threads.
class Store {
 public:
  /// Returns the object, or nothing. With \p stale, as it was before its last
  /// write.
  ObjectPtr Get(const std::string& collection, const std::string& name,
                bool stale);
  /// Returns all objects of \p collection. With \p stale, as they were before
  /// the collection's last write.
  ListResult List(const std::string& collection, bool stale);
  /// Writes \p object; its version is set here. \p if_version 0 means that it
  /// must not exist.
  WriteResult Put(StoredObject object, std::optional<std::uint64_t> if_version);
  /// Deletes an object.
  WriteResult Delete(const std::string& collection, const std::string& name,
                     std::optional<std::uint64_t> if_version);
  /// Waits up to \p wait for changes of \p collection after \p after. Returns
  /// early and empty once \p interrupted says so.
  WatchResult Watch(const std::string& collection, std::uint64_t after,
                    std::chrono::milliseconds wait,
                    const std::function<bool()>& interrupted);
  /// Wakes all watches, so that they ask whether they are interrupted.
  void WakeWatches();

 private:
  struct Shelf {
    Collection now;
    Collection before;
    std::uint64_t before_revision = 0;
    std::deque<StoreEvent> events;
    std::size_t event_bytes = 0;
    /// Watches after an older revision are told to list again.
    std::uint64_t forgotten = 0;
    std::condition_variable changed;
  };

  void Record(Shelf& shelf, bool put, const ObjectPtr& object);

  std::mutex mutex;
  std::uint64_t revision = 0;
  std::map<std::string, Shelf> shelves;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_STORE_H_
