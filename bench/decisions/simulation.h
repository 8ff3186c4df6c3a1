#ifndef TOUCANWHARF_BENCH_DECISIONS_SIMULATION_H_
#define TOUCANWHARF_BENCH_DECISIONS_SIMULATION_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "engines.h"
#include "fleet.h"
#include "routers.h"
#include "toucanwharf/routing/entry_advice.h"

namespace toucanwharf::bench {

struct RunSettings {
  std::uint32_t endpoints = 40;
  std::uint32_t routers = 1;
  TrafficSettings traffic;
  /// Exceeds the longest answers, which take 47 s: with a shorter warm-up they
  /// would be missing from the measurement.
  double warmup_seconds = 60;
  double seconds = 120;
};

/// Results of the measured time after the warm-up.
struct RunResult {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  /// `requests_per_second` as a fraction of the bound for the answered mix.
  double fraction_of_answered_bound = 0;
  /// Fractions of the requests that arrived in the measured time.
  double refused_fraction = 0;
  double lost_fraction = 0;
  double first_token_p50 = 0;
  double first_token_p95 = 0;
  double token_gap_p95 = 0;
  /// First token p95 of all customers but the heavy customer.
  double small_customers_p95 = 0;
  /// Fraction of slot time that was idle while a job waited in a router.
  double idle_while_waiting = 0;
  /// Real time spent in decisions; differs between runs.
  double micros_per_request = 0;
  double micros_per_token = 0;
};

/// Returns the \p fraction quantile of \p values, or 0 if there are none.
double Quantile(std::vector<double> values, double fraction);

/// Simulates one run on virtual time. `RouterT` is a router of routers.h.
template <typename RouterT>
class Simulation {
 public:
  using RouterFactory = std::function<RouterT(const RouterSetup&)>;

  Simulation(const RunSettings& chosen, const RouterFactory& make);

  RunResult Run();

 private:
  enum class Kind {
    kArrival,
    kReachEngine,
    kJobEnd,
    kOutcome,
    kReport,
    kTick,
    kGossip
  };
  struct Event {
    TimePoint time;
    std::uint64_t sequence = 0;
    Kind kind = Kind::kArrival;
    std::uint64_t id = 0;
    std::uint32_t index = 0;
    bool operator>(const Event& other) const {
      if (this->time != other.time) return this->time > other.time;
      return this->sequence > other.sequence;
    }
  };

  void Add(TimePoint time, Kind kind, std::uint64_t id, std::uint32_t index);
  void Handle(const Event& event);
  void HandleArrival();
  void DispatchJobs(std::uint32_t router);
  void StartJobs(std::uint32_t chain);
  void SendReports(std::uint32_t chain);
  void Gossip();
  void RecordFirstToken(const PlacedJob& placed, TimePoint time);
  void RecordCompleted(const PlacedJob& placed, TimePoint time);
  void RecordIdleSlots();
  std::uint32_t RouterFor(const Job& job);
  Duration LinkDelay(const PlacedJob& placed) const;
  bool IsMeasured(TimePoint time) const;
  RunResult Summary() const;

  template <typename Call>
  auto Timed(Call call) {
    const auto begin = std::chrono::steady_clock::now();
    const auto guard = [&] {
      this->decision_time += std::chrono::steady_clock::now() - begin;
    };
    if constexpr (std::is_void_v<decltype(call())>) {
      call();
      guard();
    } else {
      auto result = call();
      guard();
      return result;
    }
  }

  RunSettings settings;
  std::vector<Chain> fleet;
  Traffic traffic;
  Random random;
  routing::EntryAdvisor advisor;
  std::vector<routing::EntryInstance> instances;
  std::vector<RouterT> routers;
  std::vector<FakeEngine> engines;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t sequence = 0;
  TimePoint now;
  Job arriving;
  std::unordered_map<std::uint64_t, PlacedJob> jobs;
  std::vector<std::map<std::uint64_t, routing::LoadReport>> in_transit;
  std::chrono::steady_clock::duration decision_time{0};

  std::uint64_t arrived = 0;
  std::uint64_t offered = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;
  std::vector<Job> completed;
  double tokens = 0;
  double all_tokens = 0;
  double idle_slots = 0;
  double slot_samples = 0;
  std::vector<double> first_tokens;
  std::vector<double> small_first_tokens;
  std::vector<double> gaps;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_SIMULATION_H_
