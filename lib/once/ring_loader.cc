#include "toucanwharf/once/ring_loader.h"

namespace toucanwharf::once {

RingLoader::RingLoader(std::uint64_t ring_slots) : slots(ring_slots) {}

const RingLoader::SegmentCopy* RingLoader::Newest() const {
  const SegmentCopy* newest = nullptr;
  for (const auto& [slot, copy] : this->copies) {
    const bool newer =
        newest == nullptr || copy.segment.index > newest->segment.index;
    if (newer) newest = &copy;
  }
  return newest;
}

std::optional<std::uint64_t> RingLoader::InconsistentSlot() const {
  const SegmentCopy* later = this->Newest();
  if (later == nullptr) return std::nullopt;
  for (std::uint64_t remaining = this->slots - 1; remaining > 0; --remaining) {
    if (later->segment.index == 0) return std::nullopt;
    const std::uint64_t index = later->segment.index - 1;
    const std::uint64_t slot = index % this->slots;
    const auto found = this->copies.find(slot);
    if (found == this->copies.end()) return slot;
    const SegmentCopy& copy = found->second;
    if (copy.segment.index != index || !copy.segment.sealed) return slot;
    later = &copy;
  }
  return std::nullopt;
}

void RingLoader::OnRead(const store::ReadAnswer& answer) {
  if (answer.status == store::ReadStatus::kUnknown) return;
  const bool found = answer.status == store::ReadStatus::kFound;
  if (found) {
    auto segment = DecodeSegment(answer.object.value);
    // An unreadable segment stops the shard: without its claims, a key could be
    // granted a second time.
    if (!segment.has_value()) return;
    const auto earlier = this->copies.find(this->next_slot);
    const bool older = earlier != this->copies.end() &&
                       earlier->second.version > answer.object.version;
    if (!older) {
      this->copies.insert_or_assign(
          this->next_slot,
          SegmentCopy{std::move(*segment), answer.object.version});
    }
  }
  if (!this->scanned && found && this->next_slot + 1 < this->slots) {
    ++this->next_slot;
    return;
  }
  // Slots are filled in order: no slot after a missing one was ever used.
  this->scanned = true;
  const std::optional<std::uint64_t> inconsistent = this->InconsistentSlot();
  this->done = !inconsistent.has_value();
  if (inconsistent.has_value()) this->next_slot = *inconsistent;
}

ShardView RingLoader::MakeView() const {
  ShardView view(this->slots);
  const SegmentCopy* newest = this->Newest();
  if (newest == nullptr) return view;
  const std::uint64_t last = newest->segment.index;
  std::uint64_t index = last < this->slots ? 0 : last - this->slots + 1;
  for (; index <= last; ++index) {
    const SegmentCopy& copy = this->copies.at(index % this->slots);
    view.ApplyCopy(copy.segment, copy.version);
  }
  return view;
}

}  // namespace toucanwharf::once
