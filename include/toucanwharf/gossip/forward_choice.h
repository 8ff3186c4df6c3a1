#ifndef TOUCANWHARF_GOSSIP_FORWARD_CHOICE_H_
#define TOUCANWHARF_GOSSIP_FORWARD_CHOICE_H_

#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/support/random.h"

namespace toucanwharf::gossip {

/// A peer that reaches endpoints, to which requests can be forwarded.
struct ForwardCandidate {
  std::string control_address;
  bool same_domain = false;
  /// Answers that it has in flight, as far as it has told.
  double answers = 0;
  /// Part of a core that it may use.
  double processor_share = 1;

  friend bool operator==(const ForwardCandidate&,
                         const ForwardCandidate&) = default;
};

/// Returns the control address of the peer to forward a request to; nothing
/// without a candidate.
///
/// Load: several instances lose their paths at once and hand all their callers
/// to the rest. The better of two random peers gets a request: the best of all
/// would get everybody's until its next beacon. Better is the one with fewer
/// answers for its part of a core; another failure domain costs some answers,
/// since requests and events cross the links between domains.
/// Thread safety: safe.
std::optional<std::string> ChooseForward(
    const std::vector<ForwardCandidate>& candidates, Random& random);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_FORWARD_CHOICE_H_
