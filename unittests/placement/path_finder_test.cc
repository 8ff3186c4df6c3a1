#include "toucanwharf/placement/path_finder.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "models.h"

namespace toucanwharf::placement {
namespace {

std::vector<Engine> AnyEngines() {
  std::vector<Engine> engines;
  const int count = *rc::gen::inRange(0, 30);
  for (int i = 0; i < count; ++i) {
    Engine engine;
    engine.id = std::to_string(i);
    engine.address = "address-" + engine.id;
    engine.failure_domain = *rc::gen::element<std::string>("a", "b", "c");
    engine.kind = *rc::gen::element<std::string>("large", "slow");
    const auto begin = *rc::gen::inRange<std::uint32_t>(0, 8) * 10;
    const auto parts = *rc::gen::inRange<std::uint32_t>(0, 4);
    engine.layers = {begin, std::min(begin + parts * 10, 80U)};
    engine.answers = *rc::gen::inRange(0, 100);
    engine.token_layers = *rc::gen::inRange(0, 1000000);
    engines.push_back(std::move(engine));
  }
  return engines;
}

PathQuery Query() {
  PathQuery query;
  query.failure_domain = "a";
  query.prompt_tokens = 775;
  query.output_tokens = 220;
  return query;
}

// Every token runs each layer exactly once and in order (I1), each stage on an
// engine that holds its layers, and no engine twice.
RC_BOOST_PROP(PathsAreExactCovers, ()) {
  const auto engines = AnyEngines();
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  const EngineModel model = LargeModel();
  const auto choice = FindPath(model, engines, Query(), {}, random);
  if (!choice.path) return;
  RC_ASSERT(pipeline::IsExactCover(RangesOf(*choice.path), model.layers));
  std::set<std::string> seen;
  for (const pipeline::Stage& stage : choice.path->stages) {
    const Engine& engine = engines.at(std::stoul(stage.endpoint));
    RC_ASSERT(engine.layers.begin <= stage.layers.begin);
    RC_ASSERT(engine.layers.end >= stage.layers.end);
    RC_ASSERT(seen.insert(stage.endpoint).second);
  }
}

BOOST_AUTO_TEST_CASE(MissingLayersAndNoCapacityDiffer) {
  const EngineModel model = LargeModel();
  auto engines =
      Idle(Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {})));
  Random random(1);
  for (Engine& engine : engines) engine.token_layers = 1e9;
  BOOST_CHECK(FindPath(model, engines, Query(), {}, random).no_path_reason ==
              NoPathReason::kNoCapacity);
  std::erase_if(engines,
                [](const Engine& engine) { return engine.layers.begin == 0; });
  BOOST_CHECK(FindPath(model, engines, Query(), {}, random).no_path_reason ==
              NoPathReason::kMissingLayers);
}

// Guards against paths that begin at an engine which takes no further request
// now, and against its layers counting as missing.
BOOST_AUTO_TEST_CASE(PathBeginsWhereRequestsAreTaken) {
  const EngineModel model = LargeModel();
  auto engines =
      Idle(Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {})));
  std::set<std::string> open;
  for (Engine& engine : engines) {
    if (engine.layers.begin > 0 || engine.layers.Count() == 0) continue;
    engine.may_begin = open.empty();
    if (engine.may_begin) open.insert(engine.id);
  }
  PathSettings settings;
  for (const std::size_t choices : {0U, 2U}) {
    settings.entry_choices = choices;
    Random random(1);
    const auto choice = FindPath(model, engines, Query(), settings, random);
    BOOST_REQUIRE(choice.path.has_value());
    BOOST_TEST(open.contains(choice.path->stages.front().endpoint));
  }
  for (Engine& engine : engines) engine.may_begin = false;
  Random random(1);
  BOOST_CHECK(FindPath(model, engines, Query(), {}, random).no_path_reason ==
              NoPathReason::kNoCapacity);
}

