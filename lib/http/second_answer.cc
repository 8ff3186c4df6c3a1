#include "toucanwharf/http/second_answer.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "toucanwharf/http/message.h"

namespace toucanwharf::http {
namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
constexpr std::string_view kLineEnd = "\r\n";

/// Returns where the protocol's name, or a part of it at the end, begins in
/// \p text; its size if nowhere.
std::size_t FindProtocol(std::string_view text) {
  const std::size_t whole = text.find(kProtocol);
  if (whole != std::string_view::npos) return whole;
  for (std::size_t size = std::min(kProtocol.size() - 1, text.size()); size > 0;
       --size) {
    const std::size_t start = text.size() - size;
    if (text.substr(start) == kProtocol.substr(0, size)) return start;
  }
  return text.size();
}

/// Returns whether \p text could begin with a status line, or does.
bool MayBeStatusLine(std::string_view text) {
  constexpr std::string_view kForm = "HTTP/1.0 000 ";
  for (std::size_t i = 0; i < std::min(kForm.size(), text.size()); ++i) {
    const bool fits =
        kForm[i] == '0' ? absl::ascii_isdigit(text[i]) : text[i] == kForm[i];
    if (!fits) return false;
  }
  return true;
}

/// Returns whether a status line begins inside of \p head, after its first.
bool HasLaterStatusLine(std::string_view head) {
  for (std::size_t at = head.find(kProtocol, 1); at != std::string_view::npos;
       at = head.find(kProtocol, at + 1)) {
    if (MayBeStatusLine(head.substr(at))) return true;
  }
  return false;
}

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) + 1 - first);
}

}  // namespace

SecondAnswerFinder::SecondAnswerFinder(std::string name_of_id,
                                       std::string id_of_request)
    : id_field(std::move(name_of_id)), id(std::move(id_of_request)) {}

std::string SecondAnswerFinder::Feed(std::string_view bytes) {
  if (this->found) return {};
  this->pending.append(bytes);
  const std::string_view text = this->pending;
  std::size_t released = 0;
  while (released < text.size()) {
    released += FindProtocol(text.substr(released));
    const Kind kind = this->Classify(text.substr(released));
    this->found = kind == Kind::kSecondAnswer;
    if (kind != Kind::kNoHead || released == text.size()) break;
    ++released;
  }
  std::string body = this->pending.substr(0, released);
  this->pending.erase(0, released);
  if (this->found) std::string().swap(this->pending);
  return body;
}

std::string SecondAnswerFinder::TakeRest() {
  return std::exchange(this->pending, std::string());
}

SecondAnswerFinder::Kind SecondAnswerFinder::Classify(
    std::string_view text) const {
  if (!MayBeStatusLine(text)) return Kind::kNoHead;
  bool names_request = false;
  std::size_t start = 0;
  while (true) {
    const std::size_t end = text.find('\n', start);
    if (end == std::string_view::npos) break;
    const std::string_view line = text.substr(start, end + 1 - start);
    if (!line.ends_with(kLineEnd)) return Kind::kNoHead;
    const std::string_view field = line.substr(0, line.size() - 2);
    if (field.empty()) {
      // The body ended like a head, and the second answer begins behind that.
      const bool is_body = HasLaterStatusLine(text.substr(0, start));
      return names_request && !is_body ? Kind::kSecondAnswer : Kind::kNoHead;
    }
    const std::size_t colon = field.find(':');
    if (start > 0 && colon == std::string_view::npos) return Kind::kNoHead;
    names_request =
        names_request ||
        (start > 0 &&
         EqualIgnoringCase(field.substr(0, colon), this->id_field) &&
         Trimmed(field.substr(colon + 1)) == this->id);
    start = end + 1;
  }
  return text.size() > kMaxHeadBytes ? Kind::kNoHead : Kind::kIncomplete;
}

}  // namespace toucanwharf::http
