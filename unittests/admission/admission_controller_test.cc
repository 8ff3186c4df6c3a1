#include "toucanwharf/admission/admission_controller.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/admission/limiter.h"

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 4;
constexpr double kOutput = 50;
constexpr routing::EndpointSpec kSpec{kSlots, milliseconds(20), 1000,
                                      milliseconds(1)};
// 100 tokens of prompt and 50 of output: 1.1 s and two link delays.
constexpr Duration kService = milliseconds(1102);
constexpr Duration kStep = milliseconds(10);

struct Answers {
  int whole = 0;
  int refused_on_offer = 0;
  int refused_late = 0;
  Duration max_wait{0};
  Duration min_retry_after = std::chrono::hours(1);
  Duration max_retry_after{0};
  /// Idle slots while a request was queued, summed over all steps.
  int idle_while_waiting = 0;
};

/// Simulates one controller with a few endpoints on virtual time.
class Simulation {
 public:
  explicit Simulation(int endpoints, const AdmissionSettings& settings = {})
      : controller(settings, 17) {
    for (int i = 0; i < endpoints; ++i) {
      this->controller.AddEndpoint(TimePoint{}, "e" + std::to_string(i), kSpec,
                                   false);
    }
    this->total_slots = endpoints * static_cast<int>(kSlots);
  }

  /// Offers `per_second` requests per second for `length`, then serves until
  /// the queue is empty.
  void Run(double per_second, Duration length) {
    double due = 0;
    const TimePoint end = this->now + length;
    while (this->now < end || this->controller.WaitingCount() > 0) {
      if (this->now < end) {
        due += per_second * std::chrono::duration<double>(kStep).count();
      }
      for (; due >= 1; due -= 1) this->OfferOne();
      this->Step();
    }
  }

  Answers answers;
  AdmissionController controller;
  TimePoint now;

 private:
  void OfferOne() {
    Request request;
    request.id = std::to_string(this->count++);
    request.customer = "c" + std::to_string(this->count % 3);
    request.size = {100, kOutput};
    request.deadline = this->now + seconds(4);
    this->arrived[request.id] = this->now;
    const OfferResult offered = this->controller.Offer(this->now, request);
    const auto* refusal = std::get_if<Refusal>(&offered);
    if (refusal == nullptr) return;
    ++this->answers.refused_on_offer;
    this->answers.min_retry_after =
        std::min(this->answers.min_retry_after, refusal->retry_after);
    this->answers.max_retry_after =
        std::max(this->answers.max_retry_after, refusal->retry_after);
  }

  void Step() {
    this->now = this->now + kStep;
    while (!this->running.empty() &&
           this->running.begin()->first <= this->now) {
      this->controller.Finished(this->now, this->running.begin()->second,
                                Outcome::kWhole, kOutput);
      this->running.erase(this->running.begin());
      ++this->answers.whole;
    }
    this->answers.refused_late +=
        static_cast<int>(this->controller.Tick(this->now).size());
    while (const auto next = this->controller.Next(this->now)) {
      const Duration spread{
          static_cast<std::int64_t>(this->random.Below(400000))};
      this->running.emplace(this->now + kService - milliseconds(200) + spread,
                            next->id);
      this->answers.max_wait = std::max(this->answers.max_wait,
                                        this->now - this->arrived.at(next->id));
    }
    const int idle = this->total_slots - static_cast<int>(this->running.size());
    if (this->controller.WaitingCount() > 0) {
      this->answers.idle_while_waiting += std::max(idle, 0);
    }
  }

  Random random{23};
  int total_slots = 0;
  int count = 0;
  std::map<std::string, TimePoint> arrived;
  std::multimap<TimePoint, std::string> running;
};

// Ten endpoints with four slots each: 36 requests a second.
constexpr int kEndpoints = 10;
constexpr double kCapacity = kEndpoints * kSlots / 1.11;

// Requests arrive for a minute at 1.5 and at 3 times the capacity of the
// endpoints. Admitted without limit, each waits longer than the last until all
// answers are late.
BOOST_AUTO_TEST_CASE(GoodputHoldsUnderSaturation) {
  Simulation moderate(kEndpoints);
  moderate.Run(kCapacity * 1.5, seconds(60));
  Simulation heavy(kEndpoints);
  heavy.Run(kCapacity * 3, seconds(60));
  BOOST_TEST(moderate.answers.whole >= kCapacity * 60 * 0.97);
  BOOST_TEST(heavy.answers.whole >= moderate.answers.whole * 0.99);
  BOOST_TEST(heavy.answers.idle_while_waiting == 0);
  BOOST_TEST(heavy.answers.max_wait.count() <= 4000000);
}

// At three times the capacity most callers must be refused immediately;
// admitted requests get an answer.
BOOST_AUTO_TEST_CASE(RefusalsAreImmediateWithRetryAfter) {
  Simulation simulation(kEndpoints);
  simulation.Run(kCapacity * 3, seconds(60));
  BOOST_TEST(simulation.answers.refused_on_offer > kCapacity * 60);
  BOOST_TEST(simulation.answers.refused_late <=
             simulation.answers.refused_on_offer / 50);
  BOOST_TEST(simulation.answers.min_retry_after.count() >= 1000000);
  BOOST_TEST(simulation.answers.max_retry_after.count() <= 6000000);
  BOOST_TEST(simulation.answers.max_retry_after.count() >
             simulation.answers.min_retry_after.count() * 5 / 4);
}

