#ifndef TOUCANWHARF_TRANSPORT_EVENT_STREAM_H_
#define TOUCANWHARF_TRANSPORT_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace toucanwharf::transport {

/// Splits a stream of server-sent events into the `data` of each event. Reads
/// may split the stream anywhere. Events above the size limit are dropped and
/// counted.
/// Thread safety: none.
class EventStreamParser {
 public:
  /// Parses \p bytes and returns the events that they complete.
  std::vector<std::string> Feed(std::string_view bytes);

  /// Returns how many events were dropped because of their size.
  int Dropped() const { return this->dropped; }
  /// Returns the memory of what is kept, in bytes.
  std::size_t HeldBytes() const {
    return this->partial_line.capacity() + this->data.capacity();
  }

 private:
  void ParseLine(std::string_view line, std::vector<std::string>& events);

  std::string partial_line;
  std::string data;
  bool has_data = false;
  bool too_long = false;
  int dropped = 0;
};

/// Returns \p data as one server-sent event. Thread safety: safe.
std::string FormatEvent(std::string_view data);

}  // namespace toucanwharf::transport

#endif  // TOUCANWHARF_TRANSPORT_EVENT_STREAM_H_
