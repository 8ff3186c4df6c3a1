#ifndef TOUCANWHARF_STORE_CALL_LIMITER_H_
#define TOUCANWHARF_STORE_CALL_LIMITER_H_

#include <cstdint>

#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::store {

/// Limits of one instance's calls to the platform.
struct CallLimits {
  /// Calls a second. The platform takes about two thousand reads and several
  /// hundred writes a second; six instances at 60 leave half of that free.
  double calls_per_second = 60.0;
  /// Calls that may go out immediately after an idle period.
  double burst = 30.0;
  /// Upper bounds of the first backoff after a failed call and of any backoff.
  /// Backoffs are drawn evenly from zero up to the bound, so that instances
  /// that failed at the same moment don't retry at the same moment.
  Duration initial_backoff{std::chrono::milliseconds(50)};
  Duration max_backoff{std::chrono::seconds(5)};

  friend bool operator==(const CallLimits&, const CallLimits&) = default;
};

/// Decides when an instance may call the platform.
///
/// Load: an outage makes every instance retry everything, and the returning
/// store gets all of it in a moment, which takes it down again. Guards against
/// it by a budget of calls per instance (token bucket) and, while calls fail,
/// one probe at a time after an exponential backoff with full jitter. A failure
/// empties the bucket, so that after the return load grows at the rate of the
/// budget rather than with a burst.
///
/// Thread safety: none; for one thread.
class CallLimiter {
 public:
  /// Precondition: rates and backoffs of \p limits are above zero.
  CallLimiter(const CallLimits& limits, Random random);

  /// Takes one call out of the budget; false if it must wait. Each granted call
  /// is followed by exactly one OnSuccess or OnFailure.
  bool TryAcquire(TimePoint now);
  /// Records that the platform answered, whatever the answer.
  void OnSuccess();
  /// Records that the platform didn't answer, or only that it is unavailable.
  void OnFailure(TimePoint now);

  /// Returns whether the last call failed.
  bool Failing() const { return this->failures > 0; }

 private:
  void Refill(TimePoint now);

  CallLimits limits;
  Random random;
  double tokens;
  TimePoint refilled_at;
  TimePoint next_probe_at;
  std::uint32_t failures = 0;
  std::uint32_t in_flight = 0;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_CALL_LIMITER_H_
