#ifndef TOUCANWHARF_STANDINS_ENGINE_ENGINE_H_
#define TOUCANWHARF_STANDINS_ENGINE_ENGINE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standins/common/http_client.h"
#include "standins/common/http_server.h"
#include "standins/engine/caches.h"
#include "standins/engine/loader.h"
#include "standins/engine/settings.h"
#include "standins/engine/slots.h"

namespace toucanwharf::standins {

/// One stage of an answer's plan.
struct Stage {
  std::string instance;
  std::string address;
  LayerRange layers;
};

/// The computation of one token by the remaining stages of a plan.
struct Step {
  std::string request;
  std::uint64_t attempt = 0;
  Weights weights;
  /// Only set for the first token of an attempt.
  std::string prompt;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t index = 0;
  std::uint64_t state = 0;
  /// Index of the first element of `stages` in the whole plan.
  std::uint32_t stage = 0;
  std::vector<Stage> stages;

  /// Returns the JSON body that engines send each other.
  nlohmann::json Json() const;
  /// Parses the result of Json. Throws nlohmann::json::exception on any error.
  static Step From(const nlohmann::json& body);
};

/// Result of a step through all remaining stages.
struct StepResult {
  /// Empty on success.
  std::string error;
  std::uint32_t failed_stage = 0;
  std::uint64_t state = 0;
  std::vector<LayerRange> trace;
};

/// Set when the caller has cancelled the request.
using CancelFlag = std::atomic<bool>;

/// A simulated model engine that holds a range of layers. It takes the time
/// that its settings give for each token and layer.
/// Thread safety: safe; all methods may be called concurrently.
class Engine {
 public:
  explicit Engine(const EngineSettings& engine_settings);

  /// Handles one call.
  HttpReply Handle(const HttpRequest& request);
  /// Runs this engine's layers, then forwards the step through \p client.
  StepResult Run(const Step& step, HttpClient& client,
                 const CancelFlag& caller_cancelled);
  Loader& Loaded() { return this->loader; }
  KvCache& Kv() { return this->kv; }
  /// Returns the slots that limit the running answers.
  Slots& AnswerSlots() { return this->answer_slots; }
  CancelledSet& Cancelled() { return this->cancelled; }
  /// Returns whether the engine refuses new answers.
  bool Leaving() const { return this->leaving; }
  /// Adds \p tokens, which may be negative, to the tokens waiting for a slot.
  void AddQueued(std::int64_t tokens) { this->queued_tokens += tokens; }
  /// Updates the load report; to be called once every report lag.
  void RefreshReport();
  const EngineSettings& Settings() const { return this->settings; }

 private:
  HttpReply Status();
  HttpReply Report();
  HttpReply Forward(const HttpRequest& request);
  HttpReply Cancel(const nlohmann::json& body);
  HttpReply ExportKv(const std::string& request);
  HttpReply ImportKv(const nlohmann::json& body);
  HttpReply Order(const nlohmann::json& body);
  HttpReply SetFaults(const nlohmann::json& body);
  void Compute(const Step& step, std::uint32_t layers);
  void SleepFor(std::uint64_t micros) const;
  double TokensPerSecond();

  EngineSettings settings;
  Loader loader;
  KvCache kv;
  PrefixCache prefixes;
  CancelledSet cancelled;
  Slots answer_slots;
  Slots batch_slots;
  std::atomic<std::int64_t> queued_tokens{0};
  std::atomic<double> slow_factor{1.0};
  std::atomic<bool> stall{false};
  std::atomic<bool> leaving{false};
  std::atomic<std::uint64_t> forward_delay_ms{0};
  std::mutex report_mutex;
  nlohmann::json report;
  std::chrono::steady_clock::time_point report_time;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_ENGINE_H_