// An answer is rerouted around a dead engine: the first stage stays as it is,
// and the rest is a cover without the dead one.
BOOST_AUTO_TEST_CASE(FirstStageIsKept) {
  const EngineModel model = LargeModel();
  auto engines =
      Idle(Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {})));
  Random random(1);
  const auto first = FindPath(model, engines, Query(), {}, random);
  BOOST_REQUIRE(first.path.has_value());
  PathQuery around = Query();
  around.current = first.path->stages;
  const std::string dead = first.path->stages[2].endpoint;
  std::erase_if(engines, [&](const auto& engine) { return engine.id == dead; });
  const auto second = FindPath(model, engines, around, {}, random);
  BOOST_REQUIRE(second.path.has_value());
  BOOST_CHECK(second.path->stages.front() == around.current.front());
  BOOST_TEST(pipeline::IsExactCover(RangesOf(*second.path), model.layers));
}

/// Simulates answers that arrive at a steady rate at several routers, which
/// learn of each other's answers only after \p lag of them. Returns the maximum
/// number of answers in flight on any engine, relative to the mean of the
/// engines in use.
double MaxLoadOverMean(double jitter, int lag) {
  const EngineModel model = LargeModel();
  auto engines =
      Idle(Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {})));
  constexpr int kRouters = 6;
  constexpr int kAnswers = 240;
  std::map<std::string, std::size_t> index;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    index[engines[i].id] = i;
  }
  std::vector<std::vector<Engine>> views(kRouters, engines);
  PathSettings settings;
  settings.jitter = jitter;
  Random random(3);
  for (int i = 0; i < kAnswers; ++i) {
    if (i % lag == 0) views.assign(kRouters, engines);
    auto& view = views[i % kRouters];
    const auto choice = FindPath(model, view, Query(), settings, random);
    if (!choice.path) continue;
    for (const pipeline::Stage& stage : choice.path->stages) {
      const double load = 995.0 * stage.layers.Count();
      for (auto* seen : {&view, &engines}) {
        (*seen)[index[stage.endpoint]].answers += 1;
        (*seen)[index[stage.endpoint]].token_layers += load;
      }
    }
  }
  double max_answers = 0;
  double total_answers = 0;
  double engines_in_use = 0;
  for (const Engine& engine : engines) {
    if (engine.answers == 0) continue;
    max_answers = std::max(max_answers, engine.answers);
    total_answers += engine.answers;
    engines_in_use += 1;
  }
  return max_answers / (total_answers / engines_in_use);
}

// Six routers choose from the same lagging loads. No engine gets more than
// twice its part of the answers, and none more than its capacity.
BOOST_AUTO_TEST_CASE(LaggingLoadsDoNotCauseHerding) {
  BOOST_TEST(MaxLoadOverMean(0.1, 60) < 2.0);
  BOOST_TEST(MaxLoadOverMean(0.1, 6) < 2.0);
}

/// Lets routers that all see the same loads choose paths for \p answers, and
/// returns the fraction of its capacity that the fullest engine is then given.
double MaxUtilizationAfter(int answers, const PathSettings& settings) {
  const EngineModel model = LargeModel();
  const auto view =
      Idle(Placed(GrownFleet(), PlanLayout(model, GrownFleet(), {})));
  Random random(5);
  std::map<std::string, double> given;
  for (int i = 0; i < answers; ++i) {
    const auto choice = FindPath(model, view, Query(), settings, random);
    BOOST_REQUIRE(choice.path.has_value());
    for (const pipeline::Stage& stage : choice.path->stages) {
      given[stage.endpoint] += 995.0 * stage.layers.Count();
    }
  }
  double fullest = 0;
  for (const Engine& engine : view) {
    const double capacity = TokenLayerCapacity(
        model, *model.FindKind(engine.kind), engine.layers.Count());
    if (capacity > 0) fullest = std::max(fullest, given[engine.id] / capacity);
  }
  return fullest;
}

// Guards against routers of a large fleet that all take the best path: 86
// routers saw the loads of 0.75 s ago, in which time 200 answers begin, and
// callers were refused by engines without memory though most engines were idle.
// The fullest engine's fraction of its capacity with the best of all paths and
// with two choices: 0.79 and 0.68.
BOOST_AUTO_TEST_CASE(RoutersWithTheSameLaggingViewSpreadOverPaths) {
  PathSettings best_of_all;
  PathSettings two_choices;
  two_choices.entry_choices = kEntryChoicesInLargeFleet;
  constexpr int kBegunUnseen = 200;
  const double all = MaxUtilizationAfter(kBegunUnseen, best_of_all);
  const double two = MaxUtilizationAfter(kBegunUnseen, two_choices);
  BOOST_TEST(two < 0.9 * all);
}