// A caller that returns after its Retry-After is admitted, if the burst is
// over.
BOOST_AUTO_TEST_CASE(RetryAfterIsAccurate) {
  Simulation simulation(kEndpoints);
  simulation.Run(kCapacity * 10, seconds(1));
  const Duration retry_after = simulation.answers.max_retry_after;
  BOOST_TEST(simulation.answers.refused_on_offer > 0);
  Simulation again(kEndpoints);
  again.Run(kCapacity * 10, seconds(1));
  // Run() served all queued requests, the last one before `retry_after` was
  // over.
  BOOST_TEST((again.now - TimePoint{seconds(1)}).count() <=
             retry_after.count() + 1000000);
}

BOOST_AUTO_TEST_CASE(BurstWithinDeadlinesLosesNothing) {
  Simulation simulation(kEndpoints);
  // Two seconds' worth of work in half a second.
  simulation.Run(kCapacity * 4, milliseconds(500));
  BOOST_TEST(simulation.answers.refused_on_offer == 0);
  BOOST_TEST(simulation.answers.refused_late == 0);
}

BOOST_AUTO_TEST_CASE(EmptyPoolRefusesImmediately) {
  Simulation simulation(0);
  simulation.Run(10, seconds(1));
  BOOST_TEST(simulation.answers.refused_on_offer >= 9);
}

// An endpoint is removed while work is queued: it gets nothing from then on
// (I5).
BOOST_AUTO_TEST_CASE(LeavingEndpointGetsNoNewWork) {
  Simulation simulation(2);
  simulation.controller.RemoveEndpoint("e0");
  const routing::Endpoint removed = routing::Endpoint{0};
  for (int i = 0; i < 4; ++i) {
    simulation.controller.Offer(
        simulation.now,
        {std::to_string(i), "c", {100, 50}, simulation.now + seconds(4), {}});
  }
  while (const auto next = simulation.controller.Next(simulation.now)) {
    BOOST_TEST((next->endpoints.front() != removed));
  }
}

// An endpoint refuses for lack of a slot that its report showed as free. If it
// were asked again immediately, one queued request would spend the whole retry
// budget on it.
BOOST_AUTO_TEST_CASE(RefusingEndpointGetsNoWorkUntilItReports) {
  Simulation simulation(1);
  simulation.controller.Offer(
      simulation.now, {"r", "c", {100, 50}, simulation.now + seconds(4), {}});
  BOOST_TEST(simulation.controller.Next(simulation.now).has_value());
  BOOST_TEST(simulation.controller.Requeue(
      simulation.now, "r", Outcome::kRefused, PriorAttempt::kNotRun, false));
  BOOST_TEST(!simulation.controller.Next(simulation.now).has_value());
  simulation.controller.Report("e0", {0, 0, 1e6, simulation.now + seconds(1)});
  BOOST_TEST(
      simulation.controller.Next(simulation.now + seconds(1)).has_value());
}

/// Simulates routers that share one endpoint of 12 slots by a limit each. Only
/// `busy` of them have work, without end. Returns the slots in use after twenty
/// reports.
template <typename Adapt>
double SlotsInUse(std::uint32_t busy, Adapt adapt) {
  constexpr std::uint32_t kRouters = 6;
  const routing::Endpoint endpoint{0};
  std::vector<Limiter> limiters(kRouters, Limiter({kRouters, 1}));
  std::vector<std::uint32_t> held(kRouters);
  for (Limiter& limiter : limiters) limiter.Add(endpoint, 12);
  double all = 0;
  for (int report = 0; report < 20; ++report) {
    for (std::uint32_t i = 0; i < busy; ++i) {
      while (limiters[i].HasRoom(endpoint)) {
        limiters[i].Started(endpoint, 0);
        ++held[i];
      }
    }
    all = 0;
    for (const std::uint32_t each : held) all += each;
    for (std::uint32_t i = 0; i < kRouters; ++i) {
      adapt(limiters[i], LimitSample{12, std::min(all, 12.0),
                                     std::max(all - 12, 0.0), 1e9, held[i], 0});
    }
  }
  return all;
}

// Only one of six routers has work. With a fixed sixth of the slots each, ten
// of twelve slots idle while its requests wait.
BOOST_AUTO_TEST_CASE(LimitsGrowIntoUnusedSlots) {
  const auto fixed = [](Limiter&, const LimitSample&) {};
  const auto adaptive = [](Limiter& limiter, const LimitSample& sample) {
    limiter.Reported(routing::Endpoint{0}, sample);
  };
  BOOST_TEST(SlotsInUse(1, fixed) == 2.0);
  BOOST_TEST(SlotsInUse(1, adaptive) >= 12.0);
  // All six busy: few requests wait inside the endpoint.
  BOOST_TEST(SlotsInUse(6, adaptive) <= 18.0);
}

}  // namespace
}  // namespace toucanwharf::admission
