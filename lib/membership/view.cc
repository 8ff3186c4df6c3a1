#include "toucanwharf/membership/view.h"

#include <algorithm>
#include <bit>

#include "toucanwharf/support/random.h"

namespace toucanwharf::membership {
namespace {

/// Bytes of the tags, lengths and numbers of one entry in a message.
constexpr std::size_t kMemberOverhead = 22;
constexpr std::size_t kItemOverhead = 18;
/// One part in this many of a message's free space goes to members when tables
/// are compared; the rest goes to items.
constexpr std::size_t kTableSliceParts = 2;

std::uint64_t HashText(std::uint64_t state, const std::string& text) {
  for (const char letter : text) {
    state = MixBits(state ^ static_cast<unsigned char>(letter));
  }
  return MixBits(state + text.size());
}

std::uint64_t HashOf(const Member& member) {
  const std::uint64_t flags =
      static_cast<std::uint64_t>(member.status) * 2 + (member.leaving ? 1 : 0);
  return HashText(MixBits(member.incarnation) + flags, member.id);
}

std::uint64_t HashOf(const Item& item) {
  const auto kind = static_cast<std::uint64_t>(item.name.kind);
  const std::uint64_t owner =
      HashText(MixBits(item.version) + kind, item.name.owner);
  return HashText(owner, item.name.key);
}

}  // namespace

std::size_t EncodedSize(const Member& member) {
  return kMemberOverhead + member.id.size() + member.address.size() +
         member.failure_domain.size();
}

std::size_t EncodedSize(const Item& item) {
  return kItemOverhead + item.name.owner.size() + item.name.key.size() +
         item.value.size();
}

View::View(const Settings& limits, const Member& own)
    : settings(limits), self(own), next_version(own.incarnation) {}

const Member* View::Find(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.member;
}

std::vector<Member> View::Others() const {
  std::vector<Member> others;
  for (const auto& [id, entry] : this->entries) others.push_back(entry.member);
  return others;
}

std::size_t View::Size() const {
  const auto not_dead = [](const auto& named) {
    return named.second.member.status != Status::kDead;
  };
  const auto others =
      std::count_if(this->entries.begin(), this->entries.end(), not_dead);
  return static_cast<std::size_t>(others) + 1;
}

bool View::RefuteIfFalse(const Member& claim) {
  const bool false_claim =
      claim.incarnation >= this->self.incarnation && claim != this->self;
  if (!false_claim) return false;
  // Suspected or declared dead while alive, or restarted under the same id: the
  // others use the older claim until they receive a higher incarnation.
  this->self.incarnation = claim.incarnation + 1;
  this->member_updates.Add(this->self.id);
  return true;
}

bool View::Merge(const Member& claim, TimePoint now) {
  if (claim.id == this->self.id) return this->RefuteIfFalse(claim);
  const auto found = this->entries.find(claim.id);
  const bool unknown = found == this->entries.end();
  // Ignores the death of an unknown member: it may have been removed already.
  if (unknown && claim.status == Status::kDead) return false;
  if (!unknown && !Supersedes(claim, found->second.member)) return false;
  this->Adopt(claim, now);
  return false;
}

void View::Adopt(const Member& claim, TimePoint now) {
  this->entries[claim.id] = Entry{claim, now};
  this->member_updates.Add(claim.id);
  if (claim.status == Status::kDead) this->DropItems(claim.id);
}

void View::Merge(const Item& item) {
  if (item.name.owner == this->self.id) {
    const auto own = this->items.find(item.name);
    const bool older =
        own == this->items.end() || own->second.version < item.version;
    if (!older) return;
    // From before a restart under the same id: uses a higher version, so that
    // the current values win.
    this->next_version = std::max(this->next_version, item.version);
    Item fresh{item.name, ++this->next_version, ""};
    if (own != this->items.end()) fresh.value = own->second.value;
    this->items[item.name] = fresh;
    this->item_updates.Add(item.name);
    return;
  }
  if (!this->IsLiveOwner(item.name.owner)) return;
  const auto found = this->items.find(item.name);
  if (found != this->items.end()) {
    if (found->second.version >= item.version) return;
  } else if (this->CountItems(item.name.owner) >=
             this->settings.items_per_owner) {
    return;
  }
  this->items[item.name] = item;
  this->item_updates.Add(item.name);
}

bool View::IsLiveOwner(const std::string& owner) const {
  if (owner == this->self.id) return true;
  const Member* member = this->Find(owner);
  return member != nullptr && member->status != Status::kDead;
}

std::size_t View::CountItems(const std::string& owner) const {
  std::size_t count = 0;
  for (auto it = this->items.lower_bound(ItemKey{owner, {}, ""});
       it != this->items.end() && it->first.owner == owner; ++it) {
    ++count;
  }
  return count;
}

void View::DropItems(const std::string& owner) {
  auto it = this->items.lower_bound(ItemKey{owner, {}, ""});
  while (it != this->items.end() && it->first.owner == owner) {
    this->item_updates.Remove(it->first);
    it = this->items.erase(it);
  }
}

void View::Expire(TimePoint now, Duration suspicion_timeout) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Member& member = it->second.member;
    const Duration age = now - it->second.since;
    if (member.status == Status::kDead && age > this->settings.forget_after) {
      this->member_updates.Remove(member.id);
      it = this->entries.erase(it);
      continue;
    }
    if (member.status == Status::kSuspect && age > suspicion_timeout) {
      Member dead = member;
      dead.status = Status::kDead;
      this->Adopt(dead, now);
    }
    ++it;
  }
}

