#include "toucanwharf/placement/layout_planner.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "models.h"
#include "simulated_fleet.h"

namespace toucanwharf::placement {
namespace {

constexpr double kStepSeconds = 0.2;
constexpr double kRestartSeconds = 3;

/// An engine that crashes, and whether it is started anew.
struct Crash {
  double at_seconds = 0;
  std::string id;
  bool returns = true;
};

EngineModel LoadingModel() {
  EngineModel model = LargeModel();
  model.load_seconds = 14;
  model.parallel_loads = 6;
  return model;
}

/// A fleet whose engines crash and come back empty, and its leader.
class Day {
 public:
  Day(const EngineModel& engine_model, const std::vector<Accelerator>& engines,
      std::vector<Crash> planned)
      : model(engine_model),
        fleet(engine_model, Placed(engines, PlanLayout(engine_model, engines,
                                                       LayoutSettings()))),
        crashes(std::move(planned)) {}

  void RunUntil(double end_seconds) {
    for (; this->seconds < end_seconds; this->seconds += kStepSeconds) {
      this->CrashAndReturn();
      const TimePoint now = At(this->seconds);
      const auto change =
          this->planner.Plan(this->model, this->fleet.Reports(), {}, now);
      if (change) this->target = change->target;
      this->fleet.Order(this->target, this->random, this->order_loss);
      this->fleet.Run(kStepSeconds);
    }
  }

  /// Replaces the leader by another one, that knows nothing but the fleet.
  void ReplaceLeader() {
    this->planner = LayoutPlanner(LayoutSettings());
    this->target.clear();
  }

  void SetOrderLoss(double loss) { this->order_loss = loss; }

  double Rate() const { return this->RateOf(this->fleet.Reports()); }
  /// Returns the rate of the best layout that is known for the same engines.
  double BestRate() const {
    auto engines = this->fleet.Reports();
    for (Accelerator& engine : engines) engine.loading.reset();
    return this->RateOf(
        Placed(engines, BestCovers(this->model, engines, LayoutSettings())));
  }
  int Orders() const { return this->fleet.Orders(); }

 private:
  double RateOf(const std::vector<Accelerator>& engines) const {
    return EstimateCapacity(this->model, engines, LayoutSettings().min_answers)
        .answers_per_second;
  }

  void CrashAndReturn() {
    for (Crash& crash : this->crashes) {
      if (crash.id.empty() || crash.at_seconds > this->seconds) continue;
      Accelerator engine = this->fleet.Lose(std::exchange(crash.id, ""));
      engine.id += "-again";
      if (!crash.returns) continue;
      this->returns.emplace_back(this->seconds + kRestartSeconds, engine);
    }
    std::erase_if(this->returns, [&](const auto& each) {
      if (each.first > this->seconds) return false;
      this->fleet.Add(each.second);
      return true;
    });
  }

  const EngineModel& model;
  SimulatedFleet fleet;
  std::vector<Crash> crashes;
  std::vector<std::pair<double, Accelerator>> returns;
  LayoutPlanner planner{LayoutSettings()};
  Layout target;
  Random random{1};
  double seconds = 0;
  double order_loss = 0;
};

// Guards against a layout that stays slow when the fastest engines are back.
BOOST_AUTO_TEST_CASE(FastestEnginesThatComeBackEmptyServeAsBefore) {
  const EngineModel model = LoadingModel();
  const std::vector<std::vector<std::string>> lost = {
      {"a-large-0", "a-large-1", "b-large-0"},
      {"a-large-0", "b-large-0", "c-large-0"},
      {"c-large-0", "a-large-1", "a-large-0"}};
  for (const auto& ids : lost) {
    Day day(model, LargeFleet(), {{2, ids[0]}, {3, ids[1]}, {4.8, ids[2]}});
    day.RunUntil(2);
    const double before = day.Rate();
    constexpr double kLastReturnSeconds = 7.8;
    constexpr double kRecoverySeconds = 15;
    day.RunUntil(kLastReturnSeconds + kRecoverySeconds);
    BOOST_TEST(day.Rate() >= 0.9 * before,
               "after " << ids[0] << ", " << ids[1] << ", " << ids[2] << ": "
                        << day.Rate() << " of " << before);
  }
}

// Guards against layouts that move the same engines back and forth for ever.
BOOST_AUTO_TEST_CASE(SettledFleetIsLeftAlone) {
  const EngineModel model = LoadingModel();
  Day day(model, LargeFleet(),
          {{2, "c-large-0"}, {3, "a-large-1"}, {4.8, "a-large-0"}});
  day.RunUntil(40);
  const int orders = day.Orders();
  day.RunUntil(120);
  BOOST_TEST(day.Orders() == orders);
}

// Guards against a layout that relies on what a broken engine reports: layers
// that don't exist or don't fit, or an unknown kind.
BOOST_AUTO_TEST_CASE(EnginesWithImpossibleReportsTakeNoPart) {
  const EngineModel model = LoadingModel();
  auto fleet = Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {}));
  fleet.push_back({"beyond", "a", "large", {70, 90}});
  fleet.push_back({"reversed", "a", "large", {26, 3}});
  fleet.push_back({"too-much", "a", "small", {0, 80}});
  fleet.push_back({"unknown", "a", "no such kind", {}});
  fleet.erase(fleet.begin());
  LayoutPlanner planner{LayoutSettings()};
  planner.Plan(model, fleet, {}, At(0));
  const auto change = planner.Plan(model, fleet, {}, At(1));
  BOOST_REQUIRE(change.has_value());
  for (const auto* id : {"beyond", "reversed", "too-much", "unknown"}) {
    BOOST_TEST(!change->target.contains(id), id);
  }
  BOOST_TEST(planner.Dropped() == 4U);
  BOOST_TEST(planner.PresentRate() > 0);
  BOOST_TEST(planner.PresentRate() <= planner.BestRate());
}

std::vector<Crash> AnyCrashes(const std::vector<Accelerator>& engines) {
  std::vector<Crash> crashes;
  const auto count = *rc::gen::inRange<std::size_t>(1, engines.size() / 4);
  for (std::size_t i = 0; i < count; ++i) {
    const auto index = *rc::gen::inRange<std::size_t>(0, engines.size());
    const double at = *rc::gen::inRange(10, 60) / 10.0;
    const bool known = std::any_of(
        crashes.begin(), crashes.end(),
        [&](const Crash& crash) { return crash.id == engines[index].id; });
    if (known) continue;
    crashes.push_back({at, engines[index].id, *rc::gen::inRange(0, 4) > 0});
  }
  return crashes;
}

// Whatever is lost, and however much of it returns, also with lost orders and
// another leader in the middle.
RC_BOOST_PROP(LayoutReachesNineTenthsOfTheBest, ()) {
  const EngineModel model = LoadingModel();
  const auto engines =
      *rc::gen::arbitrary<bool>() ? LargeFleet() : GrownFleet();
  Day day(model, engines, AnyCrashes(engines));
  day.SetOrderLoss(*rc::gen::inRange(0, 4) / 10.0);
  day.RunUntil(*rc::gen::inRange(10, 150) / 10.0);
  if (*rc::gen::arbitrary<bool>()) day.ReplaceLeader();
  day.RunUntil(75);
  RC_ASSERT(day.Rate() >= 0.9 * day.BestRate());
}

}  // namespace
}  // namespace toucanwharf::placement
