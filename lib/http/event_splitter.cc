#include "toucanwharf/http/event_splitter.h"

namespace toucanwharf::http {
namespace {

/// Returns where the last whole event of \p text ends, 0 for none. A blank line
/// ends an event; lines end with LF or CRLF.
std::size_t EndOfWhole(std::string_view text) {
  for (std::size_t at = text.size(); at > 1; --at) {
    if (text[at - 1] != '\n') continue;
    const bool bare = text[at - 2] == '\n';
    const bool with_return =
        at >= 3 && text[at - 2] == '\r' && text[at - 3] == '\n';
    if (bare || with_return) return at;
  }
  return 0;
}

}  // namespace

std::string EventSplitter::TakeCompleteEvents() {
  const std::size_t end = EndOfWhole(this->pending);
  std::string whole = this->pending.substr(0, end);
  this->pending.erase(0, end);
  this->NoteIds(whole);
  return whole;
}

void EventSplitter::NoteIds(std::string_view events) {
  constexpr std::string_view kField = "id:";
  std::size_t at = 0;
  while (at < events.size()) {
    const std::size_t end = events.find('\n', at);
    std::string_view line = events.substr(at, end - at);
    at = end == std::string_view::npos ? events.size() : end + 1;
    if (line.substr(0, kField.size()) != kField) continue;
    line.remove_prefix(kField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    this->last_id = std::string(line);
  }
}

}  // namespace toucanwharf::http
