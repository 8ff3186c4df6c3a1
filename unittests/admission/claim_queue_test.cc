#include "toucanwharf/admission/claim_queue.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "toucanwharf/support/random.h"

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;

constexpr auto kAnyRank = [](int) { return true; };

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

QueuedClaim MakeClaim(const std::string& id, int rank, int arrived,
                      const std::string& customer = "c", double tokens = 1000) {
  Claim claim;
  claim.rank = rank;
  claim.customer = customer;
  claim.prompt_tokens = tokens / 2;
  claim.output_tokens = tokens / 2;
  claim.arrived = At(arrived);
  claim.on_time_until = At(arrived + 500);
  claim.useful_until = At(arrived + 2000);
  return {id, claim};
}

/// What became of the requests of one rank or customer.
struct Outcome {
  int served = 0;
  int on_time = 0;
  int refused = 0;
};

/// Serves a queue at a fixed number of requests a second and counts outcomes.
class Server {
 public:
  Server(ClaimQueue& claims, int millis_per_request)
      : queue(claims), period(millis_per_request) {}

  void Step(int now) {
    this->queue.Advance(At(now));
    if (now % this->period == 0) this->ServeOne(now);
    for (const QueuedClaim& refused : this->queue.TakeUnservable(At(now))) {
      ++this->by_rank[refused.claim.rank].refused;
      ++this->by_customer[refused.claim.customer].refused;
    }
  }

  std::map<int, Outcome> by_rank;
  std::map<std::string, Outcome> by_customer;

 private:
  void ServeOne(int now) {
    const auto next = this->queue.Front(kAnyRank);
    if (!next) return;
    this->queue.Take(At(now), next->id);
    const bool on_time = At(now) < next->claim.on_time_until;
    for (Outcome* outcome : {&this->by_rank[next->claim.rank],
                             &this->by_customer[next->claim.customer]}) {
      ++outcome->served;
      if (on_time) ++outcome->on_time;
    }
  }

  ClaimQueue& queue;
  int period;
};

/// Serves 100 of about 200 requests a second of three ranks for 3 s.
std::map<int, Outcome> ServeTooFew(const ClaimQueueSettings& settings) {
  ClaimQueue queue(settings);
  Server server(queue, 10);
  int id = 0;
  for (int now = 0; now < 3000; ++now) {
    const auto push = [&](int rank) {
      queue.Push(At(now), MakeClaim(std::to_string(++id), rank, now));
    };
    if (now % 25 == 0) push(0);
    if (now % 20 == 1) push(1);
    if (now % 9 == 2) push(2);
    server.Step(now);
  }
  return server.by_rank;
}

// In order of arrival each rank would lose half, the most urgent one too.
BOOST_AUTO_TEST_CASE(UpperRanksLoseNothingWhileTheyFit) {
  std::map<int, Outcome> by_rank = ServeTooFew({});
  BOOST_TEST(by_rank[0].refused == 0);
  BOOST_TEST(by_rank[1].refused == 0);
  BOOST_TEST(by_rank[0].on_time == by_rank[0].served);
  BOOST_TEST(by_rank[1].on_time >= by_rank[1].served * 95 / 100);
  BOOST_TEST(by_rank[2].refused > 100);
  ClaimQueueSettings by_arrival;
  by_arrival.ordered = false;
  std::map<int, Outcome> baseline = ServeTooFew(by_arrival);
  BOOST_TEST_MESSAGE("by arrival: refused of rank 0 "
                     << baseline[0].refused << ", rank 1 "
                     << baseline[1].refused << ", rank 2 "
                     << baseline[2].refused);
  BOOST_TEST(baseline[0].refused > 0);
}

// A lasting overload by urgent requests must not starve a lesser rank, nor let
// it be served as often as they are.
BOOST_AUTO_TEST_CASE(LesserRankKeepsItsLeastPart) {
  ClaimQueue queue;
  Server server(queue, 10);
  int id = 0;
  for (int now = 0; now < 20000; ++now) {
    if (now % 5 == 0) {
      queue.Push(At(now), MakeClaim(std::to_string(++id), 0, now));
    }
    if (now % 20 == 1) {
      queue.Push(At(now), MakeClaim(std::to_string(++id), 2, now));
    }
    server.Step(now);
  }
  BOOST_TEST(server.by_rank[2].served >= 2000 * 15 / 1000);
  BOOST_TEST(server.by_rank[2].served <= 2000 * 5 / 100);
}

