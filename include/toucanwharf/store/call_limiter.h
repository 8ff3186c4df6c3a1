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
  /// Calls that may go out at once after a quiet time.
  double burst = 30.0;
  /// First pause after a failed call, and the longest. The pause is drawn
  /// evenly from zero up to the bound, so that instances which failed at the
  /// same moment don't come back at the same moment.
  Duration first_pause{std::chrono::milliseconds(50)};
  Duration longest_pause{std::chrono::seconds(5)};

  friend bool operator==(const CallLimits&, const CallLimits&) = default;
};

/// Decides when an instance may call the platform.
///
/// Pattern of load: an outage makes every instance retry everything, and the
/// store's return is met by all of it at once, which takes it down again. The
/// guard: a budget of calls per instance (token bucket), and while calls fail
/// one probe at a time after an exponential pause with full jitter. The bucket
/// is emptied by a failure, so that after the return load grows at the rate of
/// the budget rather than with a burst.
///
/// Thread safety: none; for one thread.
class CallLimiter {
 public:
  /// Precondition: rates and pauses of \p limits are above zero.
  CallLimiter(const CallLimits& limits, Random random);

  /// Takes one call out of the budget; false if it must wait. A call that was
  /// let through is followed by exactly one OnSuccess or OnFailure.
  bool TryAcquire(TimePoint now);
  /// The platform answered, whatever it answered.
  void OnSuccess();
  /// The platform didn't answer, or only that it is unavailable.
  void OnFailure(TimePoint now);

  /// Returns whether the last answer was a failure.
  bool Failing() const { return this->failures > 0; }

 private:
  void Refill(TimePoint now);

  CallLimits limits;
  Random random;
  double tokens;
  TimePoint refilled_at;
  TimePoint closed_until;
  std::uint32_t failures = 0;
  std::uint32_t in_flight = 0;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_CALL_GATE_H_
