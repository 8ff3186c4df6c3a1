#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "toucanwharf/quarantine/quarantine.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(2)};
constexpr Duration kEvidenceDelay = milliseconds(10);
constexpr Duration kCrashDelay = milliseconds(60);
constexpr Duration kMaxCrashDelay = milliseconds(500);
constexpr Duration kProvenAfter = seconds(1);
constexpr Duration kDowntime = seconds(2);
constexpr Duration kGossipPeriod = milliseconds(250);
constexpr Duration kGossipDelay = milliseconds(5);
constexpr int kCallerRetries = 1;
constexpr int kMaxAttempts = 2;
constexpr Fingerprint kPopular{20, 1};

/// A fleet to simulate: instances with a quarantine each, in front of engines.
struct FleetPlan {
  std::uint64_t seed = 1;
  std::size_t instances = 6;
  std::size_t engines = 3;
  Duration sound_gap = milliseconds(10);
  Duration answer_length = seconds(4);
  /// Share of the sound requests that have the same content.
  double popular_share = 0.2;
  /// Between copies of the request that crashes engines, from the first second
  /// on; 0 for none.
  Duration culprit_gap = seconds(1);
  /// Engines that crash together at each of these times.
  std::vector<Duration> mass_crashes;
  double mass_crash_share = 0;
  Duration length = seconds(40);
  QuarantineSettings settings;
};

/// What callers and engines saw.
struct Outcome {
  int crashes = 0;
  int sent_after_third = 0;
  int sound_sent = 0;
  int sound_refused = 0;
  int sound_broken = 0;
};

class Simulation {
 public:
  explicit Simulation(const FleetPlan& chosen)
      : plan(chosen),
        random(chosen.seed),
        instances(chosen.instances, Quarantine(chosen.settings)),
        engines(chosen.engines) {}

  Outcome Run() {
    this->Repeat(Duration(0), this->plan.sound_gap,
                 [this] { this->CallSound(); });
    if (this->plan.culprit_gap > Duration(0)) {
      this->Repeat(seconds(1), this->plan.culprit_gap,
                   [this] { this->CallCulprit(); });
    }
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
      this->Repeat(kGossipPeriod * (i + 1) / this->instances.size(),
                   kGossipPeriod, [this, i] { this->Gossip(i); });
    }
    for (const Duration at : this->plan.mass_crashes) {
      this->After(at, [this] { this->CrashMany(); });
    }
    while (!this->events.empty() &&
           this->events.top().at < kStart + this->plan.length) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.act();
    }
    return this->outcome;
  }

 private:
  using Act = std::function<void()>;
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    Act act;
    friend bool operator<(const Event& lhs, const Event& rhs) {
      return std::pair(rhs.at, rhs.number) < std::pair(lhs.at, lhs.number);
    }
  };
  struct Request {
    Fingerprint fingerprint;
    bool culprit = false;
    std::size_t instance = 0;
    int attempts = 0;
    int calls = 1;
  };
  struct RunState {
    Request request;
    TimePoint sent_at;
    std::optional<TimePoint> begun_at;
  };
  struct Engine {
    std::uint32_t start = 0;
    bool up = true;
    std::map<std::uint64_t, RunState> runs;
  };

  void After(Duration delay, Act act) {
    this->events.push({this->now + delay, ++this->numbers, std::move(act)});
  }
  void Repeat(Duration first, Duration gap, const Act& act) {
    this->After(first, [this, gap, act] {
      act();
      this->Repeat(gap, gap, act);
    });
  }

  void CallSound() {
    ++this->outcome.sound_sent;
    const bool popular = this->random.Unit() < this->plan.popular_share;
    const auto customer = static_cast<std::uint32_t>(this->random.Below(10));
    this->Call({popular ? kPopular : Fingerprint{customer, ++this->numbers},
                false, 0, 0, 1});
  }
  void CallCulprit() { this->Call({{1, 0}, true, 0, 0, 1}); }

  void Call(Request request) {
    request.instance = this->random.Below(this->instances.size());
    request.attempts = 0;
    const Quarantine& quarantine = this->instances[request.instance];
    if (quarantine.Judge(request.fingerprint, this->now)) {
      if (!request.culprit) ++this->outcome.sound_refused;
      return;
    }
    this->Send(request, this->engines.size());
  }

  void Send(Request request, std::size_t except) {
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      if (this->engines[i].up && i != except) usable.push_back(i);
    }
    if (usable.empty()) return;
    ++request.attempts;
    const std::size_t chosen = usable[this->random.Below(usable.size())];
    if (request.culprit && this->third_crash) ++this->outcome.sent_after_third;
    const std::uint64_t run = ++this->numbers;
    Engine& engine = this->engines[chosen];
    engine.runs[run] = {request, this->now, std::nullopt};
    const Duration queued = milliseconds(20 + this->random.Below(180));
    this->After(queued, [this, chosen, run, start = engine.start] {
      this->Begin(chosen, run, start);
    });
  }

  bool Runs(std::size_t engine, std::uint64_t run, std::uint32_t start) {
    return this->engines[engine].start == start &&
           this->engines[engine].runs.contains(run);
  }

  void Begin(std::size_t engine, std::uint64_t run, std::uint32_t start) {
    if (!this->Runs(engine, run, start)) return;
    RunState& state = this->engines[engine].runs[run];
    state.begun_at = this->now;
    if (state.request.culprit) {
      this->After(kCrashDelay, [this, engine, start] {
        if (this->engines[engine].start == start) this->Crash(engine);
      });
      return;
    }
    const auto success = [this, engine, run, start] {
      if (!this->Runs(engine, run, start)) return;
      const Request& request = this->engines[engine].runs[run].request;
      this->instances[request.instance].OnSuccess(request.fingerprint,
                                                  this->now);
    };
    this->After(kProvenAfter, success);
    this->After(this->plan.answer_length, [this, engine, run, start, success] {
      success();
      if (this->Runs(engine, run, start)) this->engines[engine].runs.erase(run);
    });
  }

  void Crash(std::size_t number) {
    Engine& engine = this->engines[number];
    if (!engine.up) return;
    ++this->outcome.crashes;
    if (this->outcome.crashes >= 3 && this->plan.mass_crash_share == 0) {
      this->third_crash = true;
    }
    const auto runs = std::exchange(engine.runs, {});
    const EndpointStart ended{
        engine.start * 100 + static_cast<std::uint32_t>(number),
        static_cast<std::uint32_t>(number)};
    engine.up = false;
    ++engine.start;
    this->After(kDowntime, [this, number] { this->engines[number].up = true; });
    for (const auto& [run, state] : runs) this->Break(state, ended, number);
  }

  void CrashMany() {
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
      const bool chosen = this->random.Unit() < this->plan.mass_crash_share;
      if (chosen) {
        this->After(milliseconds(this->random.Below(50)),
                    [this, i] { this->Crash(i); });
      }
    }
  }

  RunStage StageOf(const RunState& state) const {
    if (!state.begun_at) return RunStage::kWaiting;
    const Duration ran = this->now - *state.begun_at;
    if (ran <= kMaxCrashDelay) return RunStage::kBegun;
    return ran < kProvenAfter ? RunStage::kLongBegun : RunStage::kProven;
  }

  void Break(const RunState& state, const EndpointStart& ended,
             std::size_t engine) {
    Request request = state.request;
    Quarantine& quarantine = this->instances[request.instance];
    quarantine.OnRunBroken(
        {request.fingerprint, ended, state.sent_at, this->StageOf(state)},
        this->now);
    this->After(kEvidenceDelay, [this, ended, i = request.instance] {
      if (!this->instances[i].OnEndpointEnded(ended.key, this->now).empty()) {
        this->Gossip(i);
      }
    });
    if (!request.culprit) ++this->outcome.sound_broken;
    const bool again = request.attempts < kMaxAttempts &&
                       quarantine.MayRetry(request.fingerprint, this->now);
    if (again) {
      this->Send(request, engine);
    } else if (request.calls++ <= kCallerRetries) {
      this->After(milliseconds(100), [this, request] { this->Call(request); });
    }
  }

  void Gossip(std::size_t from) {
    const auto reports = this->instances[from].Reports(this->now);
    if (reports.empty()) return;
    this->After(kGossipDelay, [this, reports, from] {
      for (std::size_t to = 0; to < this->instances.size(); ++to) {
        if (to == from) continue;
        for (const SuspectReport& report : reports) {
          this->instances[to].Merge(report, this->now);
        }
      }
    });
  }

  FleetPlan plan;
  Random random;
  std::vector<Quarantine> instances;
  std::vector<Engine> engines;
  std::priority_queue<Event> events;
  std::uint64_t numbers = 0;
  TimePoint now = kStart;
  bool third_crash = false;
  Outcome outcome;
};

