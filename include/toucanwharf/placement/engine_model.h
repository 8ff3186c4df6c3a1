#ifndef TOUCANWHARF_PLACEMENT_ENGINE_MODEL_H_
#define TOUCANWHARF_PLACEMENT_ENGINE_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

/// Placement of a model's layers on engines, and the choice of the path of an
/// answer: computations without I/O.
namespace toucanwharf::placement {

/// A kind of accelerator.
struct AcceleratorKind {
  std::string name;
  /// Memory for layers and for the KV cache of answers, in MB.
  double memory_mb = 0;
  /// Time for a decoding step, relative to the model's figures.
  double step_factor = 1;
  /// Time for reading prompts, relative to the model's figures.
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

/// Speed and size of a model on its engines, as configured by the operator.
struct EngineModel {
  std::string model;
  std::uint32_t layers = 0;
  double layer_mb = 0;
  /// Memory of one token of an answer over all layers, in MB.
  double token_mb = 0;
  /// Duration of a decoding step over all layers: fixed part, part per answer,
  /// and part per answer and 1,000 tokens that it has so far.
  double step_millis = 1;
  double step_millis_per_answer = 0;
  double step_millis_per_kilotoken = 0;
  /// Prompt tokens read per millisecond over all layers.
  double prefill_tokens_per_milli = 1;
  /// Maximum requests of an endpoint as the first stage of a path.
  std::uint32_t slots = 0;
  /// Mean tokens of a prompt and of an answer.
  double mean_prompt_tokens = 0;
  double mean_answer_tokens = 0;
  /// Time to load all layers, in seconds.
  double load_seconds = 0;
  /// Loads that run concurrently at full speed.
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
