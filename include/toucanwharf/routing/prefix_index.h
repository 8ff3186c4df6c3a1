#ifndef TOUCANWHARF_ROUTING_PREFIX_INDEX_H_
#define TOUCANWHARF_ROUTING_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "toucanwharf/routing/endpoint_choice.h"
#include "toucanwharf/routing/endpoints.h"

/// \file
/// Index of the prompt prefixes that endpoints hold, from cache events that
/// arrive late and with gaps.
///
/// Load: many requests share a long prefix (a master formula, a job sheet).
/// Without the index each endpoint prefills it again and first tokens are late.
/// After a gap an eviction may have been missed: an entry from before it counts
/// half until it is confirmed, as it is wrong about as often as not and a wrong
/// one costs just the prefill it was meant to save.
namespace toucanwharf::routing {

/// One event of an endpoint's cache.
struct CacheEvent {
  std::uint64_t sequence = 0;
  enum class Kind { kStored, kEvicted } kind = Kind::kStored;
  /// Hash of the prefix by HashPrefix().
  std::uint64_t prefix = 0;
  /// Length of the prefix in tokens.
  double tokens = 0;

  friend bool operator==(const CacheEvent&, const CacheEvent&) = default;
};

/// Returns the hash of \p text, the same on each instance.
std::uint64_t HashPrefix(std::string_view text);

/// Prefixes held by endpoints.
/// Thread safety: none; for one thread.
class PrefixIndex {
 public:
  /// Retains at most \p limit prefixes of each endpoint, the newest. The
  /// default bounds an index of 800 endpoints to a few megabytes.
  explicit PrefixIndex(std::size_t limit = 64) : per_endpoint(limit) {}

  /// Applies an event. Events at or below the last sequence are ignored.
  void Apply(Endpoint endpoint, const CacheEvent& event);

  /// Forgets all prefixes of \p endpoint, which restarted or departed.
  void Forget(Endpoint endpoint);

  /// Returns the endpoint among \p eligible that holds most of the prompt;
  /// \p prefixes are the hashes of the prompt's prefixes, the longest first.
  template <typename Eligible>
  std::optional<CachedPrefix> Find(std::span<const std::uint64_t> prefixes,
                                   const Eligible& eligible) const {
    for (const std::uint64_t prefix : prefixes) {
      const auto found = this->holders.find(prefix);
      if (found == this->holders.end()) continue;
      std::optional<CachedPrefix> best;
      for (const Holder& holder : found->second) {
        if (!eligible(holder.endpoint)) continue;
        const double expected_tokens = this->ExpectedTokens(holder);
        if (!best || expected_tokens > best->tokens) {
          best = CachedPrefix{holder.endpoint, expected_tokens};
        }
      }
      if (best) return best;
    }
    return std::nullopt;
  }

 private:
  struct Holder {
    Endpoint endpoint{};
    double tokens = 0;
    std::uint64_t gaps = 0;
  };
  struct Source {
    std::uint64_t last_sequence = 0;
    std::uint64_t gaps = 0;
    std::deque<std::uint64_t> stored;
  };

  double ExpectedTokens(const Holder& holder) const;
  void Store(Endpoint endpoint, Source& source, const CacheEvent& event);
  void Evict(Endpoint endpoint, std::uint64_t prefix);

  std::size_t per_endpoint;
  std::unordered_map<std::uint64_t, std::vector<Holder>> holders;
  std::unordered_map<std::size_t, Source> sources;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_PREFIX_INDEX_H_
