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

OrderTracker Wanting(std::uint32_t begin, std::uint32_t end) {
  OrderTracker book;
  book.SetTargetLayout({{"engine", {begin, end}}});
  return book;
}

BOOST_AUTO_TEST_CASE(OrderNamesTheCountItIsGoodFor) {
  OrderTracker book = Wanting(0, 26);
  BOOST_TEST(book.NeedsReport("engine"));
  BOOST_TEST(!book.Next("engine", At(0)).has_value());
  book.OnReport("engine", Report(0, 0, 3), At(0));
  const auto order = book.Next("engine", At(10));
  BOOST_REQUIRE(order.has_value());
  BOOST_CHECK(*order == (PlaceOrder{"engine", {0, 26}, 3}));
  BOOST_TEST(!book.Next("engine", At(20)).has_value());
}

// The answer to an order is lost. Until a report that was asked for later tells
// how many orders the engine has begun, no other order is given.
BOOST_AUTO_TEST_CASE(UnknownOrderIsReadBackFirst) {
  OrderTracker book = Wanting(0, 26);
  book.OnReport("engine", Report(0, 0, 0), At(0));
  BOOST_REQUIRE(book.Next("engine", At(10)).has_value());
  book.OnOutcome("engine", OrderOutcome::kUnknown, At(500));
  BOOST_TEST(!book.Next("engine", At(510)).has_value());
  // Asked for before the order could show in a report.
  book.OnReport("engine", Report(0, 0, 0), At(600));
  BOOST_TEST(!book.Next("engine", At(700)).has_value());
  book.OnReport("engine", Report(0, 0, 0), At(1000));
  const auto again = book.Next("engine", At(1010));
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again->sequence == 0U);
}

/// An engine that carries orders out late, as the platform's may.
struct LateEngine {
  pipeline::LayerRange layers;
  std::uint64_t sequence = 0;
  std::vector<PlaceOrder> late;

  bool Take(const PlaceOrder& order) {
    if (order.sequence != this->sequence) return false;
    this->layers = order.layers;
    ++this->sequence;
    return true;
  }
};

// Orders get no answer and are carried out seconds later, after newer ones.
// Whatever the order of events, the engine comes to hold what is wanted and
// stays so.
RC_BOOST_PROP(LateOrdersDoNotUndoNewerOnes, ()) {
  OrderTracker book;
  LateEngine engine;
  TimePoint now = At(1000);
  pipeline::LayerRange wanted;
  for (int step = 0; step < 30; ++step) {
    now = now + milliseconds(600);
    if (*rc::gen::inRange(0, 4) == 0) {
      wanted = {0, *rc::gen::inRange<std::uint32_t>(1, 30)};
      book.SetTargetLayout({{"engine", wanted}});
    }
    if (!engine.late.empty() && *rc::gen::arbitrary<bool>()) {
      engine.Take(engine.late.front());
      engine.late.erase(engine.late.begin());
    }
    book.OnReport("engine", {engine.layers, engine.sequence, false, 1}, now);
    const auto order = book.Next("engine", now);
    if (!order) continue;
    if (*rc::gen::arbitrary<bool>()) {
      engine.late.push_back(*order);
      book.OnOutcome("engine", OrderOutcome::kUnknown, now);
    } else {
      book.OnOutcome("engine",
                     engine.Take(*order) ? OrderOutcome::kAccepted
                                         : OrderOutcome::kRefused,
                     now);
    }
  }
  for (const PlaceOrder& order : engine.late) engine.Take(order);
  for (int step = 0; step < 3; ++step) {
    now = now + milliseconds(600);
    book.OnReport("engine", {engine.layers, engine.sequence, false, 1}, now);
    const auto order = book.Next("engine", now);
    if (!order) continue;
    engine.Take(*order);
    book.OnOutcome("engine", OrderOutcome::kAccepted, now);
  }
  RC_ASSERT(engine.layers == wanted);
}

}  // namespace
}  // namespace toucanwharf::placement
