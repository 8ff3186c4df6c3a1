#include "toucanwharf/endpoints/liveness_evidence.h"

#include <set>
#include <string_view>

namespace toucanwharf::endpoints {

std::vector<pipeline::Stage> EnginesWithoutEvidence(
    const std::vector<pipeline::Stage>& stages, TimePoint since,
    const std::vector<LivenessEvidence>& others) {
  std::set<std::string_view> alive;
  for (const LivenessEvidence& other : others) {
    if (other.last_event < since) continue;
    for (const pipeline::Stage& stage : other.stages) {
      alive.insert(stage.endpoint);
    }
  }
  std::vector<pipeline::Stage> without_evidence;
  for (const pipeline::Stage& stage : stages) {
    if (!alive.contains(stage.endpoint)) without_evidence.push_back(stage);
  }
  return without_evidence;
}

}  // namespace toucanwharf::endpoints