// A less urgent request that costs more than a rank may save up is never
// served, and keeps the rest of its rank waiting.
BOOST_AUTO_TEST_CASE(LargeRequestOfALesserRankIsServed) {
  ClaimQueue queue;
  queue.Push(At(0), MakeClaim("large", 2, 0, "c", 8000));
  bool served = false;
  int rounds = 0;
  for (; rounds < 2000 && !served; ++rounds) {
    queue.Push(At(0), MakeClaim(std::to_string(rounds), 0, 0));
    const auto next = queue.Front(kAnyRank);
    served = next->id == "large";
    queue.Take(At(0), next->id);
  }
  BOOST_TEST(served);
  // Its part is 1 in 50 of the cost that is served beside it.
  BOOST_TEST(rounds > 8 * 50);
}

// One customer at ten times the part of nine others would take most of what is
// served.
BOOST_AUTO_TEST_CASE(HeavyCustomerTakesNobodysPlace) {
  ClaimQueue queue;
  Server server(queue, 10);
  int id = 0;
  for (int now = 0; now < 5000; ++now) {
    if (now % 10 == 0) {
      queue.Push(At(now), MakeClaim(std::to_string(++id), 1, now, "heavy"));
    }
    if (now % 11 == 1) {
      const std::string customer = "small" + std::to_string(id % 9);
      queue.Push(At(now), MakeClaim(std::to_string(++id), 1, now, customer));
    }
    server.Step(now);
  }
  for (const auto& [customer, outcome] : server.by_customer) {
    if (customer == "heavy") continue;
    BOOST_TEST(outcome.refused <= outcome.served / 10, customer);
  }
}

// A long answer at the front would keep all shorter ones waiting; passed at
// once, it would never be placed.
BOOST_AUTO_TEST_CASE(SmallerWorkPassesALongAnswerAfterAMoment) {
  ClaimQueue queue;
  queue.Push(At(0), MakeClaim("long", 0, 0, "c", 4000));
  queue.Push(At(1), MakeClaim("short", 1, 1, "c", 500));
  BOOST_REQUIRE(queue.Front(kAnyRank)->id == "long");
  BOOST_TEST(!queue.PassBlocked(At(99), "long"));
  const auto smaller = queue.PassBlocked(At(100), "long");
  BOOST_REQUIRE(smaller.has_value());
  BOOST_TEST(smaller->id == "short");
}

// Short work that keeps coming takes all that comes free, and a long answer of
// a more urgent rank is never placed.
BOOST_AUTO_TEST_CASE(OneSmallerRequestPassesAtATime) {
  ClaimQueue queue;
  queue.Push(At(0), MakeClaim("long", 0, 0, "c", 4000));
  for (const std::string id : {"a", "b"}) {
    queue.Push(At(0), MakeClaim(id, 1, 0, "c", 500));
  }
  const auto passed = queue.PassBlocked(At(100), "long");
  BOOST_REQUIRE(passed.has_value());
  queue.Take(At(100), passed->id);
  BOOST_TEST(!queue.PassBlocked(At(120), "long"));
  BOOST_TEST(queue.PassBlocked(At(200), "long").has_value());
}

// A large request of a lesser rank that is owed its part finds no capacity, and
// all of a more urgent rank wait behind it.
BOOST_AUTO_TEST_CASE(OwedRequestWithoutCapacityLosesItsTurn) {
  ClaimQueue queue;
  queue.Push(At(0), MakeClaim("large", 2, 0, "c", 2000));
  int now = 0;
  for (;; ++now) {
    queue.Push(At(now), MakeClaim(std::to_string(now), 0, now));
    const std::string first = queue.Front(kAnyRank)->id;
    if (first == "large") break;
    queue.Take(At(now), first);
  }
  BOOST_TEST(!queue.PassBlocked(At(now + 50), "large"));
  const auto urgent = queue.PassBlocked(At(now + 100), "large");
  BOOST_REQUIRE(urgent.has_value());
  BOOST_TEST(urgent->claim.rank == 0);
  BOOST_TEST(queue.Front(kAnyRank)->claim.rank == 0);
}

