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

/// What one member believes of the others and of their items, and what it
/// still has to tell.
/// Thread safety: none; for one thread.
class View {
 public:
  /// Starts a view that holds only \p own.
  View(const Settings& limits, const Member& own);

  /// Returns the member itself.
  const Member& Self() const { return this->self; }
  /// Returns the member \p id, or nothing if it is unknown. Not for itself.
  const Member* Find(const std::string& id) const;
  /// Returns all others, dead ones too, by id.
  std::vector<Member> Others() const;
  /// Returns the number of members that are not dead, itself included.
  std::size_t Size() const;

  /// Takes over \p claim if it says more than what is known. A claim about
  /// itself that isn't its own word is answered by a higher incarnation.
  /// Returns whether the claim was a false one about itself.
  bool Merge(const Member& claim, TimePoint now);
  /// Takes over \p item if it is newer and its owner is known and not dead.
  void Merge(const Item& item);
  /// Declares dead whoever was a suspect for longer than \p patience, and
  /// forgets those dead for long.
  void Expire(TimePoint now, Duration patience);
  /// Tells all that this member leaves.
  void Leave();
  /// Gives the own item \p kind, \p key a new value. False if it would be one
  /// item too many; take others back first.
  bool Publish(ItemKind kind, const std::string& key, const std::string& value);

  /// Returns all items of \p kind whose owner is not dead.
  std::vector<Item> Items(ItemKind kind) const;
  /// Returns a message with the news that fit. If \p compare, the room that is
  /// left is filled with the next slice of the table.
  Message NextMessage(bool compare);
  /// Returns the hash of all that is believed, but for the dead.
  std::uint64_t Digest() const;

 private:
  struct Entry {
    Member member;
    TimePoint since;
  };

  bool RefuteIfFalse(const Member& claim);
  void Adopt(const Member& claim, TimePoint now);
  void DropItems(const std::string& owner);
  bool OwnerCounts(const std::string& owner) const;
  std::size_t CountItems(const std::string& owner) const;
  std::uint32_t MostTellings() const;
  void AddSlice(Message& message, std::size_t room);

  Settings settings;
  Member self;
  std::uint64_t next_version;
  std::map<std::string, Entry> entries;
  std::map<ItemKey, Item> items;
  BroadcastQueue<std::string> member_news;
  BroadcastQueue<ItemKey> item_news;
  std::string member_cursor;
  ItemKey item_cursor;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_MEMBERSHIP_VIEW_H_
