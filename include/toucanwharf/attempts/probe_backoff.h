#ifndef TOUCANWHARF_ATTEMPTS_PROBE_BACKOFF_H_
#define TOUCANWHARF_ATTEMPTS_PROBE_BACKOFF_H_

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Thresholds of the backoff.
struct ProbeBackoffSettings {
  /// Factor by which one false alarm lengthens the stall timeout.
  double growth = 1.5;
  /// Upper bound of the factor.
  double max_factor = 3;
  /// Decrease of the factor per second without a false alarm.
  double recovery_per_second = 0.05;
  /// False alarms within this time of the last one count as one: the answers of
  /// a path stall together.
  Duration merge_interval = std::chrono::milliseconds(200);

  friend bool operator==(const ProbeBackoffSettings&,
                         const ProbeBackoffSettings&) = default;
};

/// Delays liveness probes of engines after probes that found no fault.
///
/// Load: on some fleets all answers of a path stall together for a moment
/// without any fault, while an engine reads a long prompt. Probed at each such
/// stall, engines get more probes than requests. On such a fleet false alarms
/// lengthen the stall timeout; on a fleet whose answers flow evenly probes stay
/// early.
/// Thread safety: none; for one thread.
class ProbeBackoff {
 public:
  explicit ProbeBackoff(const ProbeBackoffSettings& chosen = {})
      : settings(chosen) {}

  /// Records that an answer continued by itself after its engines were probed.
  void OnFalseAlarm(TimePoint now);
  /// Returns the factor for the stall timeout, 1 or more.
  double Factor(TimePoint now) const;

 private:
  ProbeBackoffSettings settings;
  /// Factor right after the last false alarm; it decays from there.
  double factor = 1;
  TimePoint last_alarm;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_PROBE_BACKOFF_H_
