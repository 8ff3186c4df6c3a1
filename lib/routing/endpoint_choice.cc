#include "toucanwharf/routing/endpoint_choice.h"

#include <algorithm>

namespace toucanwharf::routing {
namespace {

bool WithinLoadBound(const LoadView& loads, Endpoint cached, Endpoint other) {
  // One sequence more is always within the bound, or small endpoints could
  // never be taken for their cache.
  const double slots = std::max(loads.SpecOf(cached).slots, 1U);
  const double bound = loads.Occupancy(other) * kAffinityLoadBound;
  return loads.Occupancy(cached) <= bound + 1.0 / slots;
}

/// Earlier finish first, then the emptier one, so that endpoints of one kind
/// fill evenly.
bool Better(const LoadView& loads, const Work& work, Endpoint left,
            Endpoint right) {
  const Duration left_finish = loads.ExpectedFinish(left, work);
  const Duration right_finish = loads.ExpectedFinish(right, work);
  if (left_finish != right_finish) return left_finish < right_finish;
  return loads.Occupancy(left) < loads.Occupancy(right);
}

}  // namespace

std::optional<Endpoint> ChooseOfDraws::Choose(
    std::span<const Endpoint> candidates, const Work& work,
    std::optional<CachedAt> cached, const LoadView& loads,
    Random& random) const {
  if (candidates.empty()) return std::nullopt;
  Endpoint best = candidates[random.Below(candidates.size())];
  for (std::size_t draw = 1; draw < this->draws; ++draw) {
    const Endpoint other = candidates[random.Below(candidates.size())];
    if (Better(loads, work, other, best)) best = other;
  }
  if (!cached || !WithinLoadBound(loads, cached->endpoint, best)) return best;
  Work rest = work;
  rest.cached_tokens = std::min(cached->tokens, work.prompt_tokens);
  const Duration with_cache = loads.ExpectedFinish(cached->endpoint, rest);
  return with_cache < loads.ExpectedFinish(best, work) ? cached->endpoint
                                                       : best;
}

}  // namespace toucanwharf::routing
