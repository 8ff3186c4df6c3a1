#include "toucanwharf/placement/layout_planner.h"

#include <algorithm>
#include <utility>

namespace toucanwharf::placement {
namespace {

using Fleet = std::vector<Accelerator>;

std::size_t CountMoves(const Fleet& fleet, const Layout& target) {
  return static_cast<std::size_t>(
      std::count_if(fleet.begin(), fleet.end(), [&](const Accelerator& engine) {
        const auto found = target.find(engine.id);
        return found != target.end() && found->second != engine.layers;
      }));
}

/// Returns the layers that the engines of \p fleet hold or load.
Layout HeldBy(const Fleet& fleet) {
  Layout held;
  for (const Accelerator& engine : fleet) {
    if (engine.layers.Count() > 0) held[engine.id] = engine.layers;
  }
  return held;
}

/// Returns copies for the engines that have no layers and that \p covers don't
/// use.
Layout StandbysBeside(const EngineModel& model, const Fleet& fleet,
                      const Layout& covers, const LayoutSettings& settings) {
  const Fleet placed = Placed(fleet, covers);
  const Layout planned = PlanLayout(model, placed, settings);
  Layout standbys;
  for (const Accelerator& engine : placed) {
    const auto copy = planned.find(engine.id);
    if (engine.layers.Count() > 0 || copy == planned.end()) continue;
    standbys.insert(*copy);
  }
  return standbys;
}

}  // namespace

std::string_view ToText(LayoutReason reason) {
  switch (reason) {
    case LayoutReason::kFirst:
      return "first";
    case LayoutReason::kRestored:
      return "restored";
    case LayoutReason::kImproved:
      return "improved";
    case LayoutReason::kStandbys:
      return "standbys";
  }
  return "unknown";
}

bool IsSound(const EngineModel& model, const Accelerator& engine) {
  const AcceleratorKind* kind = model.FindKind(engine.kind);
  if (kind == nullptr) return false;
  if (engine.layers.begin > engine.layers.end) return false;
  return engine.layers.end <= model.layers &&
         engine.layers.Count() * model.layer_mb <= kind->memory_mb;
}

std::optional<LayoutChange> LayoutPlanner::Plan(
    const EngineModel& model, Fleet fleet,
    const std::set<std::string>& departing, TimePoint now) {
  this->dropped = std::erase_if(fleet, [&](const Accelerator& engine) {
    return !IsSound(model, engine);
  });
  if (!this->stabilization.IsStable(fleet, now)) return std::nullopt;
  this->returns.Update(fleet, departing, now);
  std::vector<ExpectedEngine> expected = this->returns.Expected(now);
  if (fleet == this->planned_for && expected == this->planned_with) {
    return std::nullopt;
  }
  this->planned_for = fleet;
  this->planned_with = std::move(expected);
  LayoutChange change;
  change.target = HeldBy(fleet);
  if (change.target.empty()) {
    change.target = PlanLayout(model, fleet, this->layout_settings);
    change.expected = EstimateCapacity(model, Placed(fleet, change.target),
                                       this->layout_settings.min_answers);
  } else {
    const Improvement improvement =
        ImproveLayout(model, fleet, this->planned_with, this->layout_settings,
                      this->improvement_settings);
    this->present_rate = improvement.present.answers_per_second;
    this->best_rate = improvement.best.answers_per_second;
    change.present = improvement.present;
    change.expected = improvement.expected;
    change.reason = improvement.ordered.answers > 0 ? LayoutReason::kImproved
                                                    : LayoutReason::kRestored;
    Layout moves = improvement.moves;
    if (moves.empty()) {
      change.reason = LayoutReason::kStandbys;
      moves = StandbysBeside(model, fleet, improvement.covers,
                             this->layout_settings);
    }
    for (const auto& [id, layers] : moves) change.target[id] = layers;
  }
  change.moves = CountMoves(fleet, change.target);
  if (change.moves == 0) return std::nullopt;
  return change;
}

}  // namespace toucanwharf::placement
