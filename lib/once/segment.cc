#include "toucanwharf/once/segment.h"

#include <nlohmann/json.hpp>

#include "toucanwharf/support/json.h"
#include "toucanwharf/support/json_text.h"

namespace toucanwharf::once {
namespace {

using Json = nlohmann::json;

std::optional<Entry> DecodeEntry(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  Entry entry;
  entry.key = TextMember(json, "key");
  entry.claim = TextMember(json, "claim");
  entry.digest = TextMember(json, "digest");
  const auto state = CountMember(json, "state");
  const bool known = state.has_value() &&
                     *state <= static_cast<unsigned>(KeyState::kOutcomeLost);
  if (entry.key.empty() || entry.claim.empty() || !known) return std::nullopt;
  entry.state = static_cast<KeyState>(*state);
  entry.outcome.status =
      static_cast<int>(CountMember(json, "status").value_or(0));
  entry.outcome.content_type = TextMember(json, "type");
  entry.outcome.body = TextMember(json, "body");
  entry.outcome.body_retained = !json.contains("cut");
  return entry;
}

}  // namespace

bool CanRetainBody(const std::string& body) {
  if (body.size() > kMaxRetainedBodyBytes) return false;
  const std::string text =
      Json(body).dump(-1, ' ', false, Json::error_handler_t::replace);
  return ParseJson(text) == Json(body);
}

std::string EncodeEntry(const Entry& entry) {
  Json json{{"key", entry.key},
            {"claim", entry.claim},
            {"state", static_cast<unsigned>(entry.state)}};
  if (!entry.digest.empty()) json["digest"] = entry.digest;
  if (entry.state == KeyState::kDone) {
    json["status"] = static_cast<unsigned>(entry.outcome.status);
    json["type"] = entry.outcome.content_type;
    json["body"] = entry.outcome.body;
    if (!entry.outcome.body_retained) json["cut"] = true;
  }
  // Keys and content types are external input and may not be UTF-8.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeSegment(const Segment& segment,
                          std::string_view entries_text) {
  const Json head{{"index", segment.index},
                  {"sealed", segment.sealed},
                  {"floor_millis", segment.floor_millis},
                  {"newest_millis", segment.newest_millis}};
  std::string text = head.dump();
  text.pop_back();
  text.append(",\"entries\":[").append(entries_text).append("]}");
  return text;
}

std::optional<Segment> DecodeSegment(std::string_view text) {
  const Json json = ParseJson(text);
  if (!json.is_object()) return std::nullopt;
  const auto index = CountMember(json, "index");
  const auto floor = CountMember(json, "floor_millis");
  const auto newest = CountMember(json, "newest_millis");
  const auto sealed = json.find("sealed");
  const auto entries = json.find("entries");
  const bool valid = index && floor && newest && sealed != json.end() &&
                     sealed->is_boolean() && entries != json.end() &&
                     entries->is_array();
  if (!valid) return std::nullopt;
  Segment segment{*index, sealed->get<bool>(), *floor, *newest, {}};
  for (const Json& item : *entries) {
    auto entry = DecodeEntry(item);
    if (!entry.has_value()) return std::nullopt;
    segment.entries.push_back(std::move(*entry));
  }
  return segment;
}

}  // namespace toucanwharf::once
