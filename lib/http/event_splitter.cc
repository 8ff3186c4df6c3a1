#include "toucanwharf/http/event_splitter.h"

namespace toucanwharf::http {
namespace {

/// Returns the end of the last complete event of \p text, 0 if there is none. A
/// blank line ends an event; lines end with LF or CRLF.
std::size_t CompleteEventsEnd(std::string_view text) {
  for (std::size_t i = text.size(); i > 1; --i) {
    if (text[i - 1] != '\n') continue;
    const bool ends_with_lf = text[i - 2] == '\n';
    const bool ends_with_crlf =
        i >= 3 && text[i - 2] == '\r' && text[i - 3] == '\n';
    if (ends_with_lf || ends_with_crlf) return i;
  }
  return 0;
}

}  // namespace

std::string EventSplitter::TakeCompleteEvents() {
  const std::size_t end = CompleteEventsEnd(this->pending);
  std::string complete = this->pending.substr(0, end);
  this->pending.erase(0, end);
  this->RecordLastId(complete);
  return complete;
}

void EventSplitter::RecordLastId(std::string_view events) {
  constexpr std::string_view kField = "id:";
  std::size_t line_start = 0;
  while (line_start < events.size()) {
    const std::size_t end = events.find('\n', line_start);
    std::string_view line = events.substr(line_start, end - line_start);
    line_start = end == std::string_view::npos ? events.size() : end + 1;
    if (line.substr(0, kField.size()) != kField) continue;
    line.remove_prefix(kField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    this->last_id = std::string(line);
  }
}

}  // namespace toucanwharf::http
