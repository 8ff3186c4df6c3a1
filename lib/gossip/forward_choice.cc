#include "toucanwharf/gossip/forward_choice.h"

#include <algorithm>

namespace toucanwharf::gossip {
namespace {

/// Answers in flight that weigh as much as another failure domain, at a whole
/// core.
constexpr double kAnswersPerDomainCrossed = 40;
constexpr double kMinProcessorShare = 0.01;

double Cost(const ForwardCandidate& candidate) {
  const double crossing = candidate.same_domain ? 0 : kAnswersPerDomainCrossed;
  const double share = std::max(candidate.processor_share, kMinProcessorShare);
  return candidate.answers / share + crossing;
}

}  // namespace

std::optional<std::string> ChooseForward(
    const std::vector<ForwardCandidate>& candidates, Random& random) {
  if (candidates.empty()) return std::nullopt;
  const std::size_t count = candidates.size();
  const std::size_t first = random.Below(count);
  const std::size_t step = count > 1 ? 1 + random.Below(count - 1) : 0;
  const ForwardCandidate& one = candidates[first];
  const ForwardCandidate& other = candidates[(first + step) % count];
  return Cost(one) <= Cost(other) ? one.control_address : other.control_address;
}

}  // namespace toucanwharf::gossip
