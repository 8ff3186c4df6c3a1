#ifndef TOUCANWHARF_PLACEMENT_LAYOUT_H_
#define TOUCANWHARF_PLACEMENT_LAYOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/placement/engine_model.h"

namespace toucanwharf::placement {

/// An engine whose layers the layout assigns.
struct Accelerator {
  std::string id;
  std::string failure_domain;
  std::string kind;
  /// Layers that it holds, or is loading on an earlier order.
  pipeline::LayerRange layers;
  /// While it loads: the layers that it serves meanwhile.
  std::optional<pipeline::LayerRange> loading = std::nullopt;

  /// Returns the layers that it serves now. Thread safety: safe.
  pipeline::LayerRange Serves() const {
    return this->loading.value_or(this->layers);
  }

  friend bool operator==(const Accelerator&, const Accelerator&) = default;
};

/// Thresholds of the layout.
struct LayoutSettings {
  /// Answers that each cover should have capacity for. More capacity means more
  /// engines on each path and fewer standbys; less, that the remaining covers
  /// can't take the answers of a lost one.
  double target_answers = 130;
  /// Minimum answers of a cover. One with less capacity isn't worth its loads:
  /// it would be full within a second, and hold engines that could repair
  /// another.
  double min_answers = 30;
  /// Engines that can't hold a cover with that capacity are tried with less, in
  /// steps of this factor.
  double answers_step = 0.95;
  /// Answers that a standby engine has capacity for. Fewer than in a cover,
  /// since it carries the answers of a dead engine only until a load has
  /// replaced that, and holds more layers in return.
  double standby_answers = 40;
  /// Whether engines that no cover needs hold copies of layers.
  bool standby_copies = true;
};

/// Layers by engine id. Engines that aren't listed keep their layers.
using Layout = std::map<std::string, pipeline::LayerRange>;

/// Decides which engine holds which layers.
///
/// A cover lies inside one failure domain where it fits: the activations of
/// every prompt and token cross each boundary between two stages, some 20 MB
/// for a prompt, so covers over two domains saturate the link between them.
/// Each cover uses the engines first on which an answer spends the least time.
/// The others are standbys with copies of neighbouring layers, so that paths
/// are rerouted around a dead or slow engine immediately. Complete covers stay
/// as they are, since a load takes seconds and a loading engine serves nothing
/// meanwhile. A domain that cannot hold a cover contributes its engines to one
/// over several domains.
///
/// Never assigns more layers to an engine than fit. Deterministic in \p fleet.
/// Thread safety: safe.
Layout PlanLayout(const EngineModel& model,
                  const std::vector<Accelerator>& fleet,
                  const LayoutSettings& settings);

/// Returns a cover that contains \p kept, with other engines of \p members for
/// the remaining layers, the fastest or the slowest kind first; empty if there
/// is none. Precondition: the ranges in \p kept are disjoint. Thread safety:
/// safe.
Layout CoverAround(const EngineModel& model,
                   const std::vector<Accelerator>& members, const Layout& kept,
                   bool fastest_first, const LayoutSettings& settings);

/// Returns \p fleet with the layers that \p layout assigns.
/// Thread safety: safe.
std::vector<Accelerator> Placed(std::vector<Accelerator> fleet,
                                const Layout& layout);

/// Returns how many layers an engine of \p kind can hold with capacity for
/// \p answers of mean length; at most those of the model.
/// Thread safety: safe.
std::uint32_t LayersFor(const EngineModel& model, const AcceleratorKind& kind,
                        double answers);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_LAYOUT_H_
