#ifndef TOUCANWHARF_HTTP_EVENT_SPLITTER_H_
#define TOUCANWHARF_HTTP_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucanwharf::http {

/// Splits a stream of server-sent events into complete events, bytes unchanged.
///
/// Guards against an endpoint that fails in the middle of an event: if part of
/// the event had been forwarded, the continuation from another endpoint would
/// be appended to it. So an event is released only when it is complete.
/// Thread safety: none.
class EventSplitter {
 public:
  /// Appends received bytes.
  void Feed(std::string_view bytes) { this->pending.append(bytes); }
  /// Removes and returns the bytes of all complete pending events; empty if
  /// none is complete.
  std::string TakeCompleteEvents();
  /// Discards a partial event.
  void DropPartialEvent() { this->pending.clear(); }
  /// Returns whether a partial event is pending.
  bool HasPartialEvent() const { return !this->pending.empty(); }
  /// Returns the id of the last event that TakeCompleteEvents returned.
  const std::optional<std::string>& LastId() const { return this->last_id; }
  /// Sets the id to resume from before the first event.
  void SetLastId(std::string id) { this->last_id = std::move(id); }

 private:
  void RecordLastId(std::string_view events);

  std::string pending;
  std::optional<std::string> last_id;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_EVENT_SPLITTER_H_
