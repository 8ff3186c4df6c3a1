#include "toucanwharf/routing/entry_advice.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "toucanwharf/routing/prefix_index.h"

namespace toucanwharf::routing {
namespace {

/// Minimum spare capacity that an instance counts with, so that a wrong load
/// figure can't exclude it.
constexpr double kMinSpare = 0.05;

struct Ranked {
  double rank = 0;
  const EntryInstance* instance = nullptr;
};

/// Weighted rendezvous hashing: an instance is chosen for a customer with a
/// probability proportional to its spare capacity, and if one departs only its
/// customers move.
double Rank(std::string_view customer, const EntryInstance& instance) {
  const std::uint64_t hash =
      MixBits(HashPrefix(customer) ^ HashPrefix(instance.id));
  Random draw(hash);
  const double unit = std::max(draw.Unit(), 1e-12);
  const double spare = std::max(1.0 - instance.load, kMinSpare);
  return -spare / std::log(unit);
}

std::vector<Ranked> RankAll(std::string_view customer,
                            std::span<const EntryInstance> instances,
                            bool leaving) {
  std::vector<Ranked> ranked;
  for (const EntryInstance& instance : instances) {
    if (instance.leaving != leaving) continue;
    ranked.push_back(Ranked{Rank(customer, instance), &instance});
  }
  std::sort(
      ranked.begin(), ranked.end(),
      [](const Ranked& lhs, const Ranked& rhs) { return lhs.rank > rhs.rank; });
  return ranked;
}

/// Moves the best of each failure domain to the front.
void SpreadOverDomains(std::vector<Ranked>& ranked) {
  std::set<std::string_view> seen;
  std::stable_partition(ranked.begin(), ranked.end(), [&](const Ranked& entry) {
    return seen.insert(entry.instance->failure_domain).second;
  });
}

}  // namespace

Advice EntryAdvisor::For(std::string_view customer, double traffic_share,
                         std::span<const EntryInstance> instances,
                         Random& random) const {
  std::vector<Ranked> ranked = RankAll(customer, instances, false);
  if (ranked.empty()) ranked = RankAll(customer, instances, true);
  Advice advice;
  advice.time_to_live = this->JitteredTimeToLive(random);
  if (ranked.empty()) return advice;

  const double mean_share = 1.0 / static_cast<double>(ranked.size());
  const bool large = traffic_share > this->settings.large_fraction * mean_share;
  SpreadOverDomains(ranked);
  if (!large && ranked.size() > this->settings.small_spread) {
    ranked.resize(this->settings.small_spread);
  }
  if (large) {
    // Each caller of a large customer starts at a random instance.
    const auto first = static_cast<std::ptrdiff_t>(
        random.Below(static_cast<std::uint64_t>(ranked.size())));
    std::rotate(ranked.begin(), ranked.begin() + first, ranked.end());
  }
  for (const Ranked& entry : ranked) {
    advice.addresses.push_back(entry.instance->address);
  }
  return advice;
}

TimePoint EntryAdvisor::ServeUntil(TimePoint announced) const {
  const auto max_time_to_live = std::chrono::duration_cast<Duration>(
      this->settings.time_to_live * (1.0 + this->settings.jitter));
  return announced + this->settings.propagation_time + max_time_to_live +
         this->settings.margin;
}

Duration EntryAdvisor::JitteredTimeToLive(Random& random) const {
  const double factor =
      1.0 + this->settings.jitter * (2.0 * random.Unit() - 1.0);
  return std::chrono::duration_cast<Duration>(this->settings.time_to_live *
                                              factor);
}

}  // namespace toucanwharf::routing
