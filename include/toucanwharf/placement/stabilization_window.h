#ifndef TOUCANWHARF_PLACEMENT_STABILIZATION_WINDOW_H_
#define TOUCANWHARF_PLACEMENT_STABILIZATION_WINDOW_H_

#include <vector>

#include "toucanwharf/placement/layout.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::placement {

/// Windows of StabilizationWindow.
struct StabilizationWindowSettings {
  /// If some engine holds layers: a new leader takes over a running fleet, and
  /// rereads its list about once in this time.
  Duration warm = std::chrono::milliseconds(700);
  /// If none does. Nothing is served before the first layout anyway. 93 engines
  /// registered in groups that were up to a second apart.
  Duration cold = std::chrono::milliseconds(2000);

  friend bool operator==(const StabilizationWindowSettings&,
                         const StabilizationWindowSettings&) = default;
};

/// Decides when the list of engines is complete enough for a first layout.
///
/// Guards against an early layout: at a cold start engines register one after
/// the other. A layout of the first third of them spreads the layers over too
/// few, each with capacity for few answers, and persists, since complete covers
/// stay: four engines out of 93 then refused a third of all requests. The first
/// layout therefore waits until the list has not changed for a window.
/// Thread safety: none; for one thread.
class StabilizationWindow {
 public:
  explicit StabilizationWindow(const StabilizationWindowSettings& chosen = {})
      : settings(chosen) {}

  /// Updates the list to \p fleet at \p now. Returns whether it may be planned
  /// for; once true, it stays true.
  bool IsStable(const std::vector<Accelerator>& fleet, TimePoint now);

 private:
  StabilizationWindowSettings settings;
  bool stable = false;
  std::vector<Accelerator> last_fleet;
  TimePoint unchanged_since;
};

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_STABILIZATION_WINDOW_H_
