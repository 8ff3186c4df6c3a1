#include "toucanwharf/gossip/entry_advice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace toucanwharf::gossip {
namespace {

/// Weight of an instance whose part of a core is not known.
constexpr double kUnknownShare = 0.1;

}  // namespace

std::vector<std::string> DrawAdvised(std::vector<AdvisedInstance> advised,
                                     std::size_t count, Random& random) {
  // Weighted sampling without replacement: the largest of u^(1/weight).
  std::vector<std::pair<double, std::string>> keyed;
  for (AdvisedInstance& instance : advised) {
    const double weight =
        instance.processor_share > 0 ? instance.processor_share : kUnknownShare;
    keyed.emplace_back(std::log(random.Unit()) / weight,
                       std::move(instance.callers_address));
  }
  std::sort(keyed.begin(), keyed.end(), std::greater<>());
  keyed.resize(std::min(keyed.size(), count));
  std::vector<std::string> addresses;
  for (auto& [key, address] : keyed) addresses.push_back(std::move(address));
  // Callers may prefer the first.
  std::shuffle(addresses.begin(), addresses.end(), random);
  return addresses;
}

}  // namespace toucanwharf::gossip
