#ifndef TOUCANWHARF_PLACEMENT_ENGINE_MODEL_H_
#define TOUCANWHARF_PLACEMENT_ENGINE_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

/// Where the layers of a model are loaded, and which endpoints an answer runs
/// through: the sums, without I/O.
namespace toucanwharf::placement {

/// A kind of accelerator.
struct AcceleratorKind {
  std::string name;
  /// Memory for layers and for what answers hold, in MB.
  double memory_mb = 0;
  /// Time for a decoding step, against that of the engine's figures.
  double step_factor = 1;
  /// Time for reading prompts, against that of the engine's figures.
  double prefill_factor = 1;

  friend bool operator==(const AcceleratorKind&,
                         const AcceleratorKind&) = default;
};

/// One-way delay between two failure domains.
struct DomainDelay {
  std::string left;
  std::string right;
  double millis = 0;

  friend bool operator==(const DomainDelay&, const DomainDelay&) = default;
};

/// Speed and size of a model on its engines, as the operator states them.
struct EngineModel {
  std::string model;
  std::uint32_t layers = 0;
  double layer_mb = 0;
  /// Memory that one token of an answer holds over all layers, in MB.
  double token_mb = 0;
  /// A decoding step over all layers: fixed part, part for each answer, and
  /// part for each answer and 1,000 tokens that it has so far.
  double step_millis = 1;
  double step_millis_per_answer = 0;
  double step_millis_per_kilotoken = 0;
  /// Prompt tokens read in a millisecond over all layers.
  double prefill_tokens_per_milli = 1;
  /// Requests that an endpoint takes as the first of a path.
  std::uint32_t slots = 0;
  /// Mean tokens of a prompt and of an answer.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  /// Time to load all layers, in seconds.
  double load_seconds = 0;
  /// Loads that run at full speed side by side.
  std::uint32_t parallel_loads = 1;
  std::vector<AcceleratorKind> kinds;
  std::vector<DomainDelay> delays;

  /// Returns the kind \p name, or null. Thread safety: safe.
  const AcceleratorKind* FindKind(const std::string& name) const {
    for (const AcceleratorKind& kind : this->kinds) {
      if (kind.name == name) return &kind;
    }
    return nullptr;
  }

  friend bool operator==(const EngineModel&, const EngineModel&) = default;
};

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_ENGINE_MODEL_H_
