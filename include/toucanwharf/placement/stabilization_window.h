#ifndef TOUCANWHARF_PLACEMENT_STABILIZATION_WINDOW_H_
#define TOUCANWHARF_PLACEMENT_STABILIZATION_WINDOW_H_

#include <vector>

#include "toucanwharf/placement/layout.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::placement {

/// Times of StabilizationWindow, with the reason of each.
struct StabilizationWindowSettings {
  /// Where some engine holds layers: a new leader takes over a running fleet,
  /// and reads its list anew about once in this time.
  Duration warm = std::chrono::milliseconds(700);
  /// Where none does. Nothing is served before the first layout anyway. 93
  /// engines registered in groups that were up to a second apart.
  Duration cold = std::chrono::milliseconds(2000);

  friend bool operator==(const StabilizationWindowSettings&,
                         const StabilizationWindowSettings&) = default;
};

/// Decides when the list of engines is whole enough for a first layout.
///
/// Failure guarded against: at a cold start engines register one after the
/// other. A layout of the first third of them spreads the layers over too few,
/// each with room for few answers, and since covers that are whole stay, that
/// lasts. It showed as a third of all requests turned away by four engines out
/// of 93. The guard: the first layout waits until the list has stood still.
/// Thread safety: none; for one thread.
class StabilizationWindow {
 public:
  explicit StabilizationWindow(const StabilizationWindowSettings& chosen = {})
      : settings(chosen) {}

  /// Takes the list as it is at \p now. Returns whether it may be planned for;
  /// once that is so it stays so.
  bool IsStable(const std::vector<Accelerator>& fleet, TimePoint now);

 private:
  StabilizationWindowSettings settings;
  bool settled = false;
  std::vector<Accelerator> seen;
  TimePoint seen_since;
};

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_STABILIZATION_WINDOW_H_
