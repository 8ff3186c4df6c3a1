#ifndef TOUCANWHARF_STANDINS_ENGINE_SETTINGS_H_
#define TOUCANWHARF_STANDINS_ENGINE_SETTINGS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/token_model.h"

namespace toucanwharf::standins {

/// Layers from `begin` up to but not including `end`.
struct LayerRange {
  std::uint32_t begin = 0;
  std::uint32_t end = 0;

  friend bool operator==(const LayerRange&, const LayerRange&) = default;
  /// Returns the number of layers.
  std::uint32_t Count() const { return this->end - this->begin; }
  /// Returns the JSON form specified in docs/PROTOCOLS.md.
  nlohmann::json Json() const {
    return {{"begin", this->begin}, {"end", this->end}};
  }
};

/// The weights that an engine holds or is to load.
struct Load {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  LayerRange layers;

  friend bool operator==(const Load&, const Load&) = default;
};

/// The simulated speeds, limits and faults of one stand-in engine.
struct EngineSettings {
  std::string id = "engine";
  std::string failure_domain;
  std::string accelerator = "a";
  Load load;
  std::uint64_t layer_micros = 500;
  /// Time to prefill one prompt token through all of the engine's layers.
  std::uint64_t prefill_micros = 20;
  std::uint32_t slots = 8;
  std::uint32_t queue_limit = 16;
  std::uint64_t kv_tokens = 65536;
  std::uint64_t kv_import_micros = 2;
  std::size_t prefix_blocks = 256;
  /// Time to load one layer or one adapter from the weight store.
  std::uint64_t load_millis = 20;
  std::uint64_t report_lag_ms = 100;
  std::uint64_t event_lag_ms = 200;
  /// Fraction of cache events that are lost, from 0 to 1.
  double event_gaps = 0.0;
  /// How fencing numbers are handled: "checked", "ignored" or "unknown".
  std::string fencing = "checked";
  std::uint64_t link_delay_micros = 0;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_SETTINGS_H_
