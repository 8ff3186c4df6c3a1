#ifndef TOUCANWHARF_STANDINS_ENGINE_CACHES_H_
#define TOUCANWHARF_STANDINS_ENGINE_CACHES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "standins/engine/settings.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::standins {

/// KV memory, counted in tokens for each request. Entries without a running
/// answer are evicted when capacity is needed, least recently used first.
/// Thread safety: safe; all methods may be called concurrently.
class KvCache {
 public:
  explicit KvCache(std::uint64_t max_tokens) : capacity(max_tokens) {}

  /// Reserves \p tokens tokens for a running answer; false if the reservations
  /// of the other running answers leave too few.
  bool Reserve(const std::string& request, std::uint64_t tokens);
  /// Ends the reservation; the tokens stay until they are evicted.
  void Release(const std::string& request);
  /// Returns how many tokens of \p request are cached.
  std::uint64_t Held(const std::string& request);
  /// Records that \p tokens tokens of \p request are cached.
  void Store(const std::string& request, std::uint64_t tokens);
  /// Removes the entry of \p request.
  void Drop(const std::string& request);
  /// Returns how many tokens are not reserved.
  std::uint64_t Free();

 private:
  struct Entry {
    std::uint64_t tokens = 0;
    std::uint64_t reserved = 0;
    std::uint64_t used_at = 0;
  };

  void EvictUnused();

  std::mutex mutex;
  std::uint64_t capacity;
  std::uint64_t uses = 0;
  std::map<std::string, Entry> entries;
};

/// LRU cache of prompt prefixes, in blocks, with a log of insertions and
/// evictions.
/// Thread safety: safe; all methods may be called concurrently.
class PrefixCache {
 public:
  /// Takes size, event lag and event loss from \p engine_settings.
  explicit PrefixCache(const EngineSettings& engine_settings);

  /// Returns how many tokens of \p prompt were cached, and inserts all of its
  /// prefixes.
  std::uint64_t LookupAndInsert(std::string_view prompt);
  /// Returns the events after sequence number \p after that are older than the
  /// lag. Some events are missing, as configured.
  nlohmann::json Events(std::uint64_t after);

 private:
  using TimePoint = std::chrono::steady_clock::time_point;
  struct Event {
    std::uint64_t sequence = 0;
    bool stored = true;
    std::uint64_t prefix = 0;
    TimePoint time;
  };

  void Log(bool stored, std::uint64_t prefix);
  void Insert(std::uint64_t prefix);

  std::mutex mutex;
  std::size_t capacity;
  std::chrono::milliseconds lag;
  double loss_ratio;
  Random random;
  std::uint64_t sequence = 0;
  std::deque<Event> events;
  /// Most recently used first.
  std::list<std::uint64_t> recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      positions;
};

/// Answers that were cancelled.
/// Thread safety: safe; all methods may be called concurrently.
class CancelledSet {
 public:
  /// Cancels \p attempt and all earlier attempts of \p request.
  void Cancel(const std::string& request, std::uint64_t attempt);
  /// Returns whether \p attempt of \p request was cancelled.
  bool Contains(const std::string& request, std::uint64_t attempt);

 private:
  std::mutex mutex;
  std::map<std::string, std::uint64_t> attempts;
  std::deque<std::string> order;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_CACHES_H_
