#ifndef TOUCANWHARF_ENDPOINTS_LIVENESS_EVIDENCE_H_
#define TOUCANWHARF_ENDPOINTS_LIVENESS_EVIDENCE_H_

#include <vector>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::endpoints {

/// What an answer under way shows of the engines that it runs through.
struct LivenessEvidence {
  std::vector<pipeline::Stage> stages;
  TimePoint last_event;

  friend bool operator==(const LivenessEvidence&,
                         const LivenessEvidence&) = default;
};

/// Returns the engines of \p stages that no answer of \p others shows alive: an
/// event that came at \p since or later went through all engines of its path.
///
/// Load that it answers: one engine of a path dies, and all answers of the
/// router stop that run through it. Asking each engine of each path would cost
/// ten questions an answer, and a lost packet on the way to a healthy one would
/// make it look dead; those that other answers still pass need no question.
/// Thread safety: safe.
std::vector<pipeline::Stage> EnginesWithoutEvidence(
    const std::vector<pipeline::Stage>& stages, TimePoint since,
    const std::vector<LivenessEvidence>& others);

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_DOUBT_H_
