#include "toucanwharf/once/shard_view.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::once {

ShardView::ShardView(std::uint64_t ring_slots) : slots(ring_slots) {
  assert(ring_slots >= 2);
}

const ShardView::KeyRecord* ShardView::Find(const std::string& key) const {
  const auto found = this->key_records.find(key);
  return found == this->key_records.end() ? nullptr : &found->second;
}

void ShardView::ApplyEntry(const Entry& entry) {
  ++this->segments.back().entries;
  if (!this->tail_entries_text.empty()) this->tail_entries_text.push_back(',');
  this->tail_entries_text.append(EncodeEntry(entry));
  const auto found = this->key_records.find(entry.key);
  if (entry.state == KeyState::kClaimed) {
    const bool free = found == this->key_records.end() ||
                      found->second.state == KeyState::kNotRun;
    if (!free) return;
    this->key_records[entry.key] = KeyRecord{entry.claim,
                                             entry.digest,
                                             KeyState::kClaimed,
                                             {},
                                             this->segments.back().index};
    this->segments.back().keys.push_back(entry.key);
    return;
  }
  if (found == this->key_records.end()) return;
  KeyRecord& claimed = found->second;
  if (claimed.claim != entry.claim) return;
  if (claimed.state != KeyState::kClaimed) return;
  claimed.state = entry.state;
  claimed.outcome = entry.outcome;
}

void ShardView::EvictOldest() {
  const SegmentInfo& oldest = this->segments.front();
  for (const std::string& key : oldest.keys) {
    const auto found = this->key_records.find(key);
    if (found == this->key_records.end()) continue;
    if (found->second.segment == oldest.index) this->key_records.erase(found);
  }
  this->segments.pop_front();
}

void ShardView::Advance(const Segment& segment,
                        const store::Revision& version) {
  if (this->Empty() || segment.index != this->TailIndex()) {
    assert(this->Empty() || segment.index == this->TailIndex() + 1);
    if (this->segments.size() == this->slots) this->EvictOldest();
    this->segments.push_back(SegmentInfo{});
    this->tail_entries_text.clear();
  }
  SegmentInfo& tail = this->segments.back();
  tail.index = segment.index;
  tail.version = version;
  tail.newest_millis = segment.newest_millis;
  tail.sealed = segment.sealed;
  this->floor_millis = std::max(this->floor_millis, segment.floor_millis);
}

void ShardView::ApplyCopy(const Segment& segment,
                          const store::Revision& version) {
  this->Advance(segment, version);
  while (this->segments.back().entries < segment.entries.size()) {
    this->ApplyEntry(segment.entries[this->segments.back().entries]);
  }
}

void ShardView::ApplyCommit(const Segment& segment,
                            const store::Revision& version) {
  this->Advance(segment, version);
  for (const Entry& entry : segment.entries) this->ApplyEntry(entry);
}

}  // namespace toucanwharf::once
