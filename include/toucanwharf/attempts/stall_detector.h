#ifndef TOUCANWHARF_ATTEMPTS_STALL_DETECTOR_H_
#define TOUCANWHARF_ATTEMPTS_STALL_DETECTOR_H_

#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Thresholds of an answer's silence.
struct StallDetectorSettings {
  /// Shorter silences are ordinary: an engine reads the prompt of another
  /// answer, or waits for its turn at the processor.
  Duration least = std::chrono::milliseconds(60);
  /// So many mean deviations beyond the usual gap are ordinary, as in a
  /// retransmission timeout.
  double deviations = 4;
  /// Part of the time to the first event that goes by before the question.
  double objective_share = 0.4;
  /// Weight of the newest gap in the usual one, and of its deviation in the
  /// mean deviation.
  double gap_weight = 0.125;
  double deviation_weight = 0.25;

  friend bool operator==(const StallDetectorSettings&,
                         const StallDetectorSettings&) = default;
};

/// Decides after how long a silence the engines of a streamed answer are asked
/// whether they live.
///
/// Load that it answers: an engine in the middle of a path dies, and the first
/// engine tells of it only when its callers' pause is over. Asked too early, an
/// overloaded fleet, where every answer pauses now and then, would answer
/// questions instead of requests, and on a calm day questions would outnumber
/// requests; so an answer's own gaps count, and how much they vary.
/// Thread safety: none; for one thread.
class StallDetector {
 public:
  /// \p first_event is the time in which the first event is wanted.
  explicit StallDetector(Duration first_event,
                         const StallDetectorSettings& chosen = {})
      : settings(chosen), objective(first_event) {}

  /// Notes an event.
  void OnEvent(TimePoint now);
  /// Begins anew at another endpoint: what went before says nothing of it.
  void Restart();
  /// Returns the silence after which the engines are asked.
  Duration StallTimeout() const;
  /// Returns the silence after which an answer through an engine that is taken
  /// as dead for other reasons is led around it.
  Duration SuspectedStallTimeout() const;
  /// Returns the longest pause so far between two events.
  Duration LongestPause() const { return this->longest_pause; }

 private:
  void NoteGap(Duration gap);

  StallDetectorSettings settings;
  Duration objective;
  std::optional<TimePoint> last_event;
  Duration usual_gap{0};
  Duration mean_deviation{0};
  /// When the last event came, from whichever endpoint.
  std::optional<TimePoint> last_event_of_all;
  Duration longest_pause{0};
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_STALL_DETECTOR_H_
