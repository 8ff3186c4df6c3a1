#include "toucanwharf/once/shard_view.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::once {

ShardView::ShardView(std::uint64_t ring_slots) : slots(ring_slots) {
  assert(ring_slots >= 2);
}

const ShardView::Known* ShardView::Find(const std::string& key) const {
  const auto found = this->known.find(key);
  return found == this->known.end() ? nullptr : &found->second;
}

void ShardView::Replay(const Entry& entry) {
  ++this->held.back().entries;
  if (!this->tail_text.empty()) this->tail_text.push_back(',');
  this->tail_text.append(EncodeEntry(entry));
  const auto found = this->known.find(entry.key);
  if (entry.state == KeyState::kClaimed) {
    const bool free =
        found == this->known.end() || found->second.state == KeyState::kNotRun;
    if (!free) return;
    this->known[entry.key] = Known{entry.claim,
                                   entry.digest,
                                   KeyState::kClaimed,
                                   {},
                                   this->held.back().index};
    this->held.back().keys.push_back(entry.key);
    return;
  }
  if (found == this->known.end()) return;
  Known& claimed = found->second;
  if (claimed.claim != entry.claim) return;
  if (claimed.state != KeyState::kClaimed) return;
  claimed.state = entry.state;
  claimed.outcome = entry.outcome;
}

void ShardView::EvictOldest() {
  const Held& oldest = this->held.front();
  for (const std::string& key : oldest.keys) {
    const auto found = this->known.find(key);
    if (found == this->known.end()) continue;
    if (found->second.segment == oldest.index) this->known.erase(found);
  }
  this->held.pop_front();
}

void ShardView::Advance(const Segment& segment, std::uint64_t version) {
  if (this->Empty() || segment.index != this->TailIndex()) {
    assert(this->Empty() || segment.index == this->TailIndex() + 1);
    if (this->held.size() == this->slots) this->EvictOldest();
    this->held.push_back(Held{});
    this->tail_text.clear();
  }
  Held& tail = this->held.back();
  tail.index = segment.index;
  tail.version = version;
  tail.newest_millis = segment.newest_millis;
  tail.sealed = segment.sealed;
  this->floor_millis = std::max(this->floor_millis, segment.floor_millis);
}

void ShardView::Adopt(const Segment& segment, std::uint64_t version) {
  this->Advance(segment, version);
  while (this->held.back().entries < segment.entries.size()) {
    this->Replay(segment.entries[this->held.back().entries]);
  }
}

void ShardView::Extend(const Segment& segment, std::uint64_t version) {
  this->Advance(segment, version);
  for (const Entry& entry : segment.entries) this->Replay(entry);
}

}  // namespace toucanwharf::once
