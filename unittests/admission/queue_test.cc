#include "toucanwharf/admission/queue.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "toucanwharf/admission/retry_budget.h"

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// In order of arrival: what the queue is held against.
class ArrivalQueue {
 public:
  CustomerNumber NumberOf(const std::string& name) {
    return this->names.NumberOf(name);
  }
  void Push(TimePoint, const Ticket& ticket) {
    this->tickets.push_back(ticket);
  }
  std::optional<Ticket> Next(TimePoint) {
    if (this->tickets.empty()) return std::nullopt;
    const Ticket first = this->tickets.front();
    this->tickets.pop_front();
    return first;
  }

 private:
  Shares names;
  std::deque<Ticket> tickets;
};

class OurQueue {
 public:
  CustomerNumber NumberOf(const std::string& name) {
    return this->queue.SharesOf().NumberOf(name);
  }
  void Push(TimePoint now, const Ticket& ticket) {
    this->queue.Push(now, ticket);
  }
  std::optional<Ticket> Next(TimePoint now) {
    const Ticket* front = this->queue.Front();
    if (front == nullptr) return std::nullopt;
    return this->queue.Take(now, front->id);
  }

 private:
  FairQueue queue;
};

/// One server of 1000 tokens a second behind a queue, on virtual time.
template <typename Queue>
class Play {
 public:
  void Arrive(TimePoint at, const std::string& customer, double cost,
              Duration patience = seconds(60)) {
    Ticket ticket;
    ticket.id = std::to_string(this->count++);
    ticket.customer = this->queue.NumberOf(customer);
    ticket.cost = cost;
    ticket.arrived = at;
    ticket.deadline = at + patience;
    this->queue.Push(at, ticket);
  }

  /// Serves all; returns the longest wait of `customer` by size of work.
  std::map<double, Duration> LongestWaits(const std::string& customer) {
    std::map<double, Duration> waits;
    TimePoint now;
    while (const auto next = this->queue.Next(now)) {
      Duration& longest = waits[next->cost];
      if (next->customer == this->queue.NumberOf(customer)) {
        longest = std::max(longest, now - next->arrived);
      }
      now = now + Duration{static_cast<std::int64_t>(next->cost * 1000)};
    }
    return waits;
  }

 private:
  Queue queue;
  int count = 0;
};

template <typename Queue>
Duration SmallCustomersWait() {
  Play<Queue> play;
  for (int request = 0; request < 100; ++request) {
    play.Arrive(TimePoint{}, "large", 100);
  }
  for (int request = 0; request < 3; ++request) {
    play.Arrive(TimePoint{}, "small", 100);
  }
  return play.LongestWaits("small").at(100);
}

// A large customer sends a burst of a hundred requests, a small one three
// right after. In order of arrival the small one waits ten seconds.
BOOST_AUTO_TEST_CASE(BurstOfOneCustomerIsNotEveryonesWait) {
  BOOST_TEST(SmallCustomersWait<ArrivalQueue>().count() >= 10000000);
  BOOST_TEST(SmallCustomersWait<OurQueue>().count() <= 1200000);
}

template <typename Queue>
Duration ShortWorksWait() {
  Play<Queue> play;
  for (int request = 0; request < 10; ++request) {
    play.Arrive(TimePoint{}, "one", 2000);
  }
  for (int request = 0; request < 10; ++request) {
    play.Arrive(TimePoint{}, "one", 20);
  }
  return play.LongestWaits("one").at(20);
}

// A customer queues ten reports and then ten short questions. In order of
// arrival the questions wait for all reports, twenty seconds.
BOOST_AUTO_TEST_CASE(ShortWorkIsNotStuckBehindLong) {
  BOOST_TEST(ShortWorksWait<ArrivalQueue>().count() >= 20000000);
  BOOST_TEST(ShortWorksWait<OurQueue>().count() <= 2200000);
}

template <typename Queue>
Duration UrgentWorksWait() {
  Play<Queue> play;
  for (int request = 0; request < 20; ++request) {
    play.Arrive(TimePoint{}, "a", 100, seconds(60));
  }
  play.Arrive(TimePoint{}, "a", 101, seconds(1));
  return play.LongestWaits("a").at(101);
}

