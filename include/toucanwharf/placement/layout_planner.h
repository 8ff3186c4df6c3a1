#ifndef TOUCANWHARF_PLACEMENT_LAYOUT_PLANNER_H_
#define TOUCANWHARF_PLACEMENT_LAYOUT_PLANNER_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/placement/capacity.h"
#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/placement/expected_returns.h"
#include "toucanwharf/placement/layout.h"
#include "toucanwharf/placement/layout_improvement.h"
#include "toucanwharf/placement/stabilization_window.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::placement {

/// Why a layout changed.
enum class LayoutReason {
  /// No engine held any layers.
  kFirst,
  /// A failure domain served nothing, and none of its orders would change that.
  kRestored,
  /// Another layout serves more.
  kImproved,
  /// Engines without layers hold copies.
  kStandbys,
};

/// Returns the name of \p reason in log lines. Thread safety: safe.
std::string_view ToText(LayoutReason reason);

/// A change of the layout.
struct LayoutChange {
  LayoutReason reason = LayoutReason::kFirst;
  /// Layers of all engines that are to have some.
  Layout target;
  /// Engines whose layers change.
  std::size_t moves = 0;
  Capacity present;
  Capacity expected;

  friend bool operator==(const LayoutChange&, const LayoutChange&) = default;
};

/// Decides when the layout of a service changes, and how.
/// Thread safety: none; for one thread.
class LayoutPlanner {
 public:
  explicit LayoutPlanner(const LayoutSettings& layout,
                         const ImprovementSettings& improvement = {},
                         const StabilizationWindowSettings& window = {})
      : layout_settings(layout),
        improvement_settings(improvement),
        stabilization(window) {}

  /// Returns how the layout of \p fleet, as it is at \p now, should change;
  /// nothing if it should not, or if the fleet is as at the last call. Engines
  /// that are missing are expected back unless they are among \p departing.
  /// Engines that can't hold what they report take no part, see IsSound.
  std::optional<LayoutChange> Plan(const EngineModel& model,
                                   std::vector<Accelerator> fleet,
                                   const std::set<std::string>& departing,
                                   TimePoint now);

  /// Returns how many engines of the last call took no part.
  std::size_t Dropped() const { return this->dropped; }
  /// Returns the answers per second of the fleet as it was at the last plan.
  double PresentRate() const { return this->present_rate; }
  /// Returns the same with the best layout known for these engines.
  double BestRate() const { return this->best_rate; }

 private:
  LayoutSettings layout_settings;
  ImprovementSettings improvement_settings;
  StabilizationWindow stabilization;
  std::size_t dropped = 0;
  double present_rate = 0;
  double best_rate = 0;
  ExpectedReturns returns;
  std::vector<Accelerator> planned_for;
  std::vector<ExpectedEngine> planned_with;
};

/// Returns whether \p engine can hold the layers that it is said to hold. One
/// that can't is broken, or not the engine that it is taken for.
/// Thread safety: safe.
bool IsSound(const EngineModel& model, const Accelerator& engine);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_LAYOUT_PLANNER_H_
