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

// Engine "c" dies. Answers that share "a" and "b" with the stalled one
// continue, so only "c" and its neighbour, which no other answer passes, lack
// evidence.
BOOST_AUTO_TEST_CASE(OnlyEnginesThatNoOtherAnswerPassesLackEvidence) {
  const std::vector<LivenessEvidence> others = {{Path({"a", "b"}), At(110)},
                                                {Path({"c", "d"}), At(60)}};
  const auto without_evidence =
      EnginesWithoutEvidence(Path({"a", "b", "c", "d"}), At(100), others);
  BOOST_TEST((without_evidence == Path({"c", "d"})));
}

BOOST_AUTO_TEST_CASE(WithoutOtherAnswersAllEnginesLackEvidence) {
  const auto stages = Path({"a", "b"});
  BOOST_TEST((EnginesWithoutEvidence(stages, At(0), {}) == stages));
}

}  // namespace
}  // namespace toucanwharf::endpoints
