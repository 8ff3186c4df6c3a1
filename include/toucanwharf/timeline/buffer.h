#ifndef TOUCANWHARF_TIMELINE_BUFFER_H_
#define TOUCANWHARF_TIMELINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "toucanwharf/timeline/event.h"

namespace toucanwharf::timeline {

/// Events of one instance that are left in its buffer.
struct Page {
  std::string instance;
  /// Events that were overwritten since the instance started.
  std::uint64_t dropped = 0;
  std::vector<Event> events;

  friend bool operator==(const Page&, const Page&) = default;
};

/// The last events of one process. When it is full the oldest event gives way,
/// so that memory stays bounded however long the process runs.
/// Thread safety: none; one owner.
class Buffer {
 public:
  /// Keeps at most \p capacity events of \p instance.
  /// Precondition: capacity > 0.
  Buffer(std::string instance, std::size_t capacity);

  /// Records what happened at wall clock time \p wall_millis. A reason longer
  /// than kMaxReasonBytes is cut.
  void Add(std::uint64_t wall_millis, EventDetails details);

  /// Takes the stamp that came with a message of another instance.
  void Observe(Stamp remote, std::uint64_t wall_millis);

  /// Returns the stamp of the last event, to be sent along with messages.
  Stamp Last() const { return this->last; }

  /// Returns at most \p limit events with a sequence above \p sequence, oldest
  /// first.
  Page After(std::uint64_t sequence, std::size_t limit) const;

  /// Returns how many events gave way to newer ones.
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

/// Bytes that the reason of one event keeps.
inline constexpr std::size_t kMaxReasonBytes = 256;

}  // namespace toucanwharf::timeline

#endif  // TOUCANWHARF_TIMELINE_BUFFER_H_
