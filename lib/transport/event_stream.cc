#include "toucanwharf/transport/event_stream.h"

#include <cstddef>

namespace toucanwharf::transport {
namespace {

// Bounds the memory that an endpoint which never ends a line or event can use
// in a router that serves many others.
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr std::string_view kDataField = "data:";

}  // namespace

std::vector<std::string> EventStreamParser::Feed(std::string_view bytes) {
  std::vector<std::string> events;
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    this->partial_line.append(bytes.substr(0, end));
    if (this->partial_line.size() > kMaxEventBytes) {
      std::string().swap(this->partial_line);
      this->too_long = true;
    }
    if (end == std::string_view::npos) break;
    bytes.remove_prefix(end + 1);
    std::string line;
    line.swap(this->partial_line);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    this->ParseLine(line, events);
  }
  return events;
}

void EventStreamParser::ParseLine(std::string_view line,
                                  std::vector<std::string>& events) {
  if (line.empty()) {
    if (this->too_long) ++this->dropped;
    if (this->has_data && !this->too_long) {
      events.push_back(std::move(this->data));
    }
    this->data.clear();
    this->has_data = false;
    this->too_long = false;
    return;
  }
  if (line.substr(0, kDataField.size()) != kDataField || this->too_long) return;
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  if (this->has_data) this->data.push_back('\n');
  this->data.append(line);
  this->has_data = true;
  if (this->data.size() <= kMaxEventBytes) return;
  this->too_long = true;
  std::string().swap(this->data);
}

std::string FormatEvent(std::string_view data) {
  std::string event = "data: ";
  event.append(data);
  event.append("\n\n");
  return event;
}

}  // namespace toucanwharf::transport
