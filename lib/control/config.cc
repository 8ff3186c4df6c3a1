#include "toucanwharf/control/config.h"

#include <nlohmann/json.hpp>

#include "toucanwharf/support/json_text.h"

namespace toucanwharf::control {
namespace {

using Json = nlohmann::json;

Json ParseObject(std::string_view text) {
  Json json = ParseJson(text);
  return json.is_object() ? json : Json();
}

std::optional<std::uint64_t> Number(const Json& json, const char* name) {
  if (!json.is_object()) return std::nullopt;
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number_unsigned()) return std::nullopt;
  return found->get<std::uint64_t>();
}

std::optional<std::string> Text(const Json& json, const char* name) {
  if (!json.is_object()) return std::nullopt;
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

Json ChangesToJson(const ChangeMap& changes) {
  Json json = Json::object();
  for (const auto& [name, value] : changes) {
    json[name] = value.has_value() ? ParseJson(*value) : Json(nullptr);
  }
  return json;
}

std::optional<ChangeMap> ChangesFromJson(const Json& json) {
  const auto found = json.find("changes");
  if (found == json.end() || !found->is_object()) return std::nullopt;
  ChangeMap changes;
  for (const auto& [name, value] : found->items()) {
    if (value.is_null()) {
      changes[name] = std::nullopt;
    } else {
      changes[name] = value.dump();
    }
  }
  return changes;
}

}  // namespace

std::string Encode(const Head& head) {
  return Json{{"generation", head.generation},
              {"fence", head.fence},
              {"records_revision", head.records_revision},
              {"delta", head.delta},
              {"snapshot",
               {{"generation", head.snapshot.generation},
                {"name", head.snapshot.name},
                {"chunks", head.snapshot.chunks}}}}
      .dump();
}

std::optional<Head> DecodeHead(std::string_view text) {
  const Json json = ParseObject(text);
  const auto generation = Number(json, "generation");
  const auto fence = Number(json, "fence");
  const auto records = Number(json, "records_revision");
  const auto delta = Text(json, "delta");
  if (!generation || !fence || !records || !delta ||
      !json.contains("snapshot")) {
    return std::nullopt;
  }
  const Json& snapshot = json["snapshot"];
  const auto base = Number(snapshot, "generation");
  const auto name = Text(snapshot, "name");
  const auto chunks = Number(snapshot, "chunks");
  if (!base || !name || !chunks) return std::nullopt;
  return Head{*generation, *fence, *records, *delta,
              SnapshotName{*base, *name, *chunks}};
}

std::string Encode(const Delta& delta) {
  return Json{{"generation", delta.generation},
              {"previous", delta.previous},
              {"changes", ChangesToJson(delta.changes)}}
      .dump();
}

std::optional<Delta> DecodeDelta(std::string_view text) {
  const Json json = ParseObject(text);
  const auto generation = Number(json, "generation");
  const auto previous = Text(json, "previous");
  if (!generation || !previous) return std::nullopt;
  auto changes = ChangesFromJson(json);
  if (!changes) return std::nullopt;
  return Delta{*generation, *previous, std::move(*changes)};
}

std::vector<std::string> EncodeChunks(const RecordMap& records) {
  std::vector<std::string> chunks;
  std::string text;
  for (const auto& [name, value] : records) {
    const std::string item = Json(name).dump() + ":" + value;
    const bool full = text.size() + item.size() > kChunkBytes;
    if (full && !text.empty()) {
      chunks.push_back("{" + text + "}");
      text.clear();
    }
    if (!text.empty()) text.push_back(',');
    text.append(item);
  }
  chunks.push_back("{" + text + "}");
  return chunks;
}

std::optional<RecordMap> DecodeChunk(std::string_view text) {
  const Json json = ParseJson(text);
  if (!json.is_object()) return std::nullopt;
  RecordMap records;
  for (const auto& [name, value] : json.items()) records[name] = value.dump();
  return records;
}

std::string Encode(const PeerUpdate& update) {
  return Json{{"from", update.from},
              {"to", update.to},
              {"changes", ChangesToJson(update.changes)}}
      .dump();
}

std::optional<PeerUpdate> DecodePeerUpdate(std::string_view text) {
  const Json json = ParseObject(text);
  const auto from = Number(json, "from");
  const auto reached = Number(json, "to");
  if (!from || !reached) return std::nullopt;
  auto changes = ChangesFromJson(json);
  if (!changes) return std::nullopt;
  return PeerUpdate{*from, *reached, std::move(*changes)};
}

}  // namespace toucanwharf::control
