#ifndef TOUCANWHARF_HTTP_EVENT_ORDER_H_
#define TOUCANWHARF_HTTP_EVENT_ORDER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanwharf::http {

/// Checks that the ids of the events of one answer increase, over all runs that
/// it is made of.
///
/// Failure guarded against: an endpoint that is to go on after an event begins
/// anew, or further on, and the caller gets events twice or misses some.
/// Ids that aren't decimal numbers are only compared for equality. Where an
/// endpoint numbers with a constant step, the first event of a later run has to
/// follow in that step.
/// Thread safety: none; for one thread.
class EventOrder {
 public:
  /// Sets the id that the answer goes on after.
  void GoOnAfter(std::string_view id);
  /// Records that another run goes on with the answer.
  void BeginRun() { this->run_begins = true; }
  /// Records the next event's \p id; returns whether it may follow.
  bool Accept(std::string_view id);

 private:
  std::string last;
  std::optional<std::uint64_t> last_number;
  /// The step between the ids so far: nothing before the second id, 0 if the
  /// steps differ.
  std::optional<std::uint64_t> step;
  bool has_last = false;
  bool run_begins = true;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_EVENT_ORDER_H_
