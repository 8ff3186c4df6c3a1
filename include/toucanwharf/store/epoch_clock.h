#ifndef TOUCANWHARF_STORE_EPOCH_CLOCK_H_
#define TOUCANWHARF_STORE_EPOCH_CLOCK_H_

#include <cstdint>
#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::store {

/// A copy from which the store returns is some seconds old, and always younger
/// than this.
inline constexpr Duration kMaxCopyAge = std::chrono::seconds(60);

/// Times around the store's return from an older copy.
struct EpochSettings {
  /// Within this time after the return its writers have written again what was
  /// lost.
  Duration rewrite_time = std::chrono::milliseconds(2000);
  /// A process that has just started hears within this time from others that
  /// have seen more.
  Duration first_news = std::chrono::milliseconds(150);

  friend bool operator==(const EpochSettings&, const EpochSettings&) = default;
};

/// When the store's present epoch began, as far as this process knows.
///
/// Failure guarded against: after its return the store shows an older state,
/// and a read of it proves nothing about what was accepted and lost, such as
/// the revocation of a key that nobody had read yet. Reads count again when
/// that has been written again. The time runs from the first sight of the epoch
/// by any process, so that it ends at all of them together.
/// Thread safety: none; for one thread.
class EpochClock {
 public:
  explicit EpochClock(const EpochSettings& chosen = {}) : settings(chosen) {}

  /// Records that the store answered in \p newest. Returns whether that is the
  /// first sight of a return.
  bool OnAnswer(std::uint64_t newest, TimePoint now);
  /// Records a peer's report that \p newest was first seen \p age ago; the age
  /// is missing if the peer has just started and knows no more. Returns whether
  /// that is the first sight of a return.
  bool OnPeer(std::uint64_t newest, const std::optional<Duration>& age,
              TimePoint now);

  /// Records that there is no other instance, which might have seen more.
  void OnAlone(TimePoint now) { this->alone_since = now; }

  /// Returns the store's epoch, nothing before its first answer.
  const std::optional<std::uint64_t>& Epoch() const { return this->epoch; }
  /// Returns when the epoch was first seen. Precondition: it is known.
  TimePoint FirstSeenAt() const { return this->first_seen_at; }
  /// Returns how long ago the epoch was first seen, for the others; nothing if
  /// this process has just started and no other has told.
  std::optional<Duration> Age(TimePoint now) const;
  /// Returns whether a read that began at \p read shows again all that was
  /// accepted before the epoch.
  bool IsSettled(TimePoint read) const;

 private:
  EpochSettings settings;
  std::optional<std::uint64_t> epoch;
  TimePoint first_seen_at;
  /// Whether this process or the peer that told has seen an earlier epoch, or
  /// this one for long.
  bool is_evidence = false;
  std::optional<TimePoint> alone_since;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_EPOCH_CLOCK_H_
