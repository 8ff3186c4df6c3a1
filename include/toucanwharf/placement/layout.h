#ifndef TOUCANWHARF_PLACEMENT_LAYOUT_H_
#define TOUCANWHARF_PLACEMENT_LAYOUT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/placement/engine_model.h"

namespace toucanwharf::placement {

/// An engine that may be told which layers to hold.
struct Accelerator {
  std::string id;
  std::string failure_domain;
  std::string kind;
  /// Layers that it holds, or is loading by an earlier order.
  pipeline::LayerRange layers;

  friend bool operator==(const Accelerator&, const Accelerator&) = default;
};

/// Thresholds of the layout, with the reason of each.
struct LayoutSettings {
  /// Answers that each cover should have room for. More room means more engines
  /// on each path and fewer to stand by; less, that the covers that are left
  /// can't take the answers of a lost one.
  double wanted_answers = 130;
  /// A cover with room for fewer isn't worth its loads: it would be full
  /// within a second, and hold engines that could mend another.
  double least_answers = 30;
  /// Engines that can't hold a cover with that much room are tried with less,
  /// in steps of this factor.
  double answers_step = 0.95;
  /// An engine that stands by has room for fewer, since it carries the answers
  /// of a dead one only until a load has replaced that, and holds more parts
  /// for it.
  double standby_answers = 40;
  /// Whether engines that no cover needs hold copies.
  bool standby_copies = true;
};

/// Layers by engine id. Engines that aren't named stay as they are.
using Layout = std::map<std::string, pipeline::LayerRange>;

/// Decides which engine holds which layers.
///
/// A cover lies inside one failure domain where it fits: the activations of
/// every prompt and token cross each boundary between two stages, some 20 MB
/// for a prompt, so covers over two domains fill the link between them. Each
/// cover uses the engines first on which an answer spends the least time. The
/// others stand by with copies of neighbouring layers, so that paths go around
/// a dead or slow engine at once. Covers that are whole stay as they are, since
/// a load takes seconds and an engine that moves serves nothing meanwhile. A
/// domain that cannot hold a cover gives its engines to one over several
/// domains.
///
/// Never more layers on an engine than fit. Deterministic in \p fleet.
/// Thread safety: safe.
Layout PlanLayout(const EngineModel& model,
                  const std::vector<Accelerator>& fleet,
                  const LayoutSettings& settings);

/// Returns the layers of \p kind that leave room for \p answers of usual
/// length; at most those of the model. Thread safety: safe.
std::uint32_t LayersFor(const EngineModel& model, const AcceleratorKind& kind,
                        double answers);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_LAYOUT_H_