BOOST_AUTO_TEST_CASE(EarliestDeadlineGoesFirstWithinACustomer) {
  BOOST_TEST(UrgentWorksWait<ArrivalQueue>().count() >= 2000000);
  BOOST_TEST(UrgentWorksWait<OurQueue>().count() == 0);
}

Ticket MakeTicket(FairQueue& queue, const std::string& id, TimePoint now) {
  Ticket ticket;
  ticket.id = id;
  ticket.customer = queue.SharesOf().NumberOf("c");
  ticket.cost = 100;
  ticket.arrived = now;
  ticket.deadline = now + seconds(5);
  ticket.least_service = milliseconds(500);
  return ticket;
}

// All endpoints stall while requests wait. Holding them until their deadline
// has passed would cost their callers the time to go elsewhere.
BOOST_AUTO_TEST_CASE(LostRequestIsGivenUpAtOnce) {
  FairQueue queue;
  const TimePoint start;
  queue.Push(start, MakeTicket(queue, "r", start));
  BOOST_TEST(queue.TakeLapsed(start + milliseconds(4250)).empty());
  // 4.25 s are the last moment at which half a second of prefill and a quarter
  // of delay at the endpoint still fit.
  BOOST_TEST(queue.TakeLapsed(start + milliseconds(4251)).size() == 1u);
  BOOST_TEST(queue.size() == 0u);
}

BOOST_AUTO_TEST_CASE(ExpectedWaitFollowsTheDrainRate) {
  FairQueue queue;
  TimePoint now;
  for (int at = 0; at < 100; ++at) {
    queue.Push(now, MakeTicket(queue, std::to_string(at), now));
  }
  // 1,000 tokens a second leave.
  for (int at = 0; at < 50; ++at) {
    now = now + milliseconds(100);
    queue.Take(now, queue.Front()->id);
  }
  const CustomerNumber same = queue.SharesOf().NumberOf("c");
  const CustomerNumber other = queue.SharesOf().NumberOf("d");
  const double wait =
      std::chrono::duration<double>(*queue.ExpectedWait(now, same, 100))
          .count();
  BOOST_TEST(wait > 4.5);
  BOOST_TEST(wait < 5.5);
  BOOST_TEST(queue.ExpectedWait(now, other, 100)->count() == 0);
  // Nothing leaves any more: within seconds the estimate says so.
  now = now + seconds(3);
  BOOST_TEST(queue.ExpectedWait(now, same, 100)->count() > 15000000);
}

/// Callers that try each request up to four times against endpoints that fail
/// all. Returns tries for each request.
double TriesInAStorm(RetryBudget budget) {
  int tries = 0;
  TimePoint now;
  for (int request = 0; request < 10000; ++request) {
    now = now + milliseconds(1);
    budget.FirstTry(now);
    ++tries;
    for (int retry = 0; retry < 3; ++retry) {
      if (!budget.TakeRetry(now, TryOutcome::kNotRun, true)) break;
      ++tries;
    }
  }
  return tries / 10000.0;
}

// Every endpoint refuses for ten seconds. With three retries for each request
// the load is four times what already was too much.
BOOST_AUTO_TEST_CASE(RetriesDoNotFeedAStorm) {
  RetryBudgetSettings naive;
  naive.share = 3;
  naive.most = 1e9;
  BOOST_TEST(TriesInAStorm(RetryBudget(naive)) == 4.0);
  BOOST_TEST(TriesInAStorm(RetryBudget{}) < 1.12);
}

// A signature was sent and the connection broke. A second try could sign the
// lot twice (I4).
BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsNotTriedAgain) {
  RetryBudget budget;
  budget.FirstTry(TimePoint{});
  BOOST_TEST(!budget.TakeRetry(TimePoint{}, TryOutcome::kUnknown, false));
  BOOST_TEST(!budget.TakeHedge(TimePoint{}, false));
  BOOST_TEST(budget.TakeRetry(TimePoint{}, TryOutcome::kNotRun, false));
}

}  // namespace
}  // namespace toucanwharf::admission
