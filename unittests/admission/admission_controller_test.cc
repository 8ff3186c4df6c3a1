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
  int refused_at_once = 0;
  int refused_late = 0;
  Duration longest_wait{0};
  Duration least_retry_after = std::chrono::hours(1);
  Duration most_retry_after{0};
  /// Slots that stood idle while a request waited, summed over all steps.
  int idle_while_waiting = 0;
};

/// One gate before a few endpoints on virtual time.
class Play {
 public:
  explicit Play(int endpoints, const AdmissionSettings& settings = {})
      : gate(settings, 17) {
    for (int at = 0; at < endpoints; ++at) {
      this->gate.AddEndpoint(TimePoint{}, "e" + std::to_string(at), kSpec,
                             false);
    }
    this->total_slots = endpoints * static_cast<int>(kSlots);
  }

  /// Offers `per_second` requests each second for `length`, then serves on
  /// until nothing waits.
  void Run(double per_second, Duration length) {
    double due = 0;
    const TimePoint end = this->now + length;
    while (this->now < end || this->gate.WaitingCount() > 0) {
      if (this->now < end) {
        due += per_second * std::chrono::duration<double>(kStep).count();
      }
      for (; due >= 1; due -= 1) this->OfferOne();
      this->Step();
    }
  }

  Answers answers;
  AdmissionController gate;
  TimePoint now;

 private:
  void OfferOne() {
    Request request;
    request.id = std::to_string(this->count++);
    request.customer = "c" + std::to_string(this->count % 3);
    request.size = {100, kOutput};
    request.deadline = this->now + seconds(4);
    this->arrived[request.id] = this->now;
    const OfferResult offered = this->gate.Offer(this->now, request);
    const auto* refusal = std::get_if<Refusal>(&offered);
    if (refusal == nullptr) return;
    ++this->answers.refused_at_once;
    this->answers.least_retry_after =
        std::min(this->answers.least_retry_after, refusal->retry_after);
    this->answers.most_retry_after =
        std::max(this->answers.most_retry_after, refusal->retry_after);
  }

