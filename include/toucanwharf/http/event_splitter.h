#ifndef TOUCANWHARF_HTTP_EVENT_SPLITTER_H_
#define TOUCANWHARF_HTTP_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "toucanwharf/http/event_order.h"

namespace toucanwharf::http {

/// What is wrong with the events of a run, if anything.
enum class EventFault {
  kNone,
  /// The id of an event doesn't follow the one before; see EventOrder.
  kOutOfOrder,
  /// An event is longer than EventSplitter::kMaxEventBytes.
  kTooLong,
};

/// Splits a stream of server-sent events into complete events, bytes unchanged.
///
/// Guards against an endpoint that fails in the middle of an event: if part of
/// the event had been forwarded, the continuation from another endpoint would
/// be appended to it. So an event is released only when it is complete.
/// Thread safety: none.
class EventSplitter {
 public:
  /// An event is held until it is complete, so one without an end must not be
  /// held for ever.
  static constexpr std::size_t kMaxEventBytes = 256UL * 1024;

  /// Appends received bytes.
  void Feed(std::string_view bytes) { this->pending.append(bytes); }
  /// Removes and returns the bytes of all complete pending events; empty if
  /// none is complete. Nothing follows an event with a fault.
  std::string TakeCompleteEvents();
  /// Returns what is wrong with the run so far.
  EventFault Fault() const { return this->fault; }
  /// Discards a partial event: another run goes on after the last event.
  void BeginRun();
  /// Returns the memory of what is pending, in bytes.
  std::size_t HeldBytes() const { return this->pending.capacity(); }
  /// Returns whether a partial event is pending.
  bool HasPartialEvent() const { return !this->pending.empty(); }
  /// Returns the id of the last event that TakeCompleteEvents returned.
  const std::optional<std::string>& LastId() const { return this->last_id; }
  /// Sets the id to resume from before the first event.
  void SetLastId(std::string id);

 private:
  /// Returns the end of the complete events that may be released.
  std::size_t ReleasableEnd();

  /// Forgets how far what is pending was searched.
  void SearchAnew();

  std::string pending;
  /// Where the first line that is not complete starts, and up to where its end
  /// was looked for.
  std::size_t line_start = 0;
  std::size_t searched = 0;
  /// The id of the event that is pending, as far as it was read.
  std::optional<std::string> pending_id;
  std::optional<std::string> last_id;
  EventOrder order;
  EventFault fault = EventFault::kNone;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_EVENT_SPLITTER_H_
