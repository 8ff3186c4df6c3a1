#ifndef TOUCANWHARF_STANDINS_ENGINE_LOADER_H_
#define TOUCANWHARF_STANDINS_ENGINE_LOADER_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "standins/engine/settings.h"

namespace toucanwharf::standins {

/// The loaded weights, and the orders that change them. An order takes the time
/// that the weight store needs; until then the previous weights are served.
/// Thread safety: safe; all methods may be called concurrently.
class Loader {
 public:
  explicit Loader(const EngineSettings& engine_settings);

  /// Accepts the order \p body; false if the engine checks fencing numbers and
  /// that of the order is lower than the highest one seen.
  bool Order(const nlohmann::json& body);
  /// Returns the weights that are loaded now.
  Load Current();
  /// Returns whether an order is in progress.
  bool Loading();
  /// Returns the highest fencing number seen.
  std::uint64_t FencingNumber();
  /// Returns whether \p weights are loaded with exactly \p layers.
  bool Serves(const Weights& weights, const LayerRange& layers);

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  void ApplyFinishedLoad();

  std::mutex mutex;
  bool checks_fencing;
  std::uint64_t load_millis;
  std::uint64_t fencing_number = 0;
  Load current;
  std::optional<Load> next;
  TimePoint ready_at;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_LOADER_H_
