#include <cstdio>
#include <string>
#include <vector>

#include "fleet.h"
#include "simulation.h"

using namespace toucanwharf;         // NOLINT
using namespace toucanwharf::bench;  // NOLINT

int main() {
  for (std::uint32_t routers : {1U, 6U}) {
    for (double load : {0.9, 1.0, 1.2, 3.0}) {
      RunSettings run;
      run.routers = routers;
      run.traffic.seed = 7;
      const Bound bound =
          ComputeBound(MakeFleet(run.endpoints), SampleMix(run.traffic));
      run.traffic.requests_per_second = load * bound.requests_per_second;
      const auto print = [&](const char* name, const RunResult& r) {
        std::printf(
            "%u %.1f %-12s req %.3f mix %.3f tok %.3f ref %.3f lost %.3f ttft "
            "%.3f %.3f "
            "gap %.4f idle %.4f us %.1f\n",
            routers, load, name,
            r.requests_per_second / bound.requests_per_second,
            r.of_answered_bound, r.tokens_per_second / bound.tokens_per_second,
            r.refused_part, r.lost_part, r.first_token_p50, r.first_token_p95,
            r.token_gap_p95, r.idle_while_waiting, r.micros_per_request);
      };
      Simulation<GateRouter> ours(run, [](const RouterSetup& setup) {
        return GateRouter(setup, admission::GateSettings{});
      });
      print("ours", ours.Run());
      const std::vector<std::pair<const char*, Baseline>> baselines{
          {"random", Baseline::kRandom},
          {"round_robin", Baseline::kRoundRobin},
          {"least", Baseline::kLeastInFlight},
          {"two_raw", Baseline::kTwoChoicesRaw}};
      for (const auto& [name, baseline] : baselines) {
        Simulation<PlainRouter> plain(run,
                                      [b = baseline](const RouterSetup& setup) {
                                        return PlainRouter(setup, b);
                                      });
        print(name, plain.Run());
      }
    }
  }
  return 0;
}
