#include "toucanwharf/placement/capacity.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "models.h"

namespace toucanwharf::placement {
namespace {

constexpr double kMinAnswers = 30;

BOOST_AUTO_TEST_CASE(TightestEngineLimitsAPath) {
  const EngineModel model = LargeModel();
  std::vector<Accelerator> fleet = {{"x", "a", "large", {0, 40}},
                                    {"y", "a", "large", {40, 80}}};
  const Capacity full = EstimateCapacity(model, fleet, kMinAnswers);
  BOOST_TEST(full.engines.size() == 0U);
  fleet = {{"x", "a", "large", {0, 35}},
           {"y", "a", "large", {35, 70}},
           {"z", "a", "slow", {70, 80}}};
  const Capacity capacity = EstimateCapacity(model, fleet, kMinAnswers);
  BOOST_TEST(capacity.engines.size() == 3U);
  BOOST_TEST(capacity.answers >= kMinAnswers);
  BOOST_TEST(capacity.answers < 60);
}

BOOST_AUTO_TEST_CASE(LoadingEngineServesOnlyWhatItKeeps) {
  const EngineModel model = LargeModel();
  const auto placed = Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {}));
  const Capacity before = EstimateCapacity(model, placed, kMinAnswers);
  auto loading = placed;
  loading.front().loading = pipeline::LayerRange{};
  const Capacity meanwhile = EstimateCapacity(model, loading, kMinAnswers);
  BOOST_TEST(meanwhile.answers_per_second < before.answers_per_second);
  loading.front().loading = loading.front().layers;
  BOOST_TEST((EstimateCapacity(model, loading, kMinAnswers) == before));
}

}  // namespace
}  // namespace toucanwharf::placement
