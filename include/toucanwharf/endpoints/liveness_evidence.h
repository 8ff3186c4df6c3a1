#ifndef TOUCANWHARF_ENDPOINTS_LIVENESS_EVIDENCE_H_
#define TOUCANWHARF_ENDPOINTS_LIVENESS_EVIDENCE_H_

#include <vector>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::endpoints {

/// What an answer in flight shows about the engines on its path.
struct LivenessEvidence {
  std::vector<pipeline::Stage> stages;
  TimePoint last_event;

  friend bool operator==(const LivenessEvidence&,
                         const LivenessEvidence&) = default;
};

/// Returns the engines of \p stages for which no answer of \p others is
/// evidence of liveness: an event that came at \p since or later passed all
/// engines of its path.
///
/// Load: one engine of a path dies, and all answers of the router on that path
/// stall. Probing each engine of each path would cost ten probes an answer, and
/// a lost packet on the way to a healthy engine would make it look dead;
/// engines that other answers still pass need no probe.
/// Thread safety: safe.
std::vector<pipeline::Stage> EnginesWithoutEvidence(
    const std::vector<pipeline::Stage>& stages, TimePoint since,
    const std::vector<LivenessEvidence>& others);

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_LIVENESS_EVIDENCE_H_
