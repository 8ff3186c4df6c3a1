#include "toucanwharf/endpoints/liveness_evidence.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::endpoints {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

std::vector<pipeline::Stage> Path(const std::vector<std::string>& engines) {
  std::vector<pipeline::Stage> stages;
  for (const std::string& id : engines) stages.push_back({id, id, {0, 1}});
  return stages;
}

// Engine "c" dies. Answers that share "a" and "b" with the silent one go on, so
// only "c" and its neighbour, which nobody else uses, are asked.
BOOST_AUTO_TEST_CASE(OnlyEnginesThatNoOtherAnswerPassesAreDoubted) {
  const std::vector<LivenessEvidence> others = {{Path({"a", "b"}), At(110)},
                                                {Path({"c", "d"}), At(60)}};
  const auto doubted =
      EnginesWithoutEvidence(Path({"a", "b", "c", "d"}), At(100), others);
  BOOST_TEST((doubted == Path({"c", "d"})));
}

BOOST_AUTO_TEST_CASE(AloneAllAreDoubted) {
  const auto stages = Path({"a", "b"});
  BOOST_TEST((EnginesWithoutEvidence(stages, At(0), {}) == stages));
}

}  // namespace
}  // namespace toucanwharf::endpoints
