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

/// One run.
struct RunSettings {
  std::uint32_t endpoints = 40;
  std::uint32_t routers = 1;
  TrafficSettings traffic;
  /// The longest answers take 47 s; a shorter start would leave them out.
  double warm_seconds = 60;
  double seconds = 120;
};

/// What callers got in the measured time, and what deciding cost.
struct RunResult {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  /// Requests a second as a part of the bound for the mix that was answered.
  double of_answered_bound = 0;
  /// Of all that arrived in the measured time.
  double refused_part = 0;
  double lost_part = 0;
  double first_token_p50 = 0;
  double first_token_p95 = 0;
  double token_gap_p95 = 0;
  /// First token p95 of all customers but the heavy one.
  double small_p95 = 0;
  /// Part of slot time idle while a job waited in a router.
  double idle_while_waiting = 0;
  /// Processor time of decisions; differs from run to run.
  double micros_per_request = 0;
  double micros_per_token = 0;
};

/// Returns the \p part quantile of \p values, 0 when there are none.
double Quantile(std::vector<double> values, double part);

/// Plays one run on virtual time. `RouterT` is one of routers.h.
template <typename RouterT>
class Simulation {
 public:
  using Maker = std::function<RouterT(const RouterSetup&)>;

  Simulation(const RunSettings& chosen, const Maker& make);

  RunResult Run();

 private:
  enum class Kind { kArrive, kReach, kEnd, kNews, kReport, kTick, kGossip };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    Kind kind = Kind::kArrive;
    std::uint64_t id = 0;
    std::uint32_t index = 0;
    bool operator>(const Event& other) const {
      if (this->at != other.at) return this->at > other.at;
      return this->order > other.order;
    }
  };

  void Add(TimePoint at, Kind kind, std::uint64_t id, std::uint32_t index);
  void Handle(const Event& event);
  void Arrive();
  void PumpRouter(std::uint32_t router);
  void PumpEngine(std::uint32_t chain);
  void SendReports(std::uint32_t chain);
  void Gossip();
  void NoteFirstToken(const Placed& placed, TimePoint at);
  void NoteWhole(const Placed& placed, TimePoint at);
  void NoteIdle();
  std::uint32_t RouterFor(const Job& job);
  Duration Link(const Placed& placed) const;
  bool Measured(TimePoint at) const;
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
  std::uint64_t order = 0;
  TimePoint now;
  Job arriving;
  std::unordered_map<std::uint64_t, Placed> jobs;
  std::vector<std::map<std::uint64_t, routing::LoadReport>> in_transit;
  std::chrono::steady_clock::duration decision_time{0};

  std::uint64_t arrived = 0;
  std::uint64_t offered = 0;
  std::uint64_t refused = 0;
  std::uint64_t lost = 0;
  std::vector<Job> whole;
  double tokens = 0;
  double all_tokens = 0;
  double idle = 0;
  double slot_samples = 0;
  std::vector<double> first_tokens;
  std::vector<double> small_first_tokens;
  std::vector<double> gaps;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_SIMULATION_H_
