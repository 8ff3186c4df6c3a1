#include "standins/engine/engine.h"

#include <unistd.h>

#include <thread>

#include "standins/engine/generation.h"

namespace toucanwharf::standins {
namespace {

constexpr int kForwardTimeoutMs = 30000;
constexpr std::chrono::milliseconds kStallPoll{5};
constexpr int kExitKilled = 137;

nlohmann::json TraceJson(const std::vector<LayerRange>& trace) {
  nlohmann::json list = nlohmann::json::array();
  for (const LayerRange& part : trace) list.push_back({part.begin, part.end});
  return list;
}

StepResult Failed(std::uint32_t stage, const std::string& error) {
  StepResult result;
  result.failed_stage = stage;
  result.error = error;
  return result;
}

}  // namespace

Engine::Engine(const EngineSettings& engine_settings)
    : settings(engine_settings),
      loader(engine_settings),
      kv(engine_settings.kv_tokens),
      prefixes(engine_settings),
      answer_slots(engine_settings.slots, engine_settings.queue_limit),
      batch_slots(engine_settings.slots, Slots::kNoLimit) {
  this->RefreshReport();
}

HttpReply Engine::Handle(const HttpRequest& request) {
  constexpr std::string_view kKv = "/v1/kv/";
  const std::string& path = request.path;
  if (path == "/v1/status") return this->Status();
  if (path == "/v1/load") return this->Report();
  if (path == "/v1/cache-events") {
    return JsonReply(200, this->prefixes.Events(request.Number("after", 0)));
  }
  if (path.starts_with(kKv)) return this->ExportKv(path.substr(kKv.size()));
  if (path == "/v1/forward") return this->Forward(request);
  const nlohmann::json body = request.Json();
  if (!body.is_object()) {
    return JsonReply(400, {{"error", "a JSON body is needed"}, {"ran", "no"}});
  }
  if (path == "/v1/generate") return StartGeneration(*this, body);
  if (path == "/v1/cancel") return this->Cancel(body);
  if (path == "/v1/kv") return this->ImportKv(body);
  if (path == "/v1/orders") return this->Order(body);
  if (path == "/faults") return this->SetFaults(body);
  return JsonReply(404, {{"error", "no such call"}, {"ran", "no"}});
}

HttpReply Engine::Status() {
  const Load load = this->loader.Current();
  return JsonReply(200, {{"instance", this->settings.id},
                         {"model", load.model},
                         {"version", load.version},
                         {"adapters", load.adapters},
                         {"layers", load.layers.Json()},
                         {"loading", this->loader.Loading()},
                         {"fencing", this->settings.fencing},
                         {"fencing_number", this->loader.FencingNumber()},
                         {"accelerator", this->settings.accelerator},
                         {"failure_domain", this->settings.failure_domain},
                         {"state", this->leaving ? "leaving" : "live"},
                         {"layer_micros", this->settings.layer_micros},
                         {"slots", this->settings.slots}});
}

double Engine::TokensPerSecond() {
  const double layers = this->loader.Current().layers.Count();
  const double micros = layers *
                        static_cast<double>(this->settings.layer_micros) *
                        this->slow_factor;
  return micros <= 0 ? 0 : 1e6 * this->settings.slots / micros;
}

void Engine::RefreshReport() {
  const nlohmann::json new_report = {
      {"running", this->answer_slots.UsedCount()},
      {"queued_tokens", this->queued_tokens.load()},
      {"tokens_per_second", this->TokensPerSecond()},
      {"kv_tokens_free", this->kv.Free()}};
  const std::lock_guard lock(this->report_mutex);
  this->report = new_report;
  this->report_time = std::chrono::steady_clock::now();
}

HttpReply Engine::Report() {
  const std::lock_guard lock(this->report_mutex);
  const auto age = std::chrono::steady_clock::now() - this->report_time;
  nlohmann::json body = this->report;
  body["as_of_ms_ago"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return JsonReply(200, body);
}

HttpReply Engine::Cancel(const nlohmann::json& body) {
  this->cancelled.Cancel(body.at("request").get<std::string>(),
                         body.value("attempt", std::uint64_t{0}));
  return JsonReply(200, nlohmann::json::object());
}

HttpReply Engine::ExportKv(const std::string& request) {
  const std::uint64_t tokens = this->kv.Held(request);
  if (tokens == 0) return JsonReply(404, {{"error", "nothing held"}});
  const Load load = this->loader.Current();
  return JsonReply(200, {{"request", request},
                         {"model", load.model},
                         {"version", load.version},
                         {"adapter", ""},
                         {"layers", load.layers.Json()},
                         {"tokens", tokens}});
}

HttpReply Engine::ImportKv(const nlohmann::json& body) {
  const Weights weights{body.at("model").get<std::string>(),
                        body.at("version").get<std::string>(),
                        body.value("adapter", "")};
  const LayerRange layers{body.at("layers").at("begin").get<std::uint32_t>(),
                          body.at("layers").at("end").get<std::uint32_t>()};
  if (!this->loader.Serves(weights, layers)) {
    return JsonReply(409, {{"error", "other weights or layers are loaded"}});
  }
  const auto tokens = body.at("tokens").get<std::uint64_t>();
  this->SleepFor(tokens * this->settings.kv_import_micros);
  this->kv.Store(body.at("request").get<std::string>(), tokens);
  return JsonReply(200, {{"tokens", tokens}});
}

HttpReply Engine::Order(const nlohmann::json& body) {
  if (!this->loader.Order(body)) {
    return JsonReply(412, {{"error", "the fencing number is old"},
                           {"fencing_number", this->loader.FencingNumber()}});
  }
  return this->Status();
}

HttpReply Engine::SetFaults(const nlohmann::json& body) {
  if (body.value("die", false)) _exit(kExitKilled);
  this->slow_factor = body.value("slow_factor", this->slow_factor.load());
  this->stall = body.value("stall", this->stall.load());
  this->leaving = body.value("leaving", this->leaving.load());
  this->forward_delay_ms =
      body.value("forward_delay_ms", this->forward_delay_ms.load());
  return JsonReply(200, {{"slow_factor", this->slow_factor.load()},
                         {"stall", this->stall.load()},
                         {"leaving", this->leaving.load()},
                         {"forward_delay_ms", this->forward_delay_ms.load()}});
}

void Engine::SleepFor(std::uint64_t micros) const {
  const double scaled = static_cast<double>(micros) * this->slow_factor;
  std::this_thread::sleep_for(
      std::chrono::microseconds(static_cast<std::int64_t>(scaled)));
  while (this->stall) std::this_thread::sleep_for(kStallPoll);
}

void Engine::Compute(const Step& step, std::uint32_t layers) {
  const std::uint64_t needed = step.prompt_tokens + step.index;
  std::uint64_t held = this->kv.Held(step.request);
  if (held == 0) held = this->prefixes.LookupAndInsert(step.prompt);
  const std::uint64_t missing = needed > held ? needed - held : 0;
  const std::uint64_t prefill =
      missing > 1 ? missing * this->settings.prefill_micros : 0;
  this->batch_slots.Acquire(0);
  this->SleepFor(prefill + layers * this->settings.layer_micros);
  this->batch_slots.Release();
  this->kv.Store(step.request, needed);
}

StepResult Engine::Run(const Step& step, HttpClient& client,
                       const CancelFlag& caller_cancelled) {
  const LayerRange layers = step.stages.front().layers;
  if (!this->loader.Serves(step.weights, layers)) {
    return Failed(step.stage, "other weights or layers are loaded");
  }
  this->Compute(step, layers.Count());
  StepResult result;
  result.state = RunLayers(step.state, layers.begin, layers.end,
                           HashWeights(step.weights));
  result.trace.push_back(layers);
  if (step.stages.size() == 1) return result;

  Step next = step;
  next.state = result.state;
  next.stage = step.stage + 1;
  next.stages.erase(next.stages.begin());
  const HttpAnswer answer = client.Call(
      "POST", "http://" + next.stages.front().address + "/v1/forward",
      next.Json().dump(), kForwardTimeoutMs, &caller_cancelled);
  const nlohmann::json body = answer.Json();
  if (answer.status != 200 || !body.is_object()) {
    if (!body.is_object()) return Failed(next.stage, "the stage is lost");
    return Failed(body.value("stage", next.stage),
                  body.value("error", "the stage failed"));
  }
  result.state = body.at("state").get<std::uint64_t>();
  for (const nlohmann::json& range : body.at("trace")) {
    result.trace.push_back(LayerRange{range.at(0), range.at(1)});
  }
  return result;
}

HttpReply Engine::Forward(const HttpRequest& request) {
  thread_local HttpClient client;
  const CancelFlag not_cancelled{false};
  const auto delay =
      std::chrono::microseconds(this->settings.link_delay_micros) +
      std::chrono::milliseconds(this->forward_delay_ms.load());
  std::this_thread::sleep_for(delay);
  const Step step = Step::From(request.Json());
  const StepResult result = this->Run(step, client, not_cancelled);
  std::this_thread::sleep_for(delay);
  if (!result.error.empty()) {
    return JsonReply(409,
                     {{"error", result.error}, {"stage", result.failed_stage}});
  }
  return JsonReply(
      200, {{"state", result.state}, {"trace", TraceJson(result.trace)}});
}

nlohmann::json Step::Json() const {
  nlohmann::json list = nlohmann::json::array();
  for (const Stage& stage : this->stages) {
    list.push_back({{"instance", stage.instance},
                    {"address", stage.address},
                    {"begin", stage.layers.begin},
                    {"end", stage.layers.end}});
  }
  return {{"request", this->request},
          {"attempt", this->attempt},
          {"model", this->weights.model},
          {"version", this->weights.version},
          {"adapter", this->weights.adapter},
          {"prompt", this->prompt},
          {"prompt_tokens", this->prompt_tokens},
          {"index", this->index},
          {"state", this->state},
          {"stage", this->stage},
          {"stages", list}};
}

Step Step::From(const nlohmann::json& body) {
  Step step;
  step.request = body.at("request").get<std::string>();
  step.attempt = body.value("attempt", std::uint64_t{0});
  step.weights =
      Weights{body.at("model").get<std::string>(),
              body.at("version").get<std::string>(), body.value("adapter", "")};
  step.prompt = body.value("prompt", "");
  step.prompt_tokens = body.value("prompt_tokens", PromptTokens(step.prompt));
  step.index = body.value("index", std::uint64_t{0});
  step.state = body.value("state", std::uint64_t{0});
  step.stage = body.value("stage", std::uint32_t{0});
  for (const nlohmann::json& entry : body.at("stages")) {
    step.stages.push_back(
        Stage{entry.value("instance", ""), entry.value("address", ""),
              LayerRange{entry.at("begin"), entry.at("end")}});
  }
  if (step.stages.empty()) body.at("stages").at(0);
  return step;
}

}  // namespace toucanwharf::standins
