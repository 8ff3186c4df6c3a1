#include "toucanwharf/endpoints/doubt.h"

#include <set>
#include <string_view>

namespace toucanwharf::endpoints {

std::vector<pipeline::Stage> DoubtedEngines(
    const std::vector<pipeline::Stage>& stages, TimePoint since,
    const std::vector<AnswerSign>& others) {
  std::set<std::string_view> alive;
  for (const AnswerSign& other : others) {
    if (other.last_event < since) continue;
    for (const pipeline::Stage& stage : other.stages) {
      alive.insert(stage.endpoint);
    }
  }
  std::vector<pipeline::Stage> doubted;
  for (const pipeline::Stage& stage : stages) {
    if (!alive.contains(stage.endpoint)) doubted.push_back(stage);
  }
  return doubted;
}

}  // namespace toucanwharf::endpoints
