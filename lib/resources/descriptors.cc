#include "toucanwharf/resources/descriptors.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace toucanwharf::resources {
namespace {

/// Parts of the capacity that only one use may take.
constexpr double kCallerPart = 0.3;
constexpr double kControlPart = 0.1;
constexpr double kCallPart = 0.3;

std::size_t PartOf(std::size_t capacity, double part) {
  return static_cast<std::size_t>(static_cast<double>(capacity) * part);
}

}  // namespace

Descriptors::Descriptors(std::size_t most)
    : capacity(most),
      reserved{PartOf(most, kCallerPart), PartOf(most, kControlPart),
               PartOf(most, kCallPart)} {}

std::size_t Descriptors::Room(ConnectionUse use) const {
  const auto own = static_cast<std::size_t>(use);
  std::size_t taken = 0;
  for (std::size_t other = 0; other < kUses; ++other) {
    taken += other == own
                 ? this->used.at(other)
                 : std::max(this->used.at(other), this->reserved.at(other));
  }
  return taken < this->capacity ? this->capacity - taken : 0;
}

bool Descriptors::Take(ConnectionUse use) {
  if (!this->HasRoom(use)) return false;
  ++this->used.at(static_cast<std::size_t>(use));
  this->peak = std::max(this->peak, this->Used());
  return true;
}

void Descriptors::GiveBack(ConnectionUse use) {
  std::size_t& count = this->used.at(static_cast<std::size_t>(use));
  assert(count > 0 && "only a connection that was counted is given back");
  --count;
}

std::size_t Descriptors::Used() const {
  return std::accumulate(this->used.begin(), this->used.end(), std::size_t{0});
}

}  // namespace toucanwharf::resources
