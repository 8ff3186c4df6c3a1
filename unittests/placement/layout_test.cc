#include "toucanwharf/placement/layout.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "models.h"

namespace toucanwharf::placement {
namespace {

const std::vector<std::string> kKinds = {"large", "small", "slow"};
const std::vector<std::string> kDomains = {"a", "b", "c"};

bool Serves(const EngineModel& model, const std::vector<Accelerator>& fleet) {
  Random random(1);
  PathQuery query;
  query.failure_domain = "a";
  query.prompt_tokens = 100;
  query.output_tokens = 100;
  return FindPath(model, Idle(fleet), query, {}, random).path.has_value();
}

int CountMoves(const std::vector<Accelerator>& fleet, const Layout& layout) {
  int moves = 0;
  for (const Accelerator& engine : fleet) {
    const auto found = layout.find(engine.id);
    if (found != layout.end() && found->second != engine.layers) ++moves;
  }
  return moves;
}

std::vector<Accelerator> AnyFleet() {
  std::vector<Accelerator> fleet;
  for (const std::string& domain : kDomains) {
    for (const std::string& kind : kKinds) {
      AddEngines(fleet, domain, kind, *rc::gen::inRange(0, 12));
    }
  }
  for (Accelerator& engine : fleet) {
    const auto begin = *rc::gen::inRange<std::uint32_t>(0, 80);
    const auto count = *rc::gen::inRange<std::uint32_t>(0, 8);
    engine.layers = {begin, std::min(begin + count, 80U)};
  }
  return fleet;
}

// An engine that is ordered to hold more than fits crashes, and aborts every
// answer that runs through it.
RC_BOOST_PROP(NeverMoreLayersThanFit, ()) {
  const EngineModel model = LargeModel();
  const auto fleet = AnyFleet();
  for (const auto& each : PlanLayout(model, fleet, {})) {
    const pipeline::LayerRange layers = each.second;
    const auto engine =
        std::find_if(fleet.begin(), fleet.end(),
                     [&](const auto& it) { return it.id == each.first; });
    RC_ASSERT(engine != fleet.end());
    RC_ASSERT(layers.end <= model.layers);
    RC_ASSERT(layers.begin <= layers.end);
    const double memory = model.FindKind(engine->kind)->memory_mb;
    RC_ASSERT(layers.Count() * model.layer_mb < memory);
  }
}

// Any later plan from what the engines hold leaves them as they are: a new
// lease holder must not move layers.
RC_BOOST_PROP(PlanOfAPlanMovesNothing, ()) {
  const EngineModel model = LargeModel();
  const auto fleet = AnyFleet();
  const auto placed = Placed(fleet, PlanLayout(model, fleet, {}));
  RC_ASSERT(CountMoves(placed, PlanLayout(model, placed, {})) == 0);
}

BOOST_AUTO_TEST_CASE(EveryDomainGetsACoverOfItsOwn) {
  const EngineModel model = LargeModel();
  const auto placed = Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {}));
  for (const std::string& domain : kDomains) {
    std::vector<Accelerator> alone;
    std::copy_if(
        placed.begin(), placed.end(), std::back_inserter(alone),
        [&](const auto& engine) { return engine.failure_domain == domain; });
    BOOST_TEST(Serves(model, alone), "no cover in domain " << domain);
  }
}

// Any one engine dies. Some path remains immediately, without a load; then a
// few loads, not a new layout of everything, restore the cover.
BOOST_AUTO_TEST_CASE(OneDeadEngineIsBypassedAndReplaced) {
  const EngineModel model = LargeModel();
  const auto placed = Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {}));
  for (std::size_t dead = 0; dead < placed.size(); ++dead) {
    auto left = placed;
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(dead));
    BOOST_REQUIRE(Serves(model, left));
    const auto layout = PlanLayout(model, left, {});
    // At most its own failure domain's engines move.
    BOOST_REQUIRE(CountMoves(left, layout) <= 15);
    BOOST_REQUIRE(Serves(model, Placed(left, layout)));
  }
}

/// A model with two slow kinds that are equally fast, one with half as much
/// memory again.
EngineModel ModelOfSlowKinds() {
  EngineModel model = LargeModel();
  model.token_mb = 0.426;
  model.kinds = {{"large", 36000, 3.1, 3.2},
                 {"small", 14400, 15, 15},
                 {"slow", 21600, 16, 8.2}};
  return model;
}

std::vector<Accelerator> OneDomain() {
  std::vector<Accelerator> fleet;
  AddEngines(fleet, "a", "large", 2);
  AddEngines(fleet, "a", "slow", 5);
  AddEngines(fleet, "a", "small", 8);
  return fleet;
}

LayoutSettings CapacityForEighty() {
  LayoutSettings settings;
  settings.target_answers = 80;
  return settings;
}

int LayersWithSecondHolder(const EngineModel& model, const Layout& layout) {
  std::vector<int> holders(model.layers, 0);
  for (const auto& [id, layers] : layout) {
    for (std::uint32_t i = layers.begin; i < layers.end; ++i) ++holders[i];
  }
  return static_cast<int>(std::count_if(holders.begin(), holders.end(),
                                        [](int count) { return count > 1; }));
}

