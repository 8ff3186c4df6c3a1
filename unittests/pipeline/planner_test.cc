#include "toucanwharf/pipeline/planner.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

const PinnedModel kModel{"qa-model", "v1", ""};

EndpointView View(const std::string& id, const std::string& domain,
                  LayerRange layers, int micros) {
  EndpointView view;
  view.id = id;
  view.failure_domain = domain;
  view.model = kModel.model;
  view.version = kModel.version;
  view.layers = layers;
  view.layer_time = Duration(micros);
  return view;
}

PlanQuery Query(std::uint32_t layers, std::uint32_t output = 10) {
  PlanQuery query;
  query.model = kModel;
  query.layers = layers;
  query.output_tokens = output;
  return query;
}

LinkCosts NoLinks() {
  LinkCosts links;
  links.same_domain = Duration(0);
  links.other_domain = Duration(0);
  return links;
}

/// Returns the cost of the cheapest cover by exhaustive search, or nothing.
std::optional<Duration> CheapestCoverCost(
    const std::vector<EndpointView>& views, const LinkCosts& links,
    const std::string& domain, std::uint32_t first_layer,
    const PlanQuery& query) {
  if (first_layer == query.layers) return Duration(0);
  std::optional<Duration> best;
  for (const EndpointView& view : views) {
    const bool fits = view.layers.begin == first_layer &&
                      view.state == EndpointState::kLive &&
                      view.layers.end <= query.layers;
    if (!fits || query.excluded.contains(view.id)) continue;
    const auto rest = CheapestCoverCost(views, links, view.failure_domain,
                                        view.layers.end, query);
    if (!rest) continue;
    const int crossings = first_layer == 0 ? 1 : 2;
    const Duration token =
        view.layer_time * view.layers.Count() +
        links.Between(domain, view.failure_domain) * crossings;
    const Duration cost =
        view.expected_wait + token * query.output_tokens + *rest;
    if (!best || cost < *best) best = cost;
  }
  return best;
}

/// At most one endpoint per layer range and failure domain, so that random
/// draws can't miss the best one.
std::vector<EndpointView> SomeFleet(std::uint32_t layers) {
  std::map<std::string, EndpointView> views;
  const int count = *rc::gen::inRange(0, 12);
  for (int index = 0; index < count; ++index) {
    const auto begin = *rc::gen::inRange<std::uint32_t>(0, layers);
    const auto end = *rc::gen::inRange<std::uint32_t>(begin + 1, layers + 1);
    const std::string domain(1, *rc::gen::elementOf(std::string("xyz")));
    const std::string id =
        std::to_string(begin) + "-" + std::to_string(end) + domain;
    EndpointView view =
        View(id, domain, {begin, end}, *rc::gen::inRange(1, 1000));
    view.expected_wait = Duration(*rc::gen::inRange(0, 5000));
    view.state = *rc::gen::weightedElement<EndpointState>(
        {{4, EndpointState::kLive},
         {1, EndpointState::kLeaving},
         {1, EndpointState::kEjected}});
    views[id] = view;
  }
  std::vector<EndpointView> fleet;
  for (const auto& [id, view] : views) fleet.push_back(view);
  return fleet;
}

// I1, I5: a plan must run each layer once and in order, on live endpoints that
// are not excluded, and no other cover may finish earlier.
RC_BOOST_PROP(PlanIsTheCheapestExactCover, (std::uint64_t seed)) {
  constexpr std::uint32_t kLayers = 5;
  const std::vector<EndpointView> fleet = SomeFleet(kLayers);
  PlanQuery query = Query(kLayers);
  if (!fleet.empty()) query.excluded.insert(fleet.front().id);
  Random random(seed);
  const LinkCosts links;
  const auto plan = PlanAnswer(fleet, query, "x", links, random);
  const auto best = CheapestCoverCost(fleet, links, "x", 0, query);
  RC_ASSERT(plan.has_value() == best.has_value());
  if (!plan) {
    RC_ASSERT(plan.error() == Error::kNoCover);
    return;
  }
  std::vector<LayerRange> ranges;
  for (const Stage& stage : plan.value().stages) {
    ranges.push_back(stage.layers);
    RC_ASSERT(!query.excluded.contains(stage.endpoint));
  }
  RC_ASSERT(IsExactCover(ranges, kLayers));
  const PlanTimes& times = plan.value().times;
  RC_ASSERT(times.wait + times.token_gap * query.output_tokens == *best);
}

