#ifndef TOUCANWHARF_ONCE_SHARD_VIEW_H_
#define TOUCANWHARF_ONCE_SHARD_VIEW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/once/segment.h"

namespace toucanwharf::once {

/// What one process knows of a shard's journal: the segments up to a tail, and
/// every key in them. It may be behind the store; a conditional write on the
/// tail proves that it isn't.
/// Thread safety: none; for one thread.
class ShardView {
 public:
  /// Where a key stands, by the journal so far.
  struct Known {
    std::string claim;
    std::string digest;
    KeyState state = KeyState::kClaimed;
    Outcome outcome;
    std::uint64_t segment = 0;
  };

  /// Precondition: \p slots >= 2.
  explicit ShardView(std::uint64_t slots);

  /// Returns whether no segment exists yet.
  bool Empty() const { return this->held.empty(); }
  /// The last segment. Precondition of these: not Empty().
  std::uint64_t TailIndex() const { return this->held.back().index; }
  std::uint64_t TailVersion() const { return this->held.back().version; }
  std::uint64_t TailNewest() const { return this->held.back().newest_millis; }
  bool TailSealed() const { return this->held.back().sealed; }
  /// Returns the entries of the last segment, encoded and joined by commas.
  const std::string& TailText() const { return this->tail_text; }

  /// Keys with a time up to this one are refused.
  std::uint64_t FloorMillis() const { return this->floor_millis; }
  /// Returns what is known of \p key, or null.
  const Known* Find(const std::string& key) const;

  /// Takes a newer copy of the last segment, or the one after it.
  /// Precondition: segment.index is TailIndex() or one more, or Empty().
  void Adopt(const Segment& segment, std::uint64_t version);
  /// Takes a commit of this process: as Adopt, but segment.entries holds only
  /// what the commit added.
  void Extend(const Segment& segment, std::uint64_t version);

 private:
  struct Held {
    std::uint64_t index = 0;
    std::uint64_t version = 0;
    std::uint64_t newest_millis = 0;
    bool sealed = false;
    std::size_t entries = 0;
    std::vector<std::string> keys;
  };

  void Advance(const Segment& segment, std::uint64_t version);
  void Replay(const Entry& entry);
  void EvictOldest();

  std::uint64_t slots;
  std::deque<Held> held;
  std::string tail_text;
  std::uint64_t floor_millis = 0;
  std::map<std::string, Known> known;
};

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_SHARD_VIEW_H_
