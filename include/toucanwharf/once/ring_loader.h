#ifndef TOUCANWHARF_ONCE_RING_LOADER_H_
#define TOUCANWHARF_ONCE_RING_LOADER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "toucanwharf/once/shard_view.h"
#include "toucanwharf/store/object.h"

namespace toucanwharf::once {

/// Reads a shard's ring of segments into a view.
///
/// Failure guarded against: a stale copy of a sealed segment lacks its last
/// claims, and a view made of it would grant their keys a second time (I4).
/// A segment is sealed by its last write and before its successor is made, so
/// a copy that has a successor and no seal is stale, and is read again.
///
/// Thread safety: none; for one thread.
class RingLoader {
 public:
  explicit RingLoader(std::uint64_t slots);

  /// Returns the slot to read next. Precondition: not Done().
  std::uint64_t NextSlot() const { return this->next_slot; }
  /// Takes the answer of reading NextSlot(). Unknown answers change nothing.
  void OnRead(const store::ReadAnswer& answer);
  /// Returns whether the ring is read.
  bool Done() const { return this->done; }
  /// Returns the view. Precondition: Done().
  ShardView MakeView() const;

 private:
  struct Copy {
    Segment segment;
    std::uint64_t version = 0;
  };

  /// Returns the slot whose copy doesn't fit the chain, if any.
  std::optional<std::uint64_t> BrokenSlot() const;
  const Copy* Newest() const;

  std::uint64_t slots;
  std::uint64_t next_slot = 0;
  bool scanned = false;
  bool done = false;
  std::map<std::uint64_t, Copy> copies;
};

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_RING_LOADER_H_
