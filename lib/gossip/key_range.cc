#include "toucanwharf/gossip/key_range.h"

#include <algorithm>

namespace toucanwharf::gossip {
namespace {

constexpr std::uint64_t kKeyCount = std::uint64_t{1} << 32;

}  // namespace

std::size_t KeyRange::Parts() const {
  const std::uint64_t width = std::uint64_t{this->last} - this->first + 1;
  return static_cast<std::size_t>((kKeyCount + width / 2) / width);
}

KeyRange KeyRanges::Next(std::size_t endpoints) {
  const std::uint64_t parts = std::max<std::uint64_t>(
      1, (endpoints + kMaxEndpoints - 1) / kMaxEndpoints);
  const std::uint64_t part = this->next_part++ % parts;
  return {static_cast<std::uint32_t>(kKeyCount * part / parts),
          static_cast<std::uint32_t>(kKeyCount * (part + 1) / parts - 1)};
}

}  // namespace toucanwharf::gossip
