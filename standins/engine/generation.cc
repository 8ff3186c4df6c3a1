#include "standins/engine/generation.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace toucanwharf::standins {
namespace {

constexpr std::uint64_t kDefaultMaxTokens = 16;

HttpReply Refuse(int status, const std::string& error) {
  return JsonReply(status, {{"error", error}, {"ran", "no"}});
}

std::string Event(const nlohmann::json& body) {
  return "data: " + body.dump() + "\n\n";
}

/// One running answer. Holds a slot and its KV reservation until destroyed.
class Generation {
 public:
  Generation(Engine& first_engine, Step first, std::uint64_t sampling_seed,
             std::vector<std::string> tokens_so_far, std::uint64_t token_limit)
      : engine(first_engine),
        step(std::move(first)),
        seed(sampling_seed),
        tokens(std::move(tokens_so_far)),
        max_tokens(token_limit),
        prompt(this->step.prompt) {}

  ~Generation() {
    this->engine.Kv().Release(this->step.request);
    this->engine.AnswerSlots().Release();
  }
  Generation(const Generation&) = delete;
  Generation& operator=(const Generation&) = delete;

  /// Returns the next event, or nullopt once the answer has ended.
  std::optional<std::string> Next() {
    if (this->finished || this->tokens.size() >= this->max_tokens) {
      return std::nullopt;
    }
    if (this->engine.Cancelled().Contains(this->step.request,
                                          this->step.attempt)) {
      return this->End("cancelled", this->step.stage);
    }
    this->step.index = this->tokens.size();
    this->step.state = InitialState(this->seed, this->prompt, this->tokens);
    const StepResult result =
        this->engine.Run(this->step, this->client, this->caller_cancelled);
    if (!result.error.empty()) {
      return this->End(result.error, result.failed_stage);
    }
    this->step.prompt.clear();
    return this->Token(result);
  }

 private:
  std::string Token(const StepResult& result) {
    nlohmann::json trace = nlohmann::json::array();
    for (const LayerRange& range : result.trace) {
      trace.push_back({range.begin, range.end});
    }
    this->tokens.push_back(TokenOf(result.state));
    return Event({{"request", this->step.request},
                  {"attempt", this->step.attempt},
                  {"index", this->step.index},
                  {"token", this->tokens.back()},
                  {"trace", trace},
                  {"last", this->tokens.size() >= this->max_tokens}});
  }

  std::string End(const std::string& error, std::uint32_t stage) {
    this->finished = true;
    return Event({{"request", this->step.request},
                  {"attempt", this->step.attempt},
                  {"error", error},
                  {"stage", stage}});
  }

  Engine& engine;
  Step step;
  std::uint64_t seed;
  std::vector<std::string> tokens;
  std::uint64_t max_tokens;
  std::string prompt;
  HttpClient client;
  CancelFlag caller_cancelled{false};
  bool finished = false;
};

/// Returns whether the stages start at layer 0 and have no gap or overlap.
bool IsContiguous(const std::vector<Stage>& stages) {
  std::uint32_t next = 0;
  for (const Stage& stage : stages) {
    if (stage.layers.begin != next || stage.layers.end <= next) return false;
    next = stage.layers.end;
  }
  return true;
}

}  // namespace

HttpReply StartGeneration(Engine& engine, const nlohmann::json& body) {
  Step step = Step::From(body);
  auto tokens = body.value("tokens", std::vector<std::string>());
  const auto first_index = body.value("first_index", std::uint64_t{0});
  const auto max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  if (first_index != tokens.size()) {
    return Refuse(400, "first_index must be the number of tokens");
  }
  if (!IsContiguous(step.stages)) return Refuse(409, "the stages leave gaps");
  if (engine.Leaving()) return Refuse(409, "leaving");
  if (!engine.Loaded().Serves(step.weights, step.stages.front().layers)) {
    return Refuse(409, "other weights or layers are loaded");
  }
  const auto new_tokens = static_cast<std::int64_t>(max_tokens - first_index);
  engine.AddQueued(new_tokens);
  const bool acquired = engine.AnswerSlots().Acquire(body.value("priority", 0));
  engine.AddQueued(-new_tokens);
  if (!acquired) return Refuse(429, "no slot");
  if (!engine.Kv().Reserve(step.request, step.prompt_tokens + max_tokens)) {
    engine.AnswerSlots().Release();
    return Refuse(429, "no KV memory");
  }
  auto generation = std::make_shared<Generation>(
      engine, std::move(step), body.value("seed", std::uint64_t{0}),
      std::move(tokens), max_tokens);
  HttpReply reply;
  reply.content_type = "text/event-stream";
  reply.stream = [generation] { return generation->Next(); };
  return reply;
}

}  // namespace toucanwharf::standins
