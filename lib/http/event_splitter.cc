#include "toucanwharf/http/event_splitter.h"

#include <algorithm>
#include <utility>

namespace toucanwharf::http {
namespace {

constexpr std::string_view kIdField = "id:";
/// A buffer of up to this many bytes is kept for the next events.
constexpr std::size_t kKeptBytes = 1024;

/// Returns the value of \p line if it is the field of an event's id.
std::optional<std::string_view> IdIn(std::string_view line) {
  if (line.substr(0, kIdField.size()) != kIdField) return std::nullopt;
  line.remove_prefix(kIdField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return line;
}

}  // namespace

std::size_t EventSplitter::ReleasableEnd() {
  const std::string_view text = this->pending;
  std::size_t released = 0;
  // A blank line ends an event; lines end with LF or CRLF.
  for (std::size_t end = text.find('\n', this->searched);
       end != std::string_view::npos; end = text.find('\n', this->line_start)) {
    std::string_view line =
        text.substr(this->line_start, end - this->line_start);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    this->line_start = end + 1;
    if (const auto found = IdIn(line)) this->pending_id = std::string(*found);
    if (!line.empty()) continue;
    if (this->pending_id && !this->order.Accept(*this->pending_id)) {
      this->fault = EventFault::kOutOfOrder;
      return released;
    }
    if (this->pending_id) {
      this->last_id = std::exchange(this->pending_id, std::nullopt);
    }
    released = this->line_start;
  }
  this->searched = text.size();
  return released;
}

std::string EventSplitter::TakeCompleteEvents() {
  if (this->fault != EventFault::kNone) return {};
  const std::size_t end = this->ReleasableEnd();
  std::string complete = this->pending.substr(0, end);
  this->pending.erase(0, end);
  this->line_start -= end;
  this->searched -= std::min(end, this->searched);
  if (this->pending.size() > kMaxEventBytes) this->fault = EventFault::kTooLong;
  if (this->fault != EventFault::kNone) {
    this->pending.clear();
    this->SearchAnew();
  }
  const std::size_t capacity = this->pending.capacity();
  if (capacity > kKeptBytes && this->pending.size() <= capacity / 4) {
    this->pending.shrink_to_fit();
  }
  return complete;
}

void EventSplitter::BeginRun() {
  this->pending.clear();
  this->SearchAnew();
  this->fault = EventFault::kNone;
  this->order.BeginRun();
}

void EventSplitter::SearchAnew() {
  this->line_start = 0;
  this->searched = 0;
  this->pending_id.reset();
}

void EventSplitter::SetLastId(std::string id) {
  this->order.GoOnAfter(id);
  this->last_id = std::move(id);
}

}  // namespace toucanwharf::http
