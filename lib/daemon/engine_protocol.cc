#include "toucanwharf/daemon/engine_protocol.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "toucanwharf/support/json_text.h"

namespace toucanwharf::daemon {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kMaxIndex = UINT32_MAX;

std::optional<std::uint32_t> ParseCount(const Json& value) {
  if (!value.is_number_unsigned()) return std::nullopt;
  const auto count = value.get<std::uint64_t>();
  if (count > kMaxIndex) return std::nullopt;
  return static_cast<std::uint32_t>(count);
}

std::optional<std::uint32_t> CountOf(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) return std::nullopt;
  return ParseCount(*found);
}

std::optional<pipeline::LayerRange> RangeOf(const Json& pair) {
  if (!pair.is_array() || pair.size() != 2) return std::nullopt;
  const auto begin = ParseCount(pair[0]);
  const auto end = ParseCount(pair[1]);
  if (!begin || !end || *begin > *end) return std::nullopt;
  return pipeline::LayerRange{*begin, *end};
}

std::optional<pipeline::TokenArrived> TokenOf(const Json& event) {
  pipeline::TokenArrived token;
  const auto attempt = CountOf(event, "attempt");
  const auto index = CountOf(event, "index");
  const auto request = event.find("request");
  const auto text = event.find("token");
  const auto trace = event.find("trace");
  if (!attempt || !index) return std::nullopt;
  if (request == event.end() || !request->is_string()) return std::nullopt;
  if (text == event.end() || !text->is_string()) return std::nullopt;
  if (trace == event.end() || !trace->is_array()) return std::nullopt;
  token.request = request->get<std::string>();
  token.attempt = *attempt;
  token.index = *index;
  token.text = text->get<std::string>();
  for (const Json& pair : *trace) {
    const auto range = RangeOf(pair);
    if (!range) return std::nullopt;
    token.trace.push_back(*range);
  }
  const auto last = event.find("last");
  token.last = last != event.end() && last->is_boolean() && last->get<bool>();
  return token;
}

pipeline::StreamFailed FaultOf(std::uint32_t attempt, const Json& event) {
  pipeline::StreamFailed failure;
  failure.attempt = attempt;
  failure.fault = pipeline::StreamFault::kConnectionLost;
  const auto stage = CountOf(event, "stage");
  if (!stage) return failure;
  failure.fault = pipeline::StreamFault::kStageLost;
  failure.stage = *stage;
  return failure;
}

pipeline::StreamFailed Malformed(std::uint32_t attempt) {
  pipeline::StreamFailed failure;
  failure.attempt = attempt;
  failure.fault = pipeline::StreamFault::kMalformed;
  return failure;
}

}  // namespace

std::string GenerateBody(const pipeline::AnswerRequest& request,
                         const std::string& prompt, std::uint64_t seed,
                         const pipeline::StartAttempt& start) {
  Json stages = Json::array();
  for (const pipeline::Stage& stage : start.plan.stages) {
    stages.push_back({{"instance", stage.endpoint},
                      {"address", stage.address},
                      {"begin", stage.layers.begin},
                      {"end", stage.layers.end}});
  }
  const Json body = {{"request", request.id},
                     {"attempt", start.attempt},
                     {"model", request.model.model},
                     {"version", request.model.version},
                     {"adapter", request.model.adapter},
                     {"seed", seed},
                     {"prompt", prompt},
                     {"tokens", start.tokens},
                     {"first_index", start.first_index},
                     {"max_tokens", request.max_tokens},
                     {"priority", 0},
                     {"stages", std::move(stages)}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string CancelBody(const std::string& request, std::uint32_t attempt) {
  return Json({{"request", request}, {"attempt", attempt}}).dump();
}

pipeline::Event ParseEngineEvent(std::uint32_t attempt, std::string_view data) {
  const Json event = ParseJson(data);
  if (!event.is_object()) return Malformed(attempt);
  if (event.contains("error")) return FaultOf(attempt, event);
  auto token = TokenOf(event);
  if (!token) return Malformed(attempt);
  return std::move(*token);
}

bool ReportsNotRun(std::string_view body) {
  const Json parsed = ParseJson(body);
  if (!parsed.is_object()) return false;
  const auto ran = parsed.find("ran");
  return ran != parsed.end() && *ran == "no";
}

}  // namespace toucanwharf::daemon
