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
/// request fails once. All start anew at \p restart_second, if it is reached.
std::vector<TimePoint> PlayStorm(int requests_per_second, int seconds,
                                 int restart_second) {
  std::vector<ArrivalBudget> budgets(kInstances, ArrivalBudget(Settings()));
  for (ArrivalBudget& budget : budgets) budget.SetInstances(kInstances);
  std::vector<TimePoint> extras;
  const int requests = requests_per_second * seconds;
  for (int at = 0; at < requests; ++at) {
    const TimePoint now{milliseconds(1000 * at / requests_per_second)};
    if (at == restart_second * requests_per_second) {
      budgets.assign(kInstances, ArrivalBudget(Settings()));
      for (ArrivalBudget& budget : budgets) budget.SetInstances(kInstances);
    }
    ArrivalBudget& budget = budgets[at % kInstances];
    budget.OnRequest("service", now);
    while (budget.TakeExtra("service", now)) extras.push_back(now);
  }
  return extras;
}

/// Most of \p extras in any ten seconds.
double MostInAWindow(const std::vector<TimePoint>& extras) {
  double most = 0;
  for (auto first = extras.begin(); first != extras.end(); ++first) {
    const auto last = std::upper_bound(first, extras.end(),
                                       *first + std::chrono::seconds(10));
    most = std::max(most, static_cast<double>(last - first));
  }
  return most;
}

double Bound(int requests_per_second) {
  return 0.2 * requests_per_second * 10 + 196;
}

// Every try fails, and every instance would send every request again and
// again. In no ten seconds do the endpoints get more than the bound, though the
// instances never speak with each other.
BOOST_AUTO_TEST_CASE(StormStaysWithinTheBoundOfAllInstances) {
  constexpr int kPerSecond = 100;
  const auto extras = PlayStorm(kPerSecond, 40, 40);
  BOOST_TEST(MostInAWindow(extras) <= Bound(kPerSecond));
  BOOST_TEST(extras.size() > 4 * 0.7 * Bound(kPerSecond));
}

// All instances lose power while every try fails, and start anew: requests that
// are sent once more before and after add up in the same ten seconds, to more
// than the bound if each process begins with a whole allowance.
BOOST_AUTO_TEST_CASE(AllowancesOfBeforeAndAfterARestartDoNotAddUp) {
  constexpr int kPerSecond = 100;
  for (const int restart : {5, 12, 25}) {
    const auto extras = PlayStorm(kPerSecond, 40, restart);
    BOOST_TEST(MostInAWindow(extras) <= Bound(kPerSecond));
  }
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
