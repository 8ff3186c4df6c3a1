#include "toucanwharf/resources/eviction.h"

#include <algorithm>

namespace toucanwharf::resources {
namespace {

double Occupancy(const Holding& holding) {
  return static_cast<double>(holding.bytes) *
         static_cast<double>(holding.age.count() + 1);
}

}  // namespace

std::vector<std::size_t> ChooseEvictions(std::vector<Holding> holdings,
                                         std::size_t needed) {
  std::sort(holdings.begin(), holdings.end(),
            [](const Holding& left, const Holding& right) {
              return Occupancy(left) > Occupancy(right);
            });
  std::vector<std::size_t> chosen;
  std::size_t freed = 0;
  for (const Holding& holding : holdings) {
    if (freed >= needed) break;
    freed += holding.bytes;
    chosen.push_back(holding.id);
  }
  return chosen;
}

}  // namespace toucanwharf::resources
