#ifndef TOUCANWHARF_ROUTES_FRESHNESS_H_
#define TOUCANWHARF_ROUTES_FRESHNESS_H_

#include <algorithm>
#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::routes {

/// Tracks until when keys may be admitted by the configuration in force.
///
/// Guards against use of a revoked key: a key is revoked while this instance
/// can't reach the store, and would admit requests of whoever stole the key for
/// as long as the outage lasts. A key therefore counts only while a read of the
/// configuration that *began* less than the bound ago confirmed the one in
/// force. The read returned a state no older than its beginning, so a later
/// revocation is younger than the bound. Time is the boot clock's, which
/// continues while the machine is suspended.
/// Thread safety: none; for one thread.
class Freshness {
 public:
  /// \p bound is how long a revoked key may still be used; \p margin is
  /// subtracted from it for clocks that run at different speeds.
  Freshness(Duration bound, Duration margin) : valid_for(bound - margin) {}

  /// Records that the configuration in force was current at \p begun or later.
  void Confirm(TimePoint begun) {
    this->confirmed = std::max(this->confirmed.value_or(begun), begun);
  }
  /// Returns whether keys may be admitted at \p now.
  bool Holds(TimePoint now) const {
    return this->confirmed && now - *this->confirmed < this->valid_for;
  }
  /// Returns whether a confirmation of \p age still allows keys to be admitted.
  bool IsCurrent(Duration age) const { return age < this->valid_for; }
  /// Returns up to which age a peer's confirmation is worth a request. While
  /// the store is unreachable the confirmations of all instances expire within
  /// about a second, and hundreds would request those that are about to.
  Duration MaxRequestedAge() const { return this->valid_for / 2; }
  /// Returns the age of the newest confirmation, or nothing without one.
  std::optional<Duration> Age(TimePoint now) const {
    if (!this->confirmed) return std::nullopt;
    return now - *this->confirmed;
  }

 private:
  Duration valid_for;
  std::optional<TimePoint> confirmed;
};

}  // namespace toucanwharf::routes

#endif  // TOUCANWHARF_ROUTES_FRESHNESS_H_
