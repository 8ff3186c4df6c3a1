#include "toucanwharf/pipeline/deadlines.h"

#include <algorithm>

namespace toucanwharf::pipeline {

Duration DeadlinePolicy::FirstToken(const PlanTimes& times,
                                    std::uint32_t prompt_tokens,
                                    std::uint32_t idle_attempts) const {
  const Duration expected = times.FirstToken(prompt_tokens);
  constexpr std::uint32_t kMaxDoublings = 16;
  const int doubled = 1 << std::min(idle_attempts, kMaxDoublings);
  const int back_off = std::min(doubled, this->max_backoff_factor);
  return (expected * this->first_token_factor + this->first_token_floor) *
         back_off;
}

Duration DeadlinePolicy::NextToken(const PlanTimes& times,
                                   Duration observed) const {
  // A loaded engine is slower than planned and still makes progress; but a link
  // that degrades gradually must not extend its own deadline without limit.
  const Duration max_gap = times.token_gap * this->gap_factor;
  const Duration gap = std::clamp(observed, times.token_gap, max_gap);
  return gap * this->gap_factor + this->gap_floor;
}

}  // namespace toucanwharf::pipeline
