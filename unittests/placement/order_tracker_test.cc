#include "toucanwharf/placement/order_tracker.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <vector>

namespace toucanwharf::placement {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

EngineReport Report(std::uint32_t begin, std::uint32_t end,
                    std::uint64_t sequence) {
  return {{begin, end}, sequence, false, 1};
}

OrderTracker TrackerWithTarget(std::uint32_t begin, std::uint32_t end) {
  OrderTracker tracker;
  tracker.SetTargetLayout({{"engine", {begin, end}}});
  return tracker;
}

BOOST_AUTO_TEST_CASE(OrderStatesTheSequenceItIsValidFor) {
  OrderTracker tracker = TrackerWithTarget(0, 26);
  BOOST_TEST(tracker.NeedsReport("engine"));
  BOOST_TEST(!tracker.Next("engine", At(0)).has_value());
  tracker.OnReport("engine", Report(0, 0, 3), At(0));
  const auto order = tracker.Next("engine", At(10));
  BOOST_REQUIRE(order.has_value());
  BOOST_CHECK(*order == (PlaceOrder{"engine", {0, 26}, 3}));
  BOOST_TEST(!tracker.Next("engine", At(20)).has_value());
}

// The response to an order is lost. Until a report that was requested later
// shows how many orders the engine has begun, no other order is sent.
BOOST_AUTO_TEST_CASE(OrderOfUnknownOutcomeNeedsAReportFirst) {
  OrderTracker tracker = TrackerWithTarget(0, 26);
  tracker.OnReport("engine", Report(0, 0, 0), At(0));
  BOOST_REQUIRE(tracker.Next("engine", At(10)).has_value());
  tracker.OnOutcome("engine", OrderOutcome::kUnknown, At(500));
  BOOST_TEST(!tracker.Next("engine", At(510)).has_value());
  // Requested before the order could show in a report.
  tracker.OnReport("engine", Report(0, 0, 0), At(600));
  BOOST_TEST(!tracker.Next("engine", At(700)).has_value());
  tracker.OnReport("engine", Report(0, 0, 0), At(1000));
  const auto again = tracker.Next("engine", At(1010));
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->sequence == 0U);
}

/// An engine that carries out orders late, as engines of the platform may.
struct LateEngine {
  pipeline::LayerRange layers;
  std::uint64_t sequence = 0;
  std::vector<PlaceOrder> late;

  bool CarryOut(const PlaceOrder& order) {
    if (order.sequence != this->sequence) return false;
    this->layers = order.layers;
    ++this->sequence;
    return true;
  }
};

// Orders get no response and are carried out seconds later, after newer ones.
// For any order of events, the engine finally holds the target and keeps it.
RC_BOOST_PROP(LateOrdersDoNotUndoNewerOnes, ()) {
  OrderTracker tracker;
  LateEngine engine;
  TimePoint now = At(1000);
  pipeline::LayerRange target;
  for (int step = 0; step < 30; ++step) {
    now = now + milliseconds(600);
    if (*rc::gen::inRange(0, 4) == 0) {
      target = {0, *rc::gen::inRange<std::uint32_t>(1, 30)};
      tracker.SetTargetLayout({{"engine", target}});
    }
    if (!engine.late.empty() && *rc::gen::arbitrary<bool>()) {
      engine.CarryOut(engine.late.front());
      engine.late.erase(engine.late.begin());
    }
    tracker.OnReport("engine", {engine.layers, engine.sequence, false, 1}, now);
    const auto order = tracker.Next("engine", now);
    if (!order) continue;
    if (*rc::gen::arbitrary<bool>()) {
      engine.late.push_back(*order);
      tracker.OnOutcome("engine", OrderOutcome::kUnknown, now);
    } else {
      tracker.OnOutcome("engine",
                        engine.CarryOut(*order) ? OrderOutcome::kAccepted
                                                : OrderOutcome::kRefused,
                        now);
    }
  }
  for (const PlaceOrder& order : engine.late) engine.CarryOut(order);
  for (int step = 0; step < 3; ++step) {
    now = now + milliseconds(600);
    tracker.OnReport("engine", {engine.layers, engine.sequence, false, 1}, now);
    const auto order = tracker.Next("engine", now);
    if (!order) continue;
    engine.CarryOut(*order);
    tracker.OnOutcome("engine", OrderOutcome::kAccepted, now);
  }
  RC_ASSERT(engine.layers == target);
}

}  // namespace
}  // namespace toucanwharf::placement