  void Step() {
    this->now = this->now + kStep;
    while (!this->running.empty() &&
           this->running.begin()->first <= this->now) {
      this->gate.Finished(this->now, this->running.begin()->second,
                          Outcome::kWhole, kOutput);
      this->running.erase(this->running.begin());
      ++this->answers.whole;
    }
    this->answers.refused_late +=
        static_cast<int>(this->gate.Tick(this->now).size());
    while (const auto next = this->gate.Next(this->now)) {
      const Duration spread{
          static_cast<std::int64_t>(this->random.Below(400000))};
      this->running.emplace(this->now + kService - milliseconds(200) + spread,
                            next->id);
      this->answers.longest_wait = std::max(
          this->answers.longest_wait, this->now - this->arrived.at(next->id));
    }
    const int idle = this->total_slots - static_cast<int>(this->running.size());
    if (this->gate.WaitingCount() > 0) {
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

// Requests come in at 1.5 and at 3 times what the endpoints can do, for a
// minute. Let in without limit, each waits longer than the last until all
// answers are late.
BOOST_AUTO_TEST_CASE(GoodputHoldsUnderSaturation) {
  Play even(kEndpoints);
  even.Run(kCapacity * 1.5, seconds(60));
  Play heavy(kEndpoints);
  heavy.Run(kCapacity * 3, seconds(60));
  BOOST_TEST(even.answers.whole >= kCapacity * 60 * 0.97);
  BOOST_TEST(heavy.answers.whole >= even.answers.whole * 0.99);
  BOOST_TEST(heavy.answers.idle_while_waiting == 0);
  BOOST_TEST(heavy.answers.longest_wait.count() <= 4000000);
}

// Under three times the load most callers must hear at once that they can't be
// served; who is let in gets an answer.
BOOST_AUTO_TEST_CASE(RefusalsComeAtOnceWithWhenToReturn) {
  Play play(kEndpoints);
  play.Run(kCapacity * 3, seconds(60));
  BOOST_TEST(play.answers.refused_at_once > kCapacity * 60);
  BOOST_TEST(play.answers.refused_late <= play.answers.refused_at_once / 50);
  BOOST_TEST(play.answers.least_retry_after.count() >= 1000000);
  BOOST_TEST(play.answers.most_retry_after.count() <= 6000000);
  BOOST_TEST(play.answers.most_retry_after.count() >
             play.answers.least_retry_after.count() * 5 / 4);
}

// A caller that returns when it was told to is let in, if the burst is over.
BOOST_AUTO_TEST_CASE(RetryAfterIsTruthful) {
  Play play(kEndpoints);
  play.Run(kCapacity * 10, seconds(1));
  const Duration told = play.answers.most_retry_after;
  BOOST_TEST(play.answers.refused_at_once > 0);
  Play again(kEndpoints);
  again.Run(kCapacity * 10, seconds(1));
  // Run() served all that waited; the last was taken before `told` was over.
  BOOST_TEST((again.now - TimePoint{seconds(1)}).count() <=
             told.count() + 1000000);
}

BOOST_AUTO_TEST_CASE(BurstWithinPatienceLosesNothing) {
  Play play(kEndpoints);
  // Two seconds' worth of work in half a second.
  play.Run(kCapacity * 4, milliseconds(500));
  BOOST_TEST(play.answers.refused_at_once == 0);
  BOOST_TEST(play.answers.refused_late == 0);
}

BOOST_AUTO_TEST_CASE(EmptyPoolRefusesAtOnce) {
  Play play(0);
  play.Run(10, seconds(1));
  BOOST_TEST(play.answers.refused_at_once >= 9);
}

// An endpoint leaves while work waits: it gets nothing from then on (I5).
BOOST_AUTO_TEST_CASE(LeavingEndpointGetsNoNewWork) {
  Play play(2);
  play.gate.RemoveEndpoint("e0");
  const routing::Endpoint gone = routing::Endpoint{0};
  for (int at = 0; at < 4; ++at) {
    play.gate.Offer(
        play.now,
        {std::to_string(at), "c", {100, 50}, play.now + seconds(4), {}});
  }
  while (const auto next = play.gate.Next(play.now)) {
    BOOST_TEST((next->endpoints.front() != gone));
  }
}

// An endpoint refuses for want of a slot that its report showed as free. If it
// were asked again at once, one waiting request would spend the whole retry
// budget on it.
BOOST_AUTO_TEST_CASE(RefusingEndpointIsLeftAloneUntilItReports) {
  Play play(1);
  play.gate.Offer(play.now, {"r", "c", {100, 50}, play.now + seconds(4), {}});
  BOOST_TEST(play.gate.Next(play.now).has_value());
  BOOST_TEST(play.gate.Requeue(play.now, "r", Outcome::kRefused,
                               TryOutcome::kNotRun, false));
  BOOST_TEST(!play.gate.Next(play.now).has_value());
  play.gate.Report("e0", {0, 0, 1e6, play.now + seconds(1)});
  BOOST_TEST(play.gate.Next(play.now + seconds(1)).has_value());
}

/// Routers that share one endpoint of 12 slots by a limit each. Only `busy` of
/// them have work, without end. Returns slots in use after twenty reports.
template <typename Adapt>
double SlotsInUse(std::uint32_t busy, Adapt adapt) {
  constexpr std::uint32_t kRouters = 6;
  const routing::Endpoint endpoint{0};
  std::vector<Limiter> limiters(kRouters, Limiter({kRouters, 1}));
  std::vector<std::uint32_t> held(kRouters);
  for (Limiter& limiter : limiters) limiter.Add(endpoint, 12);
  double all = 0;
  for (int report = 0; report < 20; ++report) {
    for (std::uint32_t at = 0; at < busy; ++at) {
      while (limiters[at].HasRoom(endpoint)) {
        limiters[at].Started(endpoint, 0);
        ++held[at];
      }
    }
    all = 0;
    for (const std::uint32_t each : held) all += each;
    for (std::uint32_t at = 0; at < kRouters; ++at) {
      adapt(limiters[at],
            LimitSample{12, std::min(all, 12.0), std::max(all - 12, 0.0), 1e9,
                        held[at], 0});
    }
  }
  return all;
}

// Only one of six routers has work. With a fixed sixth of the slots each, ten
// of twelve slots idle while its requests wait.
BOOST_AUTO_TEST_CASE(LimitsLendWhatOthersDoNotUse) {
  const auto fixed = [](Limiter&, const LimitSample&) {};
  const auto adaptive = [](Limiter& limiter, const LimitSample& sample) {
    limiter.Reported(routing::Endpoint{0}, sample);
  };
  BOOST_TEST(SlotsInUse(1, fixed) == 2.0);
  BOOST_TEST(SlotsInUse(1, adaptive) >= 12.0);
  // All six busy: little waits inside the endpoint.
  BOOST_TEST(SlotsInUse(6, adaptive) <= 18.0);
}

}  // namespace
}  // namespace toucanwharf::admission
