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

/// KV memory, counted in tokens for each request. What no running answer
/// holds stays until the room is needed, the longest unused first.
/// Thread safety: all methods may be called at once from several threads.
class KvCache {
 public:
  /// Makes a cache for \p most_tokens tokens.
  explicit KvCache(std::uint64_t most_tokens) : limit(most_tokens) {}

  /// Reserves room for \p tokens tokens of a running answer; false if the
  /// other running answers leave too little.
  bool Reserve(const std::string& request, std::uint64_t tokens);
  /// Ends the reservation; the tokens stay as long as there is room.
  void Release(const std::string& request);
  /// Returns how many tokens of \p request are held.
  std::uint64_t Held(const std::string& request);
  /// Notes that \p tokens tokens of \p request are held now.
  void Store(const std::string& request, std::uint64_t tokens);
  /// Forgets \p request.
  void Drop(const std::string& request);
  /// Returns the tokens that new answers may reserve.
  std::uint64_t Free();

 private:
  struct Entry {
    std::uint64_t tokens = 0;
    std::uint64_t reserved = 0;
    std::uint64_t used_at = 0;
  };

  void MakeRoom();

  std::mutex mutex;
  std::uint64_t limit;
  std::uint64_t uses = 0;
  std::map<std::string, Entry> entries;
};

/// Cache of prompt prefixes, in blocks, with a log of what came and went.
/// Thread safety: all methods may be called at once from several threads.
class PrefixCache {
 public:
  /// Takes size, lag and gaps from \p engine_settings.
  explicit PrefixCache(const EngineSettings& engine_settings);

  /// Returns the prompt's tokens that are cached already, and keeps all of its
  /// prefixes.
  std::uint64_t Use(std::string_view prompt);
  /// Returns the log after sequence number \p after, late and with gaps.
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
  void Keep(std::uint64_t prefix);

  std::mutex mutex;
  std::size_t limit;
  std::chrono::milliseconds lag;
  double gaps;
  Random random;
  std::uint64_t sequence = 0;
  std::deque<Event> events;
  /// Most recently used first.
  std::list<std::uint64_t> recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

/// Answers whose caller has given up.
/// Thread safety: all methods may be called at once from several threads.
class CancelledSet {
 public:
  /// Notes that \p attempt and all earlier ones of \p request are cancelled.
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
