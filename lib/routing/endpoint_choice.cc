#include "toucanwharf/routing/endpoint_choice.h"

#include <algorithm>

namespace toucanwharf::routing {
namespace {

bool WithinLoadBound(const LoadView& loads, Endpoint cached, Endpoint other) {
  // One more sequence is always within the bound, or small endpoints would
  // never be used for their cache.
  const double slots = std::max(loads.SpecOf(cached).slots, 1U);
  const double bound = loads.Occupancy(other) * kAffinityLoadBound;
  return loads.Occupancy(cached) <= bound + 1.0 / slots;
}

/// Orders by earlier finish, then by lower occupancy, so that endpoints of one
/// kind fill evenly.
bool Better(const LoadView& loads, const Work& work, Endpoint lhs,
            Endpoint rhs) {
  const Duration lhs_finish = loads.ExpectedFinish(lhs, work);
  const Duration rhs_finish = loads.ExpectedFinish(rhs, work);
  if (lhs_finish != rhs_finish) return lhs_finish < rhs_finish;
  return loads.Occupancy(lhs) < loads.Occupancy(rhs);
}

}  // namespace

std::optional<Endpoint> BestOfDraws::Choose(
    std::span<const Endpoint> candidates, const Work& work,
    std::optional<CachedPrefix> cached, const LoadView& loads,
    Random& random) const {
  if (candidates.empty()) return std::nullopt;
  Endpoint best = candidates[random.Below(candidates.size())];
  for (std::size_t draw = 1; draw < this->draws; ++draw) {
    const Endpoint other = candidates[random.Below(candidates.size())];
    if (Better(loads, work, other, best)) best = other;
  }
  if (!cached || !WithinLoadBound(loads, cached->endpoint, best)) return best;
  Work cached_work = work;
  cached_work.cached_tokens = std::min(cached->tokens, work.prompt_tokens);
  const Duration with_cache =
      loads.ExpectedFinish(cached->endpoint, cached_work);
  return with_cache < loads.ExpectedFinish(best, work) ? cached->endpoint
                                                       : best;
}

}  // namespace toucanwharf::routing