// An engine dies, and the fifty answers of its path resume on other paths at
// the same moment, from routers that don't know of each other's choices. On one
// path the last of them would wait until the others' prompts are read.
BOOST_AUTO_TEST_CASE(AnswersThatLostAnEngineShareTheOtherPaths) {
  const EngineModel model = LargeModel();
  auto engines =
      Idle(Placed(LargeFleet(), PlanLayout(model, LargeFleet(), {})));
  std::erase_if(
      engines, [](const auto& engine) { return engine.failure_domain == "a"; });
  PathSettings settings;
  settings.entry_choices = kEntryChoicesForResumed;
  Random random(5);
  constexpr int kAnswers = 50;
  std::map<std::string, int> by_domain;
  for (int i = 0; i < kAnswers; ++i) {
    const auto choice = FindPath(model, engines, Query(), settings, random);
    BOOST_REQUIRE(choice.path.has_value());
    const std::string& first = choice.path->stages.front().endpoint;
    ++by_domain[first.substr(0, 1)];
  }
  BOOST_TEST(by_domain["b"] > kAnswers / 5);
  BOOST_TEST(by_domain["c"] > kAnswers / 5);
}

// An answer is rerouted around a dead engine through engines that are nearly
// full. Its own share of them is free for it, and stages that stay have nothing
// to read.
BOOST_AUTO_TEST_CASE(ReroutedAnswerRetainsItsCapacity) {
  const EngineModel model = LargeModel();
  std::vector<Accelerator> fleet;
  AddEngines(fleet, "a", "large", 3);
  fleet[0].layers = {0, 20};
  fleet[1].layers = {20, 50};
  fleet[2].layers = {50, 80};
  AddEngines(fleet, "b", "large", 1);
  fleet[3].layers = {50, 80};
  auto engines = Idle(fleet);
  PathQuery query = Query();
  query.current = {{engines[0].id, engines[0].address, {0, 20}},
                   {engines[1].id, engines[1].address, {20, 50}},
                   {engines[2].id, engines[2].address, {50, 80}}};
  engines[1].token_layers =
      TokenLayerCapacity(model, *model.FindKind("large"), 30) *
      PathSettings().capacity_share;
  engines.erase(engines.begin() + 2);
  Random random(1);
  const auto choice = FindPath(model, engines, query, {}, random);
  BOOST_REQUIRE(choice.path.has_value());
  BOOST_TEST(choice.path->stages[1].endpoint == engines[1].id);
}

/// Two failure domains, each with two halves of the model.
std::vector<Engine> TwoHalvesInTwoDomains() {
  std::vector<Accelerator> fleet;
  AddEngines(fleet, "a", "large", 2);
  AddEngines(fleet, "b", "large", 2);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet[i].layers =
        i % 2 == 0 ? pipeline::LayerRange{0, 40} : pipeline::LayerRange{40, 80};
  }
  return Idle(fleet);
}

// Guards against a burst that stalls every answer of the fleet: no domain had
// capacity on all layers, so answers ran along halves of two domains, and their
// prompts saturated the link that all domains share. Waiting for capacity
// serves more.
BOOST_AUTO_TEST_CASE(FullDomainsDoNotOverflowAcrossTheLink) {
  const EngineModel model = LargeModel();
  auto engines = TwoHalvesInTwoDomains();
  engines[1].token_layers = 1e9;
  engines[2].token_layers = 1e9;
  Random random(1);
  const auto choice = FindPath(model, engines, Query(), {}, random);
  BOOST_TEST(!choice.path.has_value());
  BOOST_CHECK(choice.no_path_reason == NoPathReason::kNoCapacity);
}

// Where no domain holds all layers, a path over two is the only way to serve.
BOOST_AUTO_TEST_CASE(DomainsThatLackLayersServeTogether) {
  const EngineModel model = LargeModel();
  auto engines = TwoHalvesInTwoDomains();
  engines[1].layers = {};
  engines[2].layers = {};
  Random random(1);
  const auto choice = FindPath(model, engines, Query(), {}, random);
  BOOST_REQUIRE(choice.path.has_value());
  BOOST_TEST(pipeline::IsExactCover(RangesOf(*choice.path), model.layers));
}

}  // namespace
}  // namespace toucanwharf::placement
