#include "toucanwharf/daemon/openai.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace toucanwharf::daemon {
namespace {

using Json = nlohmann::json;

constexpr int kBadRequest = 400;
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kMaxTokensLimit = 1000000;
constexpr std::size_t kBytesPerToken = 4;
// Deeper documents are refused before a tree is built from them, since its
// destruction recurses to the same depth.
constexpr int kMaxJsonDepth = 64;

Refusal Malformed(std::string message) {
  Refusal refusal;
  refusal.status = kBadRequest;
  refusal.code = "bad_request";
  refusal.message = std::move(message);
  return refusal;
}

std::string Dump(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Json> ParseObject(std::string_view body) {
  bool too_deep = false;
  const auto callback = [&too_deep](int depth, Json::parse_event_t /*event*/,
                                    Json& /*parsed*/) {
    if (depth > kMaxJsonDepth) too_deep = true;
    return !too_deep;
  };
  Json parsed = Json::parse(body, callback, /*allow_exceptions=*/false);
  if (too_deep || !parsed.is_object()) return std::nullopt;
  return parsed;
}

/// Returns the text of a message's content: a string, or the joined text parts
/// of an array.
std::optional<std::string> ContentText(const Json& content) {
  if (content.is_string()) return content.get<std::string>();
  if (!content.is_array()) return std::nullopt;
  std::string text;
  for (const Json& part : content) {
    if (!part.is_object()) return std::nullopt;
    const auto part_text = part.find("text");
    if (part_text == part.end() || !part_text->is_string()) return std::nullopt;
    text += part_text->get<std::string>();
  }
  return text;
}

std::optional<std::string> JoinMessages(const Json& request) {
  const auto messages = request.find("messages");
  if (messages == request.end() || !messages->is_array()) return std::nullopt;
  if (messages->empty()) return std::nullopt;
  std::string prompt;
  for (const Json& message : *messages) {
    if (!message.is_object()) return std::nullopt;
    const auto role = message.find("role");
    const auto content = message.find("content");
    if (role == message.end() || !role->is_string()) return std::nullopt;
    if (content == message.end()) return std::nullopt;
    const auto text = ContentText(*content);
    if (!text) return std::nullopt;
    prompt += role->get<std::string>() + ": " + *text + "\n";
  }
  return prompt;
}

std::optional<std::string> PromptOf(CompletionShape shape,
                                    const Json& request) {
  if (shape == CompletionShape::kChat) return JoinMessages(request);
  const auto prompt = request.find("prompt");
  if (prompt == request.end() || !prompt->is_string()) return std::nullopt;
  return prompt->get<std::string>();
}

/// Returns the token limit, or the default if it is absent; nothing when it is
/// present and invalid.
std::optional<std::uint32_t> MaxTokensOf(const Json& request) {
  for (const char* name : {"max_completion_tokens", "max_tokens"}) {
    const auto found = request.find(name);
    if (found == request.end() || found->is_null()) continue;
    if (!found->is_number_unsigned()) return std::nullopt;
    const auto count = found->get<std::uint64_t>();
    if (count == 0 || count > kMaxTokensLimit) return std::nullopt;
    return static_cast<std::uint32_t>(count);
  }
  return kDefaultMaxTokens;
}

Json CommonMembers(const CompletionNaming& naming, const char* chat_object) {
  const bool chat = naming.shape == CompletionShape::kChat;
  return {{"id", naming.id},
          {"object", chat ? chat_object : "text_completion"},
          {"created", naming.created_s},
          {"model", naming.model}};
}

}  // namespace

ParsedCompletion ParseCompletion(CompletionShape shape, std::string_view body) {
  const auto request = ParseObject(body);
  if (!request) {
    return Malformed("the body is not a JSON object in UTF-8; send one");
  }
  CompletionRequest parsed;
  parsed.shape = shape;
  const auto model = request->find("model");
  if (model == request->end() || !model->is_string()) {
    return Malformed(
        "member model is missing or not a string; name a model "
        "of GET /v1/models");
  }
  parsed.model = model->get<std::string>();
  auto prompt = PromptOf(shape, *request);
  if (!prompt) {
    return Malformed(shape == CompletionShape::kChat
                         ? "member messages must be a non-empty array of "
                           "objects with role and content"
                         : "member prompt must be a string");
  }
  parsed.prompt = std::move(*prompt);
  const auto max_tokens = MaxTokensOf(*request);
  if (!max_tokens) {
    return Malformed("member max_tokens must be a whole number from 1 to " +
                     std::to_string(kMaxTokensLimit));
  }
  parsed.max_tokens = *max_tokens;
  const auto stream = request->find("stream");
  if (stream != request->end() && !stream->is_null()) {
    if (!stream->is_boolean()) return Malformed("member stream must be a bool");
    parsed.stream = stream->get<bool>();
  }
  const auto seed = request->find("seed");
  if (seed != request->end() && !seed->is_null()) {
    if (!seed->is_number_integer()) {
      return Malformed("member seed must be a whole number");
    }
    parsed.has_seed = true;
    parsed.seed = seed->get<std::uint64_t>();
  }
  return parsed;
}

std::string TokenChunk(const CompletionNaming& naming, std::uint32_t index,
                       std::string_view text) {
  Json chunk = CommonMembers(naming, "chat.completion.chunk");
  Json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (naming.shape == CompletionShape::kChat) {
    choice["delta"] = {{"content", text}};
    if (index == 0) choice["delta"]["role"] = "assistant";
  } else {
    choice["text"] = text;
  }
  chunk["choices"] = Json::array({choice});
  chunk["index_in_answer"] = index;
  return Dump(chunk);
}

std::string FinishChunk(const CompletionNaming& naming,
                        std::string_view finish_reason) {
  Json chunk = CommonMembers(naming, "chat.completion.chunk");
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (naming.shape == CompletionShape::kChat) {
    choice["delta"] = Json::object();
  } else {
    choice["text"] = "";
  }
  chunk["choices"] = Json::array({choice});
  return Dump(chunk);
}

std::string WholeAnswer(const CompletionNaming& naming,
                        const std::vector<std::string>& tokens,
                        std::uint32_t prompt_tokens,
                        std::string_view finish_reason) {
  std::string text;
  for (const std::string& token : tokens) text += token;
  Json answer = CommonMembers(naming, "chat.completion");
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (naming.shape == CompletionShape::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  answer["choices"] = Json::array({choice});
  answer["usage"] = {{"prompt_tokens", prompt_tokens},
                     {"completion_tokens", tokens.size()},
                     {"total_tokens", prompt_tokens + tokens.size()}};
  return Dump(answer);
}

std::uint32_t EstimateTokens(std::string_view text) {
  return static_cast<std::uint32_t>(text.size() / kBytesPerToken) + 1;
}

}  // namespace toucanwharf::daemon
