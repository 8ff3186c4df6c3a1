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

/// One token on its way through the stages that are left.
struct Step {
  std::string request;
  std::uint64_t attempt = 0;
  Weights weights;
  /// Only with the first token of an attempt.
  std::string prompt;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t index = 0;
  std::uint64_t state = 0;
  /// Place of the first stage of `stages` in the whole plan.
  std::uint32_t stage = 0;
  std::vector<Stage> stages;

  /// Returns the form that engines send each other.
  nlohmann::json Json() const;
  /// Reads what Json made; throws nlohmann::json::exception otherwise.
  static Step From(const nlohmann::json& body);
};

/// What a step through all stages that were left gave.
struct StepResult {
  /// Empty if it worked.
  std::string error;
  std::uint32_t failed_stage = 0;
  std::uint64_t state = 0;
  std::vector<LayerRange> trace;
};

/// Returns whether the caller has given up.
using CancelFlag = std::atomic<bool>;

/// A model engine that holds a range of layers and keeps time like one.
/// Thread safety: all methods may be called at once from several threads.
class Engine {
 public:
  /// Starts with \p engine_settings.
  explicit Engine(const EngineSettings& engine_settings);

  /// Answers one call.
  HttpReply Handle(const HttpRequest& request);
  /// Runs this engine's layers, then sends the step on through \p client.
  StepResult Run(const Step& step, HttpClient& client,
                 const CancelFlag& cancelled);
  /// Returns the loaded state.
  Loader& Loaded() { return this->loader; }
  /// Returns the KV memory.
  KvCache& Kv() { return this->kv; }
  /// Returns the places of running answers.
  Slots& Answers() { return this->answers; }
  /// Returns the set of answers that were given up.
  CancelledSet& Cancelled() { return this->cancelled; }
  /// Returns whether the engine takes no new answers.
  bool Leaving() const { return this->leaving; }
  /// Adds to the tokens that wait for a place.
  void AddQueued(std::int64_t tokens) { this->queued_tokens += tokens; }
  /// Takes the load report anew; to be called once each report lag.
  void RefreshReport();
  /// Returns the settings.
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
  Slots answers;
  Slots batch;
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
