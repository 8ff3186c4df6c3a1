#include "toucanwharf/once/ring_loader.h"

namespace toucanwharf::once {

RingLoader::RingLoader(std::uint64_t ring_slots) : slots(ring_slots) {}

const RingLoader::Copy* RingLoader::Newest() const {
  const Copy* newest = nullptr;
  for (const auto& [slot, copy] : this->copies) {
    const bool newer =
        newest == nullptr || copy.segment.index > newest->segment.index;
    if (newer) newest = &copy;
  }
  return newest;
}

std::optional<std::uint64_t> RingLoader::BrokenSlot() const {
  const Copy* later = this->Newest();
  if (later == nullptr) return std::nullopt;
  for (std::uint64_t left = this->slots - 1; left > 0; --left) {
    if (later->segment.index == 0) return std::nullopt;
    const std::uint64_t index = later->segment.index - 1;
    const std::uint64_t slot = index % this->slots;
    const auto found = this->copies.find(slot);
    if (found == this->copies.end()) return slot;
    const Copy& copy = found->second;
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
    // An unreadable segment stops the shard: granting keys without knowing it
    // would be a guess.
    if (!segment.has_value()) return;
    const auto held = this->copies.find(this->next_slot);
    const bool older = held != this->copies.end() &&
                       held->second.version > answer.object.version;
    if (!older) {
      this->copies.insert_or_assign(
          this->next_slot, Copy{std::move(*segment), answer.object.version});
    }
  }
  if (!this->scanned && found && this->next_slot + 1 < this->slots) {
    ++this->next_slot;
    return;
  }
  // Slots are filled in order: after a missing one none was ever used.
  this->scanned = true;
  const std::optional<std::uint64_t> broken = this->BrokenSlot();
  this->done = !broken.has_value();
  if (broken.has_value()) this->next_slot = *broken;
}

ShardView RingLoader::MakeView() const {
  ShardView view(this->slots);
  const Copy* newest = this->Newest();
  if (newest == nullptr) return view;
  const std::uint64_t last = newest->segment.index;
  std::uint64_t index = last < this->slots ? 0 : last - this->slots + 1;
  for (; index <= last; ++index) {
    const Copy& copy = this->copies.at(index % this->slots);
    view.Adopt(copy.segment, copy.version);
  }
  return view;
}

}  // namespace toucanwharf::once
