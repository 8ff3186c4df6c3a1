#ifndef TOUCANWHARF_UNITTESTS_PLACEMENT_SIMULATED_FLEET_H_
#define TOUCANWHARF_UNITTESTS_PLACEMENT_SIMULATED_FLEET_H_

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/placement/layout.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::placement {

/// Engines that load the layers that they are ordered to hold. Loads share the
/// model's bandwidth, and an engine that loads serves nothing.
class SimulatedFleet {
 public:
  /// All engines of \p fleet hold their layers. Precondition: \p engine_model
  /// outlives the fleet.
  SimulatedFleet(const EngineModel& engine_model,
                 const std::vector<Accelerator>& fleet)
      : model(engine_model) {
    for (const Accelerator& engine : fleet) {
      this->engines.push_back({engine});
    }
  }

  /// Returns the engines as their reports show them: with the layers that they
  /// hold or load.
  std::vector<Accelerator> Reports() const {
    std::vector<Accelerator> reports;
    for (const LoadingEngine& each : this->engines) {
      reports.push_back(each.engine);
    }
    return reports;
  }

  /// Removes the engine \p id. Precondition: there is one.
  Accelerator Lose(const std::string& id) {
    const auto found = this->Find(id);
    Accelerator lost = found->engine;
    this->engines.erase(found);
    return lost;
  }

  /// Adds \p engine without layers.
  void Add(Accelerator engine) {
    engine.layers = {};
    engine.loading.reset();
    this->engines.push_back({engine});
  }

  /// Orders the engines to hold \p layout. One that loads finishes that first.
  /// Each order is lost with probability \p loss.
  void Order(const Layout& layout, Random& random, double loss = 0) {
    for (LoadingEngine& each : this->engines) {
      const auto target = layout.find(each.engine.id);
      if (target == layout.end() || each.engine.loading) continue;
      if (target->second == each.engine.layers) continue;
      if (random.Unit() < loss) continue;
      const pipeline::LayerRange held = each.engine.layers;
      each.engine.layers = target->second;
      each.remaining = NewLayers(held, target->second);
      if (each.remaining > 0) {
        each.engine.loading = pipeline::Intersection(held, target->second);
      }
      each.unreported_seconds = kReportLagSeconds;
      this->loaded_layers += each.remaining;
      ++this->orders;
    }
  }

  /// Lets the loads go on for \p seconds.
  void Run(double seconds) {
    const auto loading = static_cast<double>(
        std::count_if(this->engines.begin(), this->engines.end(),
                      [](const auto& each) { return each.remaining > 0; }));
    const double rate = std::min(1.0, this->model.parallel_loads / loading);
    const double layers =
        seconds * rate * this->model.layers / this->model.load_seconds;
    for (LoadingEngine& each : this->engines) {
      if (!each.engine.loading) continue;
      if (each.remaining > 0) {
        each.remaining -= layers;
        continue;
      }
      each.unreported_seconds -= seconds;
      if (each.unreported_seconds <= 0) each.engine.loading.reset();
    }
  }

  int Orders() const { return this->orders; }
  double LoadedLayers() const { return this->loaded_layers; }

 private:
  struct LoadingEngine {
    Accelerator engine;
    /// Layers that are still to be loaded.
    double remaining = 0;
    /// Until the end of the load is known.
    double unreported_seconds = 0;
  };

  static constexpr double kReportLagSeconds = 0.4;

  static double NewLayers(const pipeline::LayerRange& held,
                          const pipeline::LayerRange& target) {
    return target.Count() - pipeline::Intersection(held, target).Count();
  }

  std::vector<LoadingEngine>::iterator Find(const std::string& id) {
    return std::find_if(
        this->engines.begin(), this->engines.end(),
        [&](const LoadingEngine& each) { return each.engine.id == id; });
  }

  const EngineModel& model;
  std::vector<LoadingEngine> engines;
  int orders = 0;
  double loaded_layers = 0;
};

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_UNITTESTS_PLACEMENT_SIMULATED_FLEET_H_
