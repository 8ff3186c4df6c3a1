#ifndef TOUCANWHARF_UNITTESTS_PLACEMENT_MODELS_H_
#define TOUCANWHARF_UNITTESTS_PLACEMENT_MODELS_H_

#include <chrono>
#include <string>
#include <vector>

#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/placement/layout.h"
#include "toucanwharf/placement/path_finder.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::placement {

/// Returns the point \p seconds after the start of a test.
inline TimePoint At(double seconds) {
  return TimePoint{std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds))};
}

/// A model of 80 layers on three kinds of accelerator, at production scale.
inline EngineModel LargeModel() {
  EngineModel model;
  model.layers = 80;
  model.layer_mb = 1750;
  model.token_mb = 0.59;
  model.step_millis = 1.02;
  model.step_millis_per_answer = 0.00459;
  model.step_millis_per_kilotoken = 0.00615;
  model.prefill_tokens_per_milli = 164;
  model.slots = 192;
  model.mean_prompt_tokens = 775;
  model.mean_answer_tokens = 220;
  model.kinds = {{"large", 72000, 2.4, 3.2},
                 {"small", 14400, 5.3, 7.9},
                 {"slow", 21600, 16, 8.2}};
  model.delays = {{"a", "b", 0.3}, {"a", "c", 0.3}, {"b", "c", 0.3}};
  return model;
}

/// The engines of one failure domain.
inline void AddEngines(std::vector<Accelerator>& fleet,
                       const std::string& domain, const std::string& kind,
                       int count) {
  for (int i = 0; i < count; ++i) {
    fleet.push_back(
        {domain + "-" + kind + "-" + std::to_string(i), domain, kind, {}});
  }
}

/// Thirty-eight engines in three failure domains.
inline std::vector<Accelerator> LargeFleet() {
  std::vector<Accelerator> fleet;
  AddEngines(fleet, "a", "large", 2);
  AddEngines(fleet, "a", "small", 4);
  AddEngines(fleet, "a", "slow", 4);
  AddEngines(fleet, "b", "large", 1);
  AddEngines(fleet, "b", "small", 6);
  AddEngines(fleet, "b", "slow", 6);
  AddEngines(fleet, "c", "large", 1);
  AddEngines(fleet, "c", "small", 10);
  AddEngines(fleet, "c", "slow", 4);
  return fleet;
}

/// Ninety-three engines in three failure domains.
inline std::vector<Accelerator> GrownFleet() {
  std::vector<Accelerator> fleet;
  AddEngines(fleet, "a", "large", 4);
  AddEngines(fleet, "b", "large", 3);
  AddEngines(fleet, "c", "large", 2);
  AddEngines(fleet, "a", "small", 10);
  AddEngines(fleet, "b", "small", 14);
  AddEngines(fleet, "c", "small", 24);
  AddEngines(fleet, "a", "slow", 11);
  AddEngines(fleet, "b", "slow", 16);
  AddEngines(fleet, "c", "slow", 9);
  return fleet;
}

/// Returns \p fleet as idle engines for the path finder.
inline std::vector<Engine> Idle(const std::vector<Accelerator>& fleet) {
  std::vector<Engine> engines;
  for (const Accelerator& accelerator : fleet) {
    Engine engine;
    engine.id = accelerator.id;
    engine.address = "address-of-" + accelerator.id;
    engine.failure_domain = accelerator.failure_domain;
    engine.kind = accelerator.kind;
    engine.layers = accelerator.layers;
    engines.push_back(std::move(engine));
  }
  return engines;
}

/// Returns the layers of \p path, stage by stage.
inline std::vector<pipeline::LayerRange> RangesOf(const Path& path) {
  std::vector<pipeline::LayerRange> ranges;
  for (const pipeline::Stage& stage : path.stages) {
    ranges.push_back(stage.layers);
  }
  return ranges;
}

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_UNITTESTS_PLACEMENT_MODELS_H_
