#include <string>

#include "toucanwharf/schema/schema.h"

namespace toucanwharf::schema {
namespace {

using nlohmann::json;

Problem WholeDocument(std::string found, std::string allowed,
                      std::string remedy) {
  return Problem{"", std::move(found), std::move(allowed), std::move(remedy)};
}

/// Returns whether \p value contains a string or member name over the limit.
/// Recursion is bounded, because the depth was checked before.
bool HasLongString(const json& value) {
  if (value.is_string()) {
    return value.get_ref<const std::string&>().size() > kMaxStringBytes;
  }
  if (value.is_object()) {
    for (const auto& [name, member] : value.items()) {
      if (name.size() > kMaxStringBytes || HasLongString(member)) return true;
    }
  }
  if (value.is_array()) {
    for (const json& item : value) {
      if (HasLongString(item)) return true;
    }
  }
  return false;
}

}  // namespace

Checked<json> ParseJson(std::string_view text) {
  if (text.size() > kMaxDocumentBytes) {
    return Problems{WholeDocument(std::to_string(text.size()) + " bytes",
                                  std::to_string(kMaxDocumentBytes) + " bytes",
                                  "split the document")};
  }
  // Deep nesting would overflow the stack of every recursive reader of the
  // value, so levels below the limit are discarded during parsing.
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, json::parse_event_t, json&) {
    if (depth > kMaxDepth) too_deep = true;
    return depth <= kMaxDepth;
  };
  json document = json::parse(text, limit_depth, false);
  if (too_deep) {
    return Problems{WholeDocument(
        "more than " + std::to_string(kMaxDepth) + " levels",
        std::to_string(kMaxDepth) + " levels", "remove the nesting")};
  }
  if (document.is_discarded()) {
    return Problems{WholeDocument("text that is no JSON",
                                  "one JSON value in UTF-8",
                                  "correct the syntax; a JSON linter shows "
                                  "the line")};
  }
  // std::regex recurses once per character of its input, so a long string would
  // overflow the stack when a schema's pattern is matched.
  if (HasLongString(document)) {
    return Problems{WholeDocument(
        "a string of more than " + std::to_string(kMaxStringBytes) + " bytes",
        "strings of at most " + std::to_string(kMaxStringBytes) + " bytes",
        "shorten the string")};
  }
  return document;
}

}  // namespace toucanwharf::schema
