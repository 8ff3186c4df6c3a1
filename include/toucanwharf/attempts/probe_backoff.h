#ifndef TOUCANWHARF_ATTEMPTS_PROBE_BACKOFF_H_
#define TOUCANWHARF_ATTEMPTS_PROBE_BACKOFF_H_

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Thresholds of the restraint.
struct ProbeBackoffSettings {
  /// What a false alarm multiplies the patience by.
  double growth = 1.5;
  /// The most that patience is multiplied by.
  double most = 3;
  /// What the factor loses in a second without a false alarm.
  double recovery_per_second = 0.05;
  /// Answers that pause together are one alarm.
  Duration together = std::chrono::milliseconds(200);

  friend bool operator==(const ProbeBackoffSettings&,
                         const ProbeBackoffSettings&) = default;
};

/// Makes a router slower to ask engines whether they live after questions that
/// were in vain.
///
/// Load that it answers: on some fleets all answers of a path pause together
/// for a moment without any fault, while an engine reads a long prompt. Asked
/// at each such pause, engines get more questions than requests. There the
/// router learns to wait; on a fleet whose answers flow evenly it goes on
/// asking soon.
/// Thread safety: none; for one thread.
class ProbeBackoff {
 public:
  explicit ProbeBackoff(const ProbeBackoffSettings& chosen = {})
      : settings(chosen) {}

  /// Notes that an answer whose engines were asked went on by itself.
  void OnFalseAlarm(TimePoint now);
  /// Returns what patience is to be multiplied by, 1 or more.
  double Factor(TimePoint now) const;

 private:
  ProbeBackoffSettings settings;
  /// The factor right after the last false alarm.
  double factor = 1;
  TimePoint last_alarm;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_PROBE_BACKOFF_H_
