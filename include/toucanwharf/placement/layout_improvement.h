#ifndef TOUCANWHARF_PLACEMENT_LAYOUT_IMPROVEMENT_H_
#define TOUCANWHARF_PLACEMENT_LAYOUT_IMPROVEMENT_H_

#include <vector>

#include "toucanwharf/placement/capacity.h"
#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/placement/expected_returns.h"
#include "toucanwharf/placement/layout.h"

namespace toucanwharf::placement {

/// When a layout is worth changing.
struct ImprovementSettings {
  /// Minimum capacity of another layout, relative to the present one. Less
  /// isn't worth the loads.
  double min_gain = 1.1;
  /// For how long the fleet is expected to stay as it is, in seconds. Capacity
  /// that is lost while engines load must be regained within this time.
  double horizon_seconds = 20;
  /// The same for a failure domain in which nothing loads and nothing is
  /// missing.
  double settled_horizon_seconds = 60;
  /// An engine may be moved at any time if the fraction of the capacity that
  /// remains without it, and after its move, is at least this.
  double negligible_loss = 0.95;

  /// Until the answers of engines that are moved have ended, in a loaded fleet.
  double drain_seconds = 10;

  friend bool operator==(const ImprovementSettings&,
                         const ImprovementSettings&) = default;
};

/// The way from the present layout to a better one.
struct Improvement {
  /// The covers that it leads to. Empty if the present ones are to stay.
  Layout covers;
  /// The engines to order now.
  Layout moves;
  Capacity present;
  /// Capacity once all earlier orders are carried out, and the engines that are
  /// expected are back.
  Capacity ordered;
  /// Capacity once the covers are complete.
  Capacity expected;
  /// Capacity of the best covers that are known.
  Capacity best;
  /// Duration of the loads that the covers need.
  double load_seconds = 0;

  friend bool operator==(const Improvement&, const Improvement&) = default;
};

/// Returns the covers that PlanLayout would build if no engine of \p fleet held
/// any layers, assigned so that as many engines as possible keep theirs.
/// Thread safety: safe.
Layout BestCovers(const EngineModel& model,
                  const std::vector<Accelerator>& fleet,
                  const LayoutSettings& settings);

/// Returns the next moves towards a better layout of each failure domain.
///
/// Load: engines of the fastest kind are lost together and come back empty. A
/// layout that is made from the others is complete and slow, and making it
/// takes them away from paths that still served.
///
/// A domain that serves nothing has engines on which no path depends fill the
/// gaps of a cover. If they can't, it waits for engines that load or are
/// \p expected back, or makes its layout anew, whichever serves more until the
/// horizon. A domain that serves changes its layout if another one serves more,
/// and moves the engines first on which no path depends: once they have loaded,
/// paths use them, and others become free, so that the capacity never falls.
/// Only if no engine is free are the others moved, all together, if what they
/// serve later exceeds what they don't serve meanwhile.
///
/// The moves depend on the state of the fleet only, so that the next leader
/// continues what its predecessor began.
/// Thread safety: safe.
Improvement ImproveLayout(const EngineModel& model,
                          const std::vector<Accelerator>& fleet,
                          const std::vector<ExpectedEngine>& expected,
                          const LayoutSettings& layout_settings,
                          const ImprovementSettings& settings);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_LAYOUT_IMPROVEMENT_H_
