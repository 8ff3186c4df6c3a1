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

/// What the engine holds, and the orders that change it. An order takes the
/// time that the weight store needs; what was loaded serves until then.
/// Thread safety: all methods may be called at once from several threads.
class Loader {
 public:
  /// Starts with the load of \p engine_settings.
  explicit Loader(const EngineSettings& engine_settings);

  /// Takes the order \p body; false if its fencing number is old and this
  /// engine checks it.
  bool Order(const nlohmann::json& body);
  /// Returns what is held now.
  Load Current();
  /// Returns whether an order is still being carried out.
  bool Loading();
  /// Returns the highest fencing number seen.
  std::uint64_t FencingNumber();
  /// Returns whether \p weights, with just the layers \p layers, is held.
  bool Serves(const Weights& weights, const LayerRange& layers);

 private:
  using TimePoint = std::chrono::steady_clock::time_point;

  void Settle();

  std::mutex mutex;
  bool checks_fencing;
  std::uint64_t load_millis;
  std::uint64_t fencing_number = 0;
  Load current;
  std::optional<Load> next;
  TimePoint ready;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_LOADER_H_
