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
/// Guards against stale reads: a stale copy of a sealed segment lacks its last
/// claims, and a view built from it would grant their keys a second time (I4).
/// The last write of a segment seals it, before its successor is created, so an
/// unsealed copy that has a successor is stale, and is read again.
///
/// Thread safety: none; for one thread.
class RingLoader {
 public:
  explicit RingLoader(std::uint64_t slots);

  /// Returns the slot to read next. Precondition: not Done().
  std::uint64_t NextSlot() const { return this->next_slot; }
  /// Handles the answer to reading NextSlot(). Unknown answers have no effect.
  void OnRead(const store::ReadAnswer& answer);
  /// Returns whether the ring was read completely.
  bool Done() const { return this->done; }
  /// Returns a view of the ring. Precondition: Done().
  ShardView MakeView() const;

 private:
  struct SegmentCopy {
    Segment segment;
    store::Revision version;
  };

  /// Returns the last slot whose copy is missing, unsealed or of another
  /// segment than its successor requires, if any.
  std::optional<std::uint64_t> InconsistentSlot() const;
  const SegmentCopy* Newest() const;

  std::uint64_t slots;
  std::uint64_t next_slot = 0;
  bool scanned = false;
  bool done = false;
  std::map<std::uint64_t, SegmentCopy> copies;
};

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_RING_LOADER_H_
