#ifndef TOUCANWHARF_ONCE_SHARD_VIEW_H_
#define TOUCANWHARF_ONCE_SHARD_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/once/segment.h"
#include "toucanwharf/store/revision.h"

namespace toucanwharf::once {

/// This process's copy of a shard's journal: the segments up to a tail, and the
/// state of every key in them. It may lag behind the store; a successful
/// conditional write to the tail confirms that it is current.
/// Thread safety: none; for one thread.
class ShardView {
 public:
  /// State of a key according to the journal so far.
  struct KeyRecord {
    std::string claim;
    std::string digest;
    KeyState state = KeyState::kClaimed;
    Outcome outcome;
    /// Index of the segment with the latest claim.
    std::uint64_t segment = 0;
  };

  /// Precondition: \p slots >= 2.
  explicit ShardView(std::uint64_t slots);

  /// Returns whether no segment exists yet.
  bool Empty() const { return this->segments.empty(); }
  /// Properties of the last segment. Precondition: not Empty().
  std::uint64_t TailIndex() const { return this->segments.back().index; }
  store::Revision TailVersion() const { return this->segments.back().version; }
  std::uint64_t TailNewestMillis() const {
    return this->segments.back().newest_millis;
  }
  bool TailSealed() const { return this->segments.back().sealed; }
  /// Returns the entries of the last segment, encoded and joined by commas.
  const std::string& TailEntriesText() const { return this->tail_entries_text; }

  /// Keys with a time up to this one are refused.
  std::uint64_t FloorMillis() const { return this->floor_millis; }
  /// Returns the record of \p key, or null.
  const KeyRecord* Find(const std::string& key) const;

  /// Applies a newer copy of the last segment, or the segment after it.
  /// Precondition: segment.index is TailIndex() or one more, or Empty().
  void ApplyCopy(const Segment& segment, const store::Revision& version);
  /// Applies a commit of this process: as ApplyCopy, but segment.entries
  /// contains only the entries that the commit added.
  void ApplyCommit(const Segment& segment, const store::Revision& version);

 private:
  struct SegmentInfo {
    std::uint64_t index = 0;
    store::Revision version;
    std::uint64_t newest_millis = 0;
    bool sealed = false;
    std::size_t entries = 0;
    std::vector<std::string> keys;
  };

  void Advance(const Segment& segment, const store::Revision& version);
  void ApplyEntry(const Entry& entry);
  void EvictOldest();

  std::uint64_t slots;
  std::deque<SegmentInfo> segments;
  std::string tail_entries_text;
  std::uint64_t floor_millis = 0;
  std::map<std::string, KeyRecord> key_records;
};

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_SHARD_VIEW_H_
