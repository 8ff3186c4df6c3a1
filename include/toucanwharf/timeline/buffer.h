#ifndef TOUCANWHARF_TIMELINE_BUFFER_H_
#define TOUCANWHARF_TIMELINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "toucanwharf/timeline/event.h"

namespace toucanwharf::timeline {

/// Events that one instance still has in its buffer.
struct Page {
  std::string instance;
  /// Events that were overwritten since the instance started.
  std::uint64_t dropped = 0;
  std::vector<Event> events;

  friend bool operator==(const Page&, const Page&) = default;
};

/// Ring buffer of the most recent events of one process. When it is full, the
/// oldest event is overwritten, so that memory stays bounded.
/// Thread safety: none; one owner.
class Buffer {
 public:
  /// Retains at most \p capacity events of \p instance.
  /// Precondition: capacity > 0.
  Buffer(std::string instance, std::size_t capacity);

  /// Records an event at wall clock time \p wall_millis. A reason longer than
  /// kMaxReasonBytes is truncated.
  void Add(std::uint64_t wall_millis, EventDetails details);

  /// Advances the clock by the stamp in a message from another instance; see
  /// HybridClock::Observe.
  void Observe(Stamp remote, std::uint64_t wall_millis);

  /// Returns the stamp of the last event, to be sent with messages.
  Stamp Last() const { return this->last; }

  /// Returns at most \p limit events with a sequence number above \p sequence,
  /// oldest first.
  Page After(std::uint64_t sequence, std::size_t limit) const;

  /// Returns the number of events that were overwritten.
  std::uint64_t Dropped() const { return this->dropped; }

 private:
  std::string instance;
  std::size_t capacity;
  HybridClock clock;
  Stamp last;
  std::uint64_t next_sequence = 1;
  std::uint64_t dropped = 0;
  std::deque<Event> events;
};

/// Longer reasons of events are truncated to this length.
inline constexpr std::size_t kMaxReasonBytes = 256;

}  // namespace toucanwharf::timeline

#endif  // TOUCANWHARF_TIMELINE_BUFFER_H_
