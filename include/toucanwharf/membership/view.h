#ifndef TOUCANWHARF_MEMBERSHIP_VIEW_H_
#define TOUCANWHARF_MEMBERSHIP_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/membership/broadcast_queue.h"
#include "toucanwharf/membership/values.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::membership {

/// One member's view of the others and of their items, and the updates that it
/// still has to send.
/// Thread safety: none; for one thread.
class View {
 public:
  /// Starts a view that contains only \p own.
  View(const Settings& limits, const Member& own);

  /// Returns the member itself.
  const Member& Self() const { return this->self; }
  /// Returns the member \p id, or null if it is unknown. Not for itself.
  const Member* Find(const std::string& id) const;
  /// Returns all others, dead ones too, by id.
  std::vector<Member> Others() const;
  /// Returns the number of members that are not dead, itself included.
  std::size_t Size() const;

  /// Applies \p claim if it supersedes the known state. A false claim about
  /// this member itself is refuted by a higher incarnation. Returns whether the
  /// claim was such a false one.
  bool Merge(const Member& claim, TimePoint now);
  /// Applies \p item if it is newer and its owner is known and not dead.
  void Merge(const Item& item);
  /// Declares members dead that were suspects for longer than
  /// \p suspicion_timeout, and removes those dead for longer than
  /// Settings::forget_after.
  void Expire(TimePoint now, Duration suspicion_timeout);
  /// Announces to all that this member leaves.
  void Leave();
  /// Sets the value of this member's item \p kind, \p key. Returns false if it
  /// would exceed the number of items; withdraw others first.
  bool Publish(ItemKind kind, const std::string& key, const std::string& value);

  /// Returns all items of \p kind whose owner is not dead.
  std::vector<Item> Items(ItemKind kind) const;
  /// Returns a message with the updates that fit. If \p compare_tables, the
  /// free space is filled with the next slice of the table.
  Message NextMessage(bool compare_tables);
  /// Returns the hash of the whole state, except dead members.
  std::uint64_t Digest() const;

 private:
  struct Entry {
    Member member;
    TimePoint since;
  };

  bool RefuteIfFalse(const Member& claim);
  void Adopt(const Member& claim, TimePoint now);
  void DropItems(const std::string& owner);
  bool IsLiveOwner(const std::string& owner) const;
  std::size_t CountItems(const std::string& owner) const;
  std::uint32_t MaxTransmissions() const;
  void AddTableSlice(Message& message, std::size_t free_bytes);

  Settings settings;
  Member self;
  std::uint64_t next_version;
  std::map<std::string, Entry> entries;
  std::map<ItemKey, Item> items;
  BroadcastQueue<std::string> member_updates;
  BroadcastQueue<ItemKey> item_updates;
  std::string member_cursor;
  ItemKey item_cursor;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_MEMBERSHIP_VIEW_H_
