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

/// Serves in order of arrival: the baseline for FairQueue.
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

class FairQueueAdapter {
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

/// Simulates one server of 1000 tokens per second behind a queue, on virtual
/// time.
template <typename Queue>
class Simulation {
 public:
  void Arrive(TimePoint arrival, const std::string& customer, double cost,
              Duration time_limit = seconds(60)) {
    Ticket ticket;
    ticket.id = std::to_string(this->count++);
    ticket.customer = this->queue.NumberOf(customer);
    ticket.cost = cost;
    ticket.arrived = arrival;
    ticket.deadline = arrival + time_limit;
    this->queue.Push(arrival, ticket);
  }

  /// Serves all; returns the maximum wait of `customer` by cost.
  std::map<double, Duration> MaxWaits(const std::string& customer) {
    std::map<double, Duration> waits;
    TimePoint now;
    while (const auto next = this->queue.Next(now)) {
      Duration& max_wait = waits[next->cost];
      if (next->customer == this->queue.NumberOf(customer)) {
        max_wait = std::max(max_wait, now - next->arrived);
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
  Simulation<Queue> simulation;
  for (int request = 0; request < 100; ++request) {
    simulation.Arrive(TimePoint{}, "large", 100);
  }
  for (int request = 0; request < 3; ++request) {
    simulation.Arrive(TimePoint{}, "small", 100);
  }
  return simulation.MaxWaits("small").at(100);
}

// A large customer sends a burst of a hundred requests, a small one three right
// after. In order of arrival the small one waits ten seconds.
BOOST_AUTO_TEST_CASE(BurstOfOneCustomerDoesNotDelayOthers) {
  BOOST_TEST(SmallCustomersWait<ArrivalQueue>().count() >= 10000000);
  BOOST_TEST(SmallCustomersWait<FairQueueAdapter>().count() <= 1200000);
}

template <typename Queue>
Duration ShortWorkWait() {
  Simulation<Queue> simulation;
  for (int request = 0; request < 10; ++request) {
    simulation.Arrive(TimePoint{}, "one", 2000);
  }
  for (int request = 0; request < 10; ++request) {
    simulation.Arrive(TimePoint{}, "one", 20);
  }
  return simulation.MaxWaits("one").at(20);
}

// A customer queues ten reports and then ten short questions. In order of
// arrival the questions wait for all reports, twenty seconds.
BOOST_AUTO_TEST_CASE(ShortWorkIsNotStuckBehindLong) {
  BOOST_TEST(ShortWorkWait<ArrivalQueue>().count() >= 20000000);
  BOOST_TEST(ShortWorkWait<FairQueueAdapter>().count() <= 2200000);
}

template <typename Queue>
Duration UrgentWorkWait() {
  Simulation<Queue> simulation;
  for (int request = 0; request < 20; ++request) {
    simulation.Arrive(TimePoint{}, "a", 100, seconds(60));
  }
  simulation.Arrive(TimePoint{}, "a", 101, seconds(1));
  return simulation.MaxWaits("a").at(101);
}

BOOST_AUTO_TEST_CASE(EarliestDeadlineGoesFirstWithinACustomer) {
  BOOST_TEST(UrgentWorkWait<ArrivalQueue>().count() >= 2000000);
  BOOST_TEST(UrgentWorkWait<FairQueueAdapter>().count() == 0);
}

Ticket MakeTicket(FairQueue& queue, const std::string& id, TimePoint now) {
  Ticket ticket;
  ticket.id = id;
  ticket.customer = queue.SharesOf().NumberOf("c");
  ticket.cost = 100;
  ticket.arrived = now;
  ticket.deadline = now + seconds(5);
  ticket.min_service_time = milliseconds(500);
  return ticket;
}

// All endpoints stall while requests are queued. Holding them until their
// deadline has passed would cost their callers the time to go elsewhere.
BOOST_AUTO_TEST_CASE(UnservableRequestIsRefusedEarly) {
  FairQueue queue;
  const TimePoint start;
  queue.Push(start, MakeTicket(queue, "r", start));
  BOOST_TEST(queue.TakeExpired(start + milliseconds(4250)).empty());
  // 4.25 s is the latest time at which half a second of prefill and a quarter
  // of a second of delay at the endpoint still fit.
  BOOST_TEST(queue.TakeExpired(start + milliseconds(4251)).size() == 1u);
  BOOST_TEST(queue.size() == 0u);
}

BOOST_AUTO_TEST_CASE(ExpectedWaitFollowsTheDrainRate) {
  FairQueue queue;
  TimePoint now;
  for (int i = 0; i < 100; ++i) {
    queue.Push(now, MakeTicket(queue, std::to_string(i), now));
  }
  // The queue drains at 1,000 tokens per second.
  for (int i = 0; i < 50; ++i) {
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
  // The queue stops draining: the estimate follows within seconds.
  now = now + seconds(3);
  BOOST_TEST(queue.ExpectedWait(now, same, 100)->count() > 15000000);
}

/// Simulates callers that attempt each request up to four times against
/// endpoints that all fail; returns the attempts per request.
double AttemptsInAStorm(RetryBudget budget) {
  int attempts = 0;
  TimePoint now;
  for (int request = 0; request < 10000; ++request) {
    now = now + milliseconds(1);
    budget.OnFirstAttempt(now);
    ++attempts;
    for (int retry = 0; retry < 3; ++retry) {
      if (!budget.TakeRetry(now, PriorAttempt::kNotRun, true)) break;
      ++attempts;
    }
  }
  return attempts / 10000.0;
}

// Every endpoint refuses for ten seconds. Three retries for each request
// multiply a load that was already too high by four.
BOOST_AUTO_TEST_CASE(RetriesDoNotAmplifyAStorm) {
  RetryBudgetSettings naive;
  naive.ratio = 3;
  naive.max_tokens = 1e9;
  BOOST_TEST(AttemptsInAStorm(RetryBudget(naive)) == 4.0);
  BOOST_TEST(AttemptsInAStorm(RetryBudget{}) < 1.12);
}

// A signature request was sent and the connection broke. A retry could sign the
// lot twice (I4).
BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNotRetried) {
  RetryBudget budget;
  budget.OnFirstAttempt(TimePoint{});
  BOOST_TEST(!budget.TakeRetry(TimePoint{}, PriorAttempt::kUnknown, false));
  BOOST_TEST(!budget.TakeHedge(TimePoint{}, false));
  BOOST_TEST(budget.TakeRetry(TimePoint{}, PriorAttempt::kNotRun, false));
}

}  // namespace
}  // namespace toucanwharf::admission