std::string Describe(const Outcome& outcome) {
  return std::to_string(outcome.crashes) + " crashes, culprit sent " +
         std::to_string(outcome.sent_after_third) + " times after the third, " +
         std::to_string(outcome.sound_refused) + " of " +
         std::to_string(outcome.sound_sent) + " sound requests refused, " +
         std::to_string(outcome.sound_broken) + " broken";
}

constexpr std::uint64_t kSeeds = 20;

/// Sums the outcomes of \p plan over all seeds, and checks each by \p check.
Outcome RunSeeds(FleetPlan plan,
                 const std::function<void(const Outcome&)>& check) {
  Outcome sum;
  for (plan.seed = 1; plan.seed <= kSeeds; ++plan.seed) {
    const Outcome outcome = Simulation(plan).Run();
    check(outcome);
    sum.crashes += outcome.crashes;
    sum.sent_after_third += outcome.sent_after_third;
    sum.sound_sent += outcome.sound_sent;
    sum.sound_refused += outcome.sound_refused;
    sum.sound_broken += outcome.sound_broken;
  }
  BOOST_TEST_MESSAGE(Describe(sum));
  return sum;
}

// Guards against a request that crashes engines being sent on at a fleet with
// many sound requests, and against these being refused.
BOOST_AUTO_TEST_CASE(CulpritIsStoppedAndNoNeighbourRefused) {
  RunSeeds({}, [](const Outcome& outcome) {
    BOOST_TEST(outcome.sent_after_third <= 3, Describe(outcome));
    BOOST_TEST(outcome.sound_refused == 0, Describe(outcome));
  });
}

// Guards against sound requests being refused after crashes of a seventh of all
// engines, or of a third, three times in a row without a culprit.
BOOST_AUTO_TEST_CASE(MassCrashesRefuseNoSoundRequest) {
  for (const double share : {1.0 / 7, 1.0 / 3}) {
    FleetPlan plan;
    plan.engines = 38;
    plan.culprit_gap = Duration(0);
    plan.mass_crashes = {seconds(5), seconds(7), seconds(9)};
    plan.mass_crash_share = share;
    RunSeeds(plan, [](const Outcome& outcome) {
      BOOST_TEST(outcome.sound_refused == 0, Describe(outcome));
    });
  }
}

}  // namespace
}  // namespace toucanwharf::quarantine
