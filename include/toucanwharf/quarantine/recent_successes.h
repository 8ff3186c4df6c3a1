#ifndef TOUCANWHARF_QUARANTINE_RECENT_SUCCESSES_H_
#define TOUCANWHARF_QUARANTINE_RECENT_SUCCESSES_H_

#include <cstddef>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "toucanwharf/quarantine/fingerprint.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::quarantine {

/// Remembers for some seconds which requests were answered.
///
/// Load: thousands of different requests a second. Two sets that replace each
/// other in turn need no time for each entry, and are bounded: a popular
/// request is among the first of each.
/// Thread safety: none; for one thread.
class RecentSuccesses {
 public:
  /// Successes are remembered for one to two times this long.
  static constexpr Duration kMemory = std::chrono::seconds(15);
  static constexpr std::size_t kMaxPerSet = 20'000;

  void Add(const Fingerprint& request, TimePoint now) {
    this->Turn(now);
    if (this->current.size() < kMaxPerSet) this->current.insert(request);
  }

  bool Contains(const Fingerprint& request, TimePoint now) {
    this->Turn(now);
    return this->current.contains(request) || this->previous.contains(request);
  }

 private:
  void Turn(TimePoint now) {
    const Duration age = now - this->turned_at;
    if (age < kMemory) return;
    this->previous = std::exchange(this->current, {});
    if (age >= 2 * kMemory) this->previous.clear();
    this->turned_at = now;
  }

  absl::flat_hash_set<Fingerprint> current;
  absl::flat_hash_set<Fingerprint> previous;
  TimePoint turned_at;
};

}  // namespace toucanwharf::quarantine

#endif  // TOUCANWHARF_QUARANTINE_RECENT_SUCCESSES_H_
