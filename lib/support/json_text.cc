#include "toucanwharf/support/json_text.h"

#include <algorithm>
#include <cstddef>

namespace toucanwharf {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kSpace = " \t\r\n";

/// Takes values off the front of a text.
class Scanner {
 public:
  explicit Scanner(std::string_view scanned) : text(scanned) {}

  void SkipSpace() {
    this->at = std::min(this->text.find_first_not_of(kSpace, this->at),
                        this->text.size());
  }

  /// Takes \p expected, after space. Returns whether it is there.
  bool Take(char expected) {
    this->SkipSpace();
    if (this->AtEnd() || this->text[this->at] != expected) return false;
    ++this->at;
    return true;
  }

  /// Takes a string. Returns it without its quotes, or nothing.
  std::optional<std::string_view> TakeString() {
    if (!this->Take('"')) return std::nullopt;
    const std::size_t first = this->at;
    for (; !this->AtEnd(); ++this->at) {
      if (this->text[this->at] == '\\') {
        ++this->at;
      } else if (this->text[this->at] == '"') {
        return this->text.substr(first, this->at++ - first);
      }
    }
    return std::nullopt;
  }

  /// Takes a value of any kind. Returns its text, or nothing.
  std::optional<std::string_view> TakeValue() {
    this->SkipSpace();
    const std::size_t first = this->at;
    std::size_t open = 0;
    while (!this->AtEnd()) {
      const char next = this->text[this->at];
      if (next == '"') {
        if (!this->TakeString()) return std::nullopt;
        if (open == 0) break;
        continue;
      }
      const bool closes = next == ']' || next == '}';
      if (open == 0 && (closes || next == ',')) break;
      if (next == '[' || next == '{') ++open;
      ++this->at;
      if (closes && --open == 0) break;
    }
    if (open > 0 || this->at == first) return std::nullopt;
    const std::string_view value = this->text.substr(first, this->at - first);
    return value.substr(0, value.find_last_not_of(kSpace) + 1);
  }

  bool AtEnd() const { return this->at >= this->text.size(); }

 private:
  std::string_view text;
  std::size_t at = 0;
};

/// Returns how deeply the values in \p text nest, if it is JSON.
int LevelsOf(std::string_view text) {
  int level = 0;
  int most = 0;
  bool in_string = false;
  for (std::size_t at = 0; at < text.size(); ++at) {
    const char next = text[at];
    if (next == '"') in_string = !in_string;
    if (in_string) {
      if (next == '\\') ++at;
      continue;
    }
    if (next == '[' || next == '{') most = std::max(most, ++level);
    if (next == ']' || next == '}') --level;
  }
  return most;
}

/// Calls \p take for each part between \p open and \p close. Returns whether
/// \p text has that form and \p take returned true for each part.
template <typename Take>
bool ForEachPart(std::string_view text, char open, char close, Take take) {
  Scanner scanner(text);
  if (!scanner.Take(open)) return false;
  bool closed = scanner.Take(close);
  while (!closed) {
    if (!take(scanner)) return false;
    closed = scanner.Take(close);
    if (!closed && !scanner.Take(',')) return false;
  }
  scanner.SkipSpace();
  return scanner.AtEnd();
}

}  // namespace

bool IsReadableJson(std::string_view text) {
  return LevelsOf(text) <= kMaxJsonLevels && Json::accept(text);
}

Json ParseJson(std::string_view text) {
  if (LevelsOf(text) > kMaxJsonLevels) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

std::optional<std::vector<MemberText>> SplitObject(std::string_view text) {
  std::vector<MemberText> members;
  const bool whole = ForEachPart(text, '{', '}', [&](Scanner& scanner) {
    const auto name = scanner.TakeString();
    if (!name || !scanner.Take(':')) return false;
    const auto value = scanner.TakeValue();
    if (value) members.push_back({*name, *value});
    return value.has_value();
  });
  if (!whole) return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>> SplitArray(std::string_view text) {
  std::vector<std::string_view> elements;
  const bool whole = ForEachPart(text, '[', ']', [&](Scanner& scanner) {
    const auto element = scanner.TakeValue();
    if (element) elements.push_back(*element);
    return element.has_value();
  });
  if (!whole) return std::nullopt;
  return elements;
}

std::string_view ValueOf(const std::vector<MemberText>& members,
                         std::string_view name) {
  std::string_view value;
  for (const MemberText& member : members) {
    if (member.name == name) value = member.value;
  }
  return value;
}

}  // namespace toucanwharf