void View::Leave() {
  if (this->self.leaving) return;
  this->self.leaving = true;
  ++this->self.incarnation;
  this->member_updates.Add(this->self.id);
}

bool View::Publish(ItemKind kind, const std::string& key,
                   const std::string& value) {
  const ItemKey name{this->self.id, kind, key};
  const auto found = this->items.find(name);
  if (found != this->items.end() && found->second.value == value) return true;
  if (found == this->items.end() &&
      this->CountItems(this->self.id) >= this->settings.items_per_owner) {
    return false;
  }
  this->items[name] = Item{name, ++this->next_version, value};
  this->item_updates.Add(name);
  return true;
}

std::vector<Item> View::Items(ItemKind kind) const {
  std::vector<Item> found;
  for (const auto& [name, item] : this->items) {
    if (name.kind == kind && !item.value.empty()) found.push_back(item);
  }
  return found;
}

std::uint32_t View::MaxTransmissions() const {
  const auto rounds = static_cast<std::uint32_t>(std::bit_width(this->Size()));
  return this->settings.retransmit_factor * rounds;
}

Message View::NextMessage(bool compare_tables) {
  Message message;
  message.sender = this->self;
  message.digest = this->Digest();
  std::size_t free_bytes = this->settings.message_bytes;
  const auto fits = [&free_bytes](std::size_t size) {
    if (size > free_bytes) return false;
    free_bytes -= size;
    return true;
  };
  const std::uint32_t max_transmissions = this->MaxTransmissions();
  this->member_updates.Transmit(max_transmissions, [&](const std::string& id) {
    // The sender's own entry is in each message anyway.
    if (id == this->self.id) return true;
    const Member& member = this->entries.at(id).member;
    if (!fits(EncodedSize(member))) return false;
    message.members.push_back(member);
    return true;
  });
  this->item_updates.Transmit(max_transmissions, [&](const ItemKey& name) {
    const Item& item = this->items.at(name);
    if (!fits(EncodedSize(item))) return false;
    message.items.push_back(item);
    return true;
  });
  if (compare_tables) this->AddTableSlice(message, free_bytes);
  return message;
}

void View::AddTableSlice(Message& message, std::size_t free_bytes) {
  std::size_t member_bytes = free_bytes / kTableSliceParts;
  auto member = this->entries.upper_bound(this->member_cursor);
  for (std::size_t seen = 0; seen < this->entries.size(); ++seen, ++member) {
    if (member == this->entries.end()) member = this->entries.begin();
    const std::size_t size = EncodedSize(member->second.member);
    if (size > member_bytes) break;
    member_bytes -= size;
    message.members.push_back(member->second.member);
    this->member_cursor = member->first;
  }
  std::size_t item_bytes = free_bytes - free_bytes / kTableSliceParts;
  auto item = this->items.upper_bound(this->item_cursor);
  for (std::size_t seen = 0; seen < this->items.size(); ++seen, ++item) {
    if (item == this->items.end()) item = this->items.begin();
    const std::size_t size = EncodedSize(item->second);
    if (size > item_bytes) break;
    item_bytes -= size;
    message.items.push_back(item->second);
    this->item_cursor = item->first;
  }
}

std::uint64_t View::Digest() const {
  std::uint64_t digest = HashOf(this->self);
  for (const auto& [id, entry] : this->entries) {
    if (entry.member.status != Status::kDead) digest += HashOf(entry.member);
  }
  for (const auto& [name, item] : this->items) digest += HashOf(item);
  return digest;
}

}  // namespace toucanwharf::membership