// Who has come back is refused a second time although capacity comes free
// before the caller gives up.
BOOST_AUTO_TEST_CASE(ReturnedCallerWaitsForAsLongAsItHelps) {
  ClaimQueue queue;
  QueuedClaim returned = MakeClaim("returned", 1, 0);
  returned.claim.returned = true;
  returned.claim.on_time_until = At(-100);
  queue.Push(At(0), returned);
  QueuedClaim late = MakeClaim("late", 1, 0);
  queue.Push(At(0), late);
  queue.Advance(At(400));
  BOOST_TEST(queue.Front(kAnyRank)->id == "returned");
  const auto refused = queue.TakeUnservable(At(400));
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(refused.front().id == "late");
  BOOST_TEST(queue.TakeUnservable(At(1799)).empty());
  BOOST_TEST(queue.TakeUnservable(At(1800)).size() == 1U);
}

// A request that can still be on time is queued and refused because of late
// ones, which go after it.
BOOST_AUTO_TEST_CASE(LateRequestsAreNotCountedAheadOfThoseOnTime) {
  ClaimQueue queue;
  QueuedClaim late = MakeClaim("late", 1, 0);
  late.claim.returned = true;
  late.claim.on_time_until = At(100);
  queue.Push(At(0), late);
  const Claim on_time = MakeClaim("on time", 1, 0).claim;
  BOOST_TEST(queue.CountAhead(At(0), on_time) == 0U);
  BOOST_TEST((queue.ExpectedWait(At(0), on_time) == Duration(0)));
  queue.Push(At(0), {"on time", on_time});
  BOOST_TEST(queue.Front(kAnyRank)->id == "on time");
  BOOST_TEST(queue.CountAhead(At(0), late.claim) == 1U);
}

// When urgent requests expire together, a less urgent one is refused for want
// of the capacity that they don't take any more.
BOOST_AUTO_TEST_CASE(RefusedRequestsAreNotCountedAheadOfOthers) {
  ClaimQueue queue;
  // Capacity for five requests a second.
  for (int i = 0; i < 30; ++i) {
    queue.Push(At(0), MakeClaim(std::to_string(i), 0, 0));
  }
  for (int i = 0; i < 10; ++i) {
    queue.Take(At(200 * i), std::to_string(i));
  }
  const QueuedClaim last = MakeClaim("last", 1, 1800);
  queue.Push(At(1800), last);
  BOOST_TEST((queue.ExpectedWait(At(1800), last.claim) > milliseconds(2000)));
  BOOST_REQUIRE(queue.TakeUnservable(At(1800)).size() == 20U);
  BOOST_TEST(queue.Front(kAnyRank)->id == "last");
}

// A request is refused because of the backlog of another customer, although the
// shares let it be served next.
BOOST_AUTO_TEST_CASE(BacklogOfAnotherCustomerCountsByItsShare) {
  ClaimQueue queue;
  // Capacity for five requests a second.
  for (int i = 0; i < 10; ++i) {
    QueuedClaim patient = MakeClaim(std::to_string(i), 0, 0);
    patient.claim.on_time_until = At(60000);
    patient.claim.useful_until = At(60000);
    queue.Push(At(0), patient);
  }
  for (int i = 0; i < 9; ++i) queue.Take(At(200 * i), std::to_string(i));
  for (int i = 0; i < 30; ++i) {
    queue.Push(At(1800), MakeClaim("h" + std::to_string(i), 0, 1800, "heavy"));
  }
  queue.Take(At(1800), "9");
  queue.Push(At(1801), MakeClaim("light", 0, 1801, "light"));
  queue.Take(At(1801), "h0");
  BOOST_TEST(queue.Front(kAnyRank)->id == "light");
  const auto refused = queue.TakeUnservable(At(1801));
  // The other customer's own backlog counts in full.
  BOOST_TEST(refused.size() > 10U);
  for (const auto& one : refused) BOOST_TEST(one.id != "light");
}