// An endpoint announces that it is leaving. From then on no answer may start on
// it (I5), and if no other endpoint holds its layers, they are reported as
// missing.
BOOST_AUTO_TEST_CASE(LeavingEndpointIsInNoPlan) {
  PlanIndex index("x", NoLinks());
  index.Update(View("a", "x", {0, 2}, 10));
  index.Update(View("b", "x", {2, 4}, 10));
  Random random(1);
  BOOST_TEST(index.Choose(Query(4), random).has_value());
  EndpointView leaving = View("b", "x", {2, 4}, 10);
  leaving.state = EndpointState::kLeaving;
  index.Update(leaving);
  BOOST_TEST(!index.Choose(Query(4), random).has_value());
  BOOST_TEST((index.MissingLayers(Query(4)) ==
              std::vector<LayerRange>{LayerRange{2, 4}}));
}

BOOST_AUTO_TEST_CASE(OnlyThePinnedVersionAndAdapterServe) {
  PlanIndex index("x", NoLinks());
  EndpointView view = View("a", "x", {0, 4}, 10);
  view.adapters = {"kohl"};
  index.Update(view);
  Random random(1);
  PlanQuery query = Query(4);
  query.model.adapter = "kohl";
  BOOST_TEST(index.Choose(query, random).has_value());
  query.model.adapter = "argan";
  BOOST_TEST(!index.Choose(query, random).has_value());
  query.model = {"qa-model", "v2", ""};
  BOOST_TEST(!index.Choose(query, random).has_value());
}

// The delay between two failure domains grows a hundredfold. A slower engine in
// the router's domain then finishes earlier than a fast one across the link.
BOOST_AUTO_TEST_CASE(SlowLinkOutweighsAFasterEngine) {
  LinkCosts links;
  PlanIndex index("x", links);
  index.Update(View("near", "x", {0, 4}, 300));
  index.Update(View("far", "y", {0, 4}, 100));
  Random random(1);
  BOOST_TEST(index.Choose(Query(4), random).value().stages[0].endpoint ==
             "far");
  links.between[{"x", "y"}] = std::chrono::milliseconds(50);
  index.UpdateLinks(links);
  BOOST_TEST(index.Choose(Query(4), random).value().stages[0].endpoint ==
             "near");
}

// Six routers read the same report, in which one endpoint is idle. If each sent
// its work there, the queue would be six times as long as planned.
BOOST_AUTO_TEST_CASE(RoutersOnTheSameReportDoNotAllChooseTheSame) {
  constexpr int kEndpoints = 16;
  std::map<std::string, int> chosen;
  for (std::uint64_t router = 0; router < 6; ++router) {
    PlanIndex index("x", NoLinks());
    for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      EndpointView view = View("e" + std::to_string(endpoint), "x", {0, 4}, 10);
      view.expected_wait = Duration(endpoint * 100);
      index.Update(view);
    }
    Random random(router);
    for (int answer = 0; answer < 100; ++answer) {
      ++chosen[index.Choose(Query(4), random).value().stages[0].endpoint];
    }
  }
  // Two draws give the best of 16 a share of 31/256.
  BOOST_TEST(chosen["e0"] < 600 / 5);
  BOOST_TEST(chosen["e0"] > chosen["e15"]);
}

BOOST_AUTO_TEST_CASE(RemovedAndChangedEndpointsLeaveNoStaleEntries) {
  PlanIndex index("x", NoLinks());
  Random random(3);
  for (int round = 0; round < 50; ++round) {
    index.Update(View("a", "x", {0, 4}, 1 + round));
    index.Update(View("b", "y", {0, 4}, 100));
    index.Update(View("a", "z", {0, 2}, 7));
    index.Remove("b");
    BOOST_TEST(!index.Choose(Query(4), random).has_value());
  }
  BOOST_TEST(index.Size() == 1u);
}

}  // namespace
}  // namespace toucanwharf::pipeline
