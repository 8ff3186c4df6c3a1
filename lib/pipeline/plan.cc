#include "toucanwharf/pipeline/plan.h"

#include <algorithm>

namespace toucanwharf::pipeline {

Duration LinkCosts::Between(const std::string& left,
                            const std::string& right) const {
  const auto found = this->between.find(std::minmax(left, right));
  if (found != this->between.end()) return found->second;
  return left == right ? this->same_domain : this->other_domain;
}

bool IsExactCover(const std::vector<LayerRange>& ranges, std::uint32_t layers) {
  std::uint32_t next = 0;
  for (const LayerRange& range : ranges) {
    if (range.begin != next || range.end <= range.begin) return false;
    next = range.end;
  }
  return next == layers && !ranges.empty();
}

bool MatchesPlan(const std::vector<LayerRange>& trace, const Plan& plan) {
  return std::equal(trace.begin(), trace.end(), plan.stages.begin(),
                    plan.stages.end(),
                    [](const LayerRange& range, const Stage& stage) {
                      return range == stage.layers;
                    });
}

}  // namespace toucanwharf::pipeline
