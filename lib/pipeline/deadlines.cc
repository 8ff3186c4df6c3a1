#include "toucanwharf/pipeline/deadlines.h"

#include <algorithm>

namespace toucanwharf::pipeline {

Duration DeadlinePolicy::FirstToken(const PlanTimes& times,
                                    std::uint32_t prompt_tokens,
                                    std::uint32_t idle) const {
  const Duration expected = times.FirstToken(prompt_tokens);
  constexpr std::uint32_t kMostDoublings = 16;
  const int doubled = 1 << std::min(idle, kMostDoublings);
  const int back_off = std::min(doubled, this->back_off_limit);
  return (expected * this->first_factor + this->first_floor) * back_off;
}

Duration DeadlinePolicy::NextToken(const PlanTimes& times,
                                   Duration observed) const {
  // A loaded engine is slower than planned and still makes progress; but a
  // link that degrades step by step must not stretch its own deadline for ever.
  const Duration most = times.token_gap * this->gap_factor;
  const Duration gap = std::clamp(observed, times.token_gap, most);
  return gap * this->gap_factor + this->gap_floor;
}

}  // namespace toucanwharf::pipeline
