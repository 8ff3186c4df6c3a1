#ifndef TOUCANWHARF_ATTEMPTS_STALL_DETECTOR_H_
#define TOUCANWHARF_ATTEMPTS_STALL_DETECTOR_H_

#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Thresholds of stall detection.
struct StallDetectorSettings {
  /// Minimum stall timeout. Shorter gaps are ordinary: an engine reads the
  /// prompt of another answer, or waits for processor time.
  Duration min_stall = std::chrono::milliseconds(60);
  /// Mean deviations beyond the mean gap that are ordinary, as in a
  /// retransmission timeout.
  double deviations = 4;
  /// Part of the first event's objective after which the engines are probed.
  double objective_share = 0.4;
  /// Weight of the newest gap in the mean gap, and of its deviation in the mean
  /// deviation.
  double gap_weight = 0.125;
  double deviation_weight = 0.25;

  friend bool operator==(const StallDetectorSettings&,
                         const StallDetectorSettings&) = default;
};

/// Computes how long a streamed answer may stall before its engines are probed
/// for liveness.
///
/// Load: an engine in the middle of a path dies, and the first engine reports
/// it only when its callers' pause is over. Probed too early, the engines of an
/// overloaded fleet, where every answer stalls now and then, would serve probes
/// instead of requests, and on a calm day probes would outnumber requests. The
/// timeout therefore follows the answer's own gaps and their variation.
/// Thread safety: none; for one thread.
class StallDetector {
 public:
  /// \p first_event is the objective for the time to the first event.
  explicit StallDetector(Duration first_event,
                         const StallDetectorSettings& chosen = {})
      : settings(chosen), objective(first_event) {}

  /// Records an event.
  void OnEvent(TimePoint now);
  /// Starts over at another endpoint, as earlier gaps say nothing about it.
  void Restart();
  /// Returns the duration of a stall after which the engines are probed.
  Duration StallTimeout() const;
  /// Returns the duration of a stall after which an answer is rerouted around
  /// an engine that other evidence marks as dead.
  Duration SuspectedStallTimeout() const;
  /// Returns the longest gap so far between two events.
  Duration LongestPause() const { return this->longest_pause; }

 private:
  void RecordGap(Duration gap);

  StallDetectorSettings settings;
  Duration objective;
  std::optional<TimePoint> last_event;
  Duration mean_gap{0};
  Duration mean_deviation{0};
  /// Time of the last event, from any endpoint.
  std::optional<TimePoint> last_event_any_endpoint;
  Duration longest_pause{0};
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_STALL_DETECTOR_H_
