#ifndef TOUCANWHARF_HTTP_EVENT_SPLITTER_H_
#define TOUCANWHARF_HTTP_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucanwharf::http {

/// Cuts a stream of server-sent events into whole events, bytes unchanged.
///
/// Failure guarded against: an endpoint dies in the middle of an event. If its
/// bytes had been handed on, the rest of the stream, from another endpoint,
/// would be glued to half an event. So an event goes out only when it is whole.
/// Thread safety: none.
class EventSplitter {
 public:
  /// Adds bytes as they come.
  void Feed(std::string_view bytes) { this->pending.append(bytes); }
  /// Returns the bytes of all whole events that are pending, and drops them;
  /// empty if none is whole.
  std::string TakeCompleteEvents();
  /// Forgets a part of an event.
  void DropPartialEvent() { this->pending.clear(); }
  /// Returns whether part of an event is pending.
  bool HasPartialEvent() const { return !this->pending.empty(); }
  /// Returns the id of the last event that TakeCompleteEvents returned.
  const std::optional<std::string>& LastId() const { return this->last_id; }
  /// Sets the id to go on from before the first event.
  void SetLastId(std::string id) { this->last_id = std::move(id); }

 private:
  void NoteIds(std::string_view events);

  std::string pending;
  std::optional<std::string> last_id;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_EVENT_SPLITTER_H_
