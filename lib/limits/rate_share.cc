#include "toucanwharf/limits/rate_share.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "toucanwharf/support/random.h"

namespace toucanwharf::limits {
namespace {

/// Sharers that hold a part: those whose single requests at one moment do no
/// harm, and more for a larger limit.
constexpr double kMinHolders = 6;
constexpr double kHoldersPerRequest = 0.5;
/// A sharer with so many times the mean demand holds a part before the others.
/// Smaller differences are chance, and would move the parts about.
constexpr double kHotDemand = 4;
constexpr double kHotWeight = 64;
/// Part of the limit that is divided. The rest absorbs the lag with which
/// instances learn of each other's demand.
constexpr double kUsedShare = 0.98;
/// Demand that an instance without any counts with, as part of the mean: its
/// callers may come at any moment.
constexpr double kIdleDemand = 0.02;

struct Candidate {
  std::uint64_t id = 0;
  double weight = 0;
  double rank = 0;
};

/// Returns a number in (0, 1) that is the same at every instance.
double UnitOf(std::uint32_t endpoint, std::uint64_t id) {
  constexpr double kScale = 1.0 / 9007199254740994.0;
  const std::uint64_t word = MixBits(id ^ MixBits(endpoint));
  return (static_cast<double>(word >> 11) + 1) * kScale;
}

std::vector<Candidate> CandidatesOf(std::uint32_t endpoint,
                                    const std::vector<Sharer>& sharers) {
  double sum = 0;
  for (const Sharer& sharer : sharers) sum += sharer.demand;
  const double mean = sum / static_cast<double>(sharers.size());
  const double least = mean > 0 ? kIdleDemand * mean : 1;
  std::vector<Candidate> candidates;
  for (const Sharer& sharer : sharers) {
    const double weight = std::max(sharer.demand, least);
    const bool hot = sharer.demand > kHotDemand * mean;
    const double rank =
        std::log(UnitOf(endpoint, sharer.id)) / (hot ? kHotWeight : 1);
    candidates.push_back({sharer.id, weight, rank});
  }
  return candidates;
}

}  // namespace

double RateShare(std::uint32_t endpoint, double per_second,
                 const std::vector<Sharer>& sharers, std::uint64_t self) {
  std::vector<Candidate> holders = CandidatesOf(endpoint, sharers);
  const auto count = static_cast<std::size_t>(
      kMinHolders + kHoldersPerRequest * std::min(per_second, 1e6));
  if (holders.size() > count) {
    std::partial_sort(
        holders.begin(), holders.begin() + static_cast<std::ptrdiff_t>(count),
        holders.end(),
        [](const auto& lhs, const auto& rhs) { return lhs.rank > rhs.rank; });
    holders.resize(count);
  }
  double sum = 0;
  double own = 0;
  for (const Candidate& holder : holders) {
    sum += holder.weight;
    if (holder.id == self) own = holder.weight;
  }
  return sum > 0 ? kUsedShare * per_second * own / sum : 0;
}

}  // namespace toucanwharf::limits
