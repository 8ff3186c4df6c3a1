#include "toucanwharf/attempts/arrival_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace toucanwharf::attempts {
namespace {

using std::chrono::milliseconds;

constexpr int kInstances = 6;

ArrivalBudgetSettings Settings() {
  ArrivalBudgetSettings settings;
  settings.ratio = 0.2;
  settings.slack = 196;
  return settings;
}

/// Times of the extra arrivals that all instances together cause while every
/// request fails once.
std::vector<TimePoint> PlayStorm(int requests_per_second, int seconds) {
  std::vector<ArrivalBudget> budgets(kInstances, ArrivalBudget(Settings()));
  for (ArrivalBudget& budget : budgets) budget.SetInstances(kInstances);
  std::vector<TimePoint> extras;
  const int requests = requests_per_second * seconds;
  for (int at = 0; at < requests; ++at) {
    const TimePoint now{milliseconds(1000 * at / requests_per_second)};
    ArrivalBudget& budget = budgets[at % kInstances];
    budget.OnRequest("service", now);
    while (budget.TakeExtra("service", now)) extras.push_back(now);
  }
  return extras;
}

// Every try fails, and every instance would send every request again and
// again. In no ten seconds do the endpoints get more than the bound, though the
// instances never speak with each other.
BOOST_AUTO_TEST_CASE(StormStaysWithinTheBoundOfAllInstances) {
  constexpr int kPerSecond = 100;
  const auto extras = PlayStorm(kPerSecond, 40);
  const double bound = 0.2 * kPerSecond * 10 + 196;
  for (auto first = extras.begin(); first != extras.end(); ++first) {
    const auto last = std::upper_bound(first, extras.end(),
                                       *first + std::chrono::seconds(10));
    BOOST_REQUIRE(static_cast<double>(last - first) <= bound);
  }
  BOOST_TEST(extras.size() > 4 * 0.7 * bound);
}

// A single failure on a quiet day is always made good.
BOOST_AUTO_TEST_CASE(QuietInstanceMayRetry) {
  ArrivalBudget budget(Settings());
  budget.SetInstances(kInstances);
  budget.OnRequest("service", TimePoint{});
  BOOST_TEST(budget.TakeExtra("service", TimePoint{}));
}

// A dead endpoint breaks a hundred answers at once, spread over the instances:
// all of them may go on elsewhere.
BOOST_AUTO_TEST_CASE(OneDeadEndpointIsCovered) {
  std::vector<ArrivalBudget> budgets(kInstances, ArrivalBudget(Settings()));
  int granted = 0;
  for (int at = 0; at < 930; ++at) {
    budgets[at % kInstances].SetInstances(kInstances);
    budgets[at % kInstances].OnRequest("service",
                                       TimePoint{milliseconds(at * 10)});
  }
  for (int at = 0; at < 100; ++at) {
    const TimePoint now{milliseconds(9400)};
    if (budgets[at % kInstances].TakeExtra("service", now)) ++granted;
  }
  BOOST_TEST(granted == 100);
}

}  // namespace
}  // namespace toucanwharf::attempts