// An instance that stops keeps requests waiting until it ends, and refuses
// none.
BOOST_AUTO_TEST_CASE(AtAStopLateRequestsAreRefused) {
  ClaimQueue queue;
  QueuedClaim returned = MakeClaim("returned", 1, 0);
  returned.claim.returned = true;
  returned.claim.useful_until = At(30000);
  queue.Push(At(0), returned);
  queue.Push(At(200), MakeClaim("on time", 1, 200));
  BOOST_TEST(queue.TakeLate(At(300)).empty());
  BOOST_TEST(queue.TakeUnservable(At(400)).empty());
  const auto late = queue.TakeLate(At(400));
  BOOST_REQUIRE(late.size() == 1U);
  BOOST_TEST(late.front().id == "returned");
  BOOST_TEST(queue.Front(kAnyRank)->id == "on time");
}

// A rank that leaves capacity to others must not keep more urgent work back.
BOOST_AUTO_TEST_CASE(HeldRankIsPassedOver) {
  ClaimQueue queue;
  queue.Push(At(0), MakeClaim("a", 1, 0));
  queue.Push(At(0), MakeClaim("b", 2, 0));
  BOOST_TEST(queue.Front([](int rank) { return rank != 1; })->id == "b");
  BOOST_TEST(!queue.Front([](int) { return false; }).has_value());
}

// The least parts of the lesser ranks must not add up to more than 5 in 100 of
// what is served while a more urgent request waits.
RC_BOOST_PROP(LesserRanksPassMoreUrgentOnesRarely, ()) {
  ClaimQueue queue;
  std::map<std::string, int> waiting;
  const int burst = *rc::gen::inRange(1, 5);
  const int max_tokens = *rc::gen::inRange(100, 4000);
  const bool mostly_urgent = *rc::gen::arbitrary<bool>();
  Random random(*rc::gen::arbitrary<std::uint64_t>());
  const auto below = [&](int bound) {
    return static_cast<int>(random.Below(static_cast<std::uint64_t>(bound)));
  };
  double served = 0;
  double passed = 0;
  for (int now = 0; now < 4000; now += 10) {
    for (int i = below(burst + 1); i > 0; --i) {
      const std::string id = std::to_string(now) + "." + std::to_string(i);
      const int rank = mostly_urgent ? std::min(below(3), below(3)) : below(3);
      const QueuedClaim pushed = MakeClaim(
          id, rank, now, std::to_string(below(4)), 100 + below(max_tokens));
      queue.Push(At(now), pushed);
      waiting[id] = rank;
    }
    queue.Advance(At(now));
    if (const auto next = queue.Front(kAnyRank)) {
      queue.Take(At(now), next->id);
      waiting.erase(next->id);
      const double cost = next->claim.Cost();
      served += cost;
      const bool passes = std::any_of(
          waiting.begin(), waiting.end(),
          [&](const auto& other) { return other.second < next->claim.rank; });
      if (passes) passed += cost;
    }
    for (const auto& refused : queue.TakeUnservable(At(now))) {
      waiting.erase(refused.id);
    }
  }
  RC_ASSERT(passed <= served * 0.05);
}

RC_BOOST_PROP(NothingIsLostOrServedTwice, ()) {
  ClaimQueue queue;
  std::set<std::string> waiting;
  const int steps = *rc::gen::inRange(1, 200);
  for (int now = 0; now < steps * 10; now += 10) {
    const int action = *rc::gen::inRange(0, 3);
    if (action < 2) {
      QueuedClaim pushed = MakeClaim(
          std::to_string(now), *rc::gen::inRange(-1, 11), now,
          std::to_string(*rc::gen::inRange(0, 4)), *rc::gen::inRange(1, 4000));
      pushed.claim.returned = *rc::gen::arbitrary<bool>();
      queue.Push(At(now), pushed);
      waiting.insert(pushed.id);
    }
    queue.Advance(At(now));
    const auto next = queue.Front(kAnyRank);
    RC_ASSERT(next.has_value() == !waiting.empty());
    if (next && action == 2) {
      queue.Take(At(now), next->id);
      RC_ASSERT(waiting.erase(next->id) == 1U);
    }
    const bool rate_known = queue.DrainRate(At(now)) > 0;
    for (const auto& refused : queue.TakeUnservable(At(now))) {
      RC_ASSERT(waiting.erase(refused.id) == 1U);
      const bool expired =
          At(now) + milliseconds(200) > refused.claim.on_time_until;
      RC_ASSERT(expired || rate_known);
    }
    RC_ASSERT(queue.size() == waiting.size());
  }
}

}  // namespace
}  // namespace toucanwharf::admission