// Guards against layers with a single holder: five engines of a fleet slow down
// together, each the only one of its failure domain with its layers. Every
// answer went through a slow one for seconds, and half of the callers
// disconnected, while engines beside it were idle.
BOOST_AUTO_TEST_CASE(StandbyEnginesCopyHalfOfTheLayers) {
  const EngineModel model = ModelOfSlowKinds();
  const Layout layout = PlanLayout(model, OneDomain(), CapacityForEighty());
  BOOST_TEST(layout.size() == OneDomain().size());
  BOOST_TEST(LayersWithSecondHolder(model, layout) >= 40);
}

/// Returns for how many answers the path of \p fleet with the most capacity has
/// capacity at each of its engines; 0 if no path has all layers.
double MaxAnswersOfAnyPath(const EngineModel& model,
                           const std::vector<Accelerator>& fleet) {
  std::vector<double> capacity_up_to(model.layers + 1, 0);
  capacity_up_to[0] = model.slots;
  for (std::uint32_t layer = 0; layer < model.layers; ++layer) {
    for (const Accelerator& engine : fleet) {
      if (layer < engine.layers.begin || layer >= engine.layers.end) continue;
      const double each =
          (model.mean_prompt_tokens + model.mean_answer_tokens) *
          model.token_mb / model.layers * engine.layers.Count();
      const double memory = model.FindKind(engine.kind)->memory_mb -
                            engine.layers.Count() * model.layer_mb;
      const double capacity = std::min(capacity_up_to[layer], memory / each);
      for (std::uint32_t to = layer + 1; to <= engine.layers.end; ++to) {
        capacity_up_to[to] = std::max(capacity_up_to[to], capacity);
      }
    }
  }
  return capacity_up_to[model.layers];
}

std::vector<Accelerator> InDomain(const std::vector<Accelerator>& fleet,
                                  const std::string& domain) {
  std::vector<Accelerator> members;
  std::copy_if(
      fleet.begin(), fleet.end(), std::back_inserter(members),
      [&](const auto& engine) { return engine.failure_domain == domain; });
  return members;
}

// Guards against a rollout that leaves covers of copies, which are complete and
// always full: callers were refused long after the last engine was replaced.
BOOST_AUTO_TEST_CASE(EnginesReplacedOneByOneRetainTheCapacityOfTheCovers) {
  const EngineModel model = LargeModel();
  const double target = LayoutSettings().target_answers;
  auto fleet = Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {}));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    Accelerator replaced = fleet[i];
    fleet.erase(fleet.begin() + static_cast<std::ptrdiff_t>(i));
    fleet = Placed(fleet, PlanLayout(model, fleet, {}));
    replaced.id += "-new";
    replaced.layers = {};
    fleet.insert(fleet.begin() + static_cast<std::ptrdiff_t>(i), replaced);
    const Layout layout = PlanLayout(model, fleet, {});
    // Only the new engine and the replacement of the removed one load.
    BOOST_TEST(CountMoves(fleet, layout) <= 2);
    fleet = Placed(fleet, layout);
    const auto members = InDomain(fleet, replaced.failure_domain);
    BOOST_TEST_CONTEXT("after " << replaced.id) {
      BOOST_TEST(MaxAnswersOfAnyPath(model, members) >= target / 2);
    }
  }
}

// Eleven engines on every path are hit by failures more often than seven, and
// leave fewer standbys.
BOOST_AUTO_TEST_CASE(OfEquallyFastKindsTheLargerGoesFirst) {
  const EngineModel model = ModelOfSlowKinds();
  const auto placed =
      Placed(OneDomain(), PlanLayout(model, OneDomain(), CapacityForEighty()));
  Random random(1);
  PathQuery query;
  query.failure_domain = "a";
  query.output_tokens = 150;
  const auto choice = FindPath(model, Idle(placed), query, {}, random);
  BOOST_REQUIRE(choice.path.has_value());
  BOOST_TEST(choice.path->stages.size() <= 9U);
}

// A domain that is too small for a cover contributes its engines to one over
// several domains, rather than serving nobody.
BOOST_AUTO_TEST_CASE(SmallDomainsServeTogether) {
  const EngineModel model = LargeModel();
  std::vector<Accelerator> fleet;
  for (const std::string& domain : kDomains) {
    AddEngines(fleet, domain, "small", 6);
  }
  BOOST_TEST(!Serves(model, fleet));
  BOOST_TEST(Serves(model, Placed(fleet, PlanLayout(model, fleet, {}))));
}

BOOST_AUTO_TEST_CASE(NothingFitsGivesNoLayout) {
  EngineModel model = LargeModel();
  model.layer_mb = 100000;
  BOOST_TEST(PlanLayout(model, LargeFleet(), {}).empty());
  BOOST_TEST(PlanLayout(LargeModel(), {}, {}).empty());
}

}  // namespace
}  // namespace toucanwharf::placement
