#include "experiments.h"

#include <array>
#include <utility>

namespace toucanwharf::bench {
namespace {

constexpr std::uint32_t kSmallFleet = 40;
constexpr std::uint32_t kLargeFleet = 800;
constexpr std::uint32_t kFewCustomers = 10;
constexpr std::uint32_t kManyCustomers = 480;
constexpr std::array<std::uint32_t, 2> kRouterCounts{1, 6};

/// One run to do; `offered` is the load as a fraction of the bound.
struct Case {
  std::string experiment;
  RunSettings run;
  double offered = 0;
};

Case MakeCase(const std::string& experiment, std::uint32_t endpoints,
              std::uint32_t routers, double offered, std::uint64_t seed) {
  Case run_case;
  run_case.experiment = experiment;
  run_case.offered = offered;
  run_case.run.endpoints = endpoints;
  run_case.run.routers = routers;
  run_case.run.traffic.seed = seed;
  run_case.run.traffic.customers =
      endpoints == kSmallFleet ? kFewCustomers : kManyCustomers;
  return run_case;
}

Bound BoundOf(const Case& run_case) {
  return ComputeBound(MakeFleet(run_case.run.endpoints),
                      SampleMix(run_case.run.traffic));
}

Row MakeRow(const Case& run_case, const std::string& policy, const Bound& bound,
            const RunResult& result) {
  return Row{run_case.experiment,
             policy,
             run_case.run.endpoints,
             run_case.run.routers,
             run_case.offered,
             result.requests_per_second / bound.requests_per_second,
             result.tokens_per_second / bound.tokens_per_second,
             result};
}

/// Settings for comparison: limits that ignore KV memory, a backlog of one
/// request per router inside an endpoint, and two draws.
admission::AdmissionSettings FirstVersionSettings() {
  admission::AdmissionSettings settings;
  settings.limiter.backlog = 1;
  settings.limiter.memory_part = -1e12;
  settings.draws = 2;
  return settings;
}

Row RunAdmission(Case run_case, const std::string& policy,
                 const admission::AdmissionSettings& settings,
                 const Bound& bound) {
  run_case.run.traffic.requests_per_second =
      run_case.offered * bound.requests_per_second;
  Simulation<AdmissionRouter> simulation(
      run_case.run, [&settings](const RouterSetup& setup) {
        return AdmissionRouter(setup, settings);
      });
  return MakeRow(run_case, policy, bound, simulation.Run());
}

Row RunBaseline(Case run_case, const std::string& policy, Baseline baseline,
                const Bound& bound) {
  run_case.run.traffic.requests_per_second =
      run_case.offered * bound.requests_per_second;
  Simulation<BaselineRouter> simulation(
      run_case.run, [baseline](const RouterSetup& setup) {
        return BaselineRouter(setup, baseline);
      });
  return MakeRow(run_case, policy, bound, simulation.Run());
}

void RunAll(const Case& run_case, std::vector<Row>& rows) {
  const Bound bound = BoundOf(run_case);
  rows.push_back(RunAdmission(run_case, "toucanwharf", {}, bound));
  rows.push_back(
      RunAdmission(run_case, "first version", FirstVersionSettings(), bound));
  rows.push_back(RunBaseline(run_case, "random", Baseline::kRandom, bound));
  rows.push_back(
      RunBaseline(run_case, "round robin", Baseline::kRoundRobin, bound));
  rows.push_back(RunBaseline(run_case, "least in flight",
                             Baseline::kLeastInFlight, bound));
  rows.push_back(RunBaseline(run_case, "two choices on raw reports",
                             Baseline::kTwoChoicesRaw, bound));
}

void RunHeavyPair(std::uint32_t routers, double load, std::uint64_t seed,
                  std::vector<Row>& rows) {
  constexpr double kHeavyFactor = 10;
  for (const double factor : {1.0, kHeavyFactor}) {
    const std::string name = factor == 1.0 ? "even" : "heavy";
    Case run_case = MakeCase(name, kSmallFleet, routers, load, seed);
    run_case.run.traffic.heavy_factor = factor;
    const double customers = run_case.run.traffic.customers;
    run_case.offered = load * (customers - 1 + factor) / customers;
    const Bound bound = BoundOf(run_case);
    rows.push_back(RunAdmission(run_case, "toucanwharf", {}, bound));
    rows.push_back(RunBaseline(run_case, "two choices on raw reports",
                               Baseline::kTwoChoicesRaw, bound));
  }
}

}  // namespace

std::vector<Row> RunSweep(std::uint64_t seed) {
  constexpr std::array<double, 8> kLoads{0.5, 0.8, 0.9, 1.0,
                                         1.2, 1.5, 2.0, 3.0};
  std::vector<Row> rows;
  for (const std::uint32_t routers : kRouterCounts) {
    for (const double load : kLoads) {
      RunAll(MakeCase("sweep", kSmallFleet, routers, load, seed), rows);
    }
  }
  return rows;
}

std::vector<Row> RunLarge(std::uint64_t seed) {
  constexpr std::array<double, 4> kLoads{0.9, 1.0, 1.2, 3.0};
  std::vector<Row> rows;
  for (const std::uint32_t routers : kRouterCounts) {
    for (const double load : kLoads) {
      Case run_case = MakeCase("large", kLargeFleet, routers, load, seed);
      run_case.run.seconds = 60;
      RunAll(run_case, rows);
    }
  }
  return rows;
}

std::vector<Row> RunHeavyCustomer(std::uint64_t seed) {
  // Small customers that use part of their share, or nearly all of it.
  constexpr std::array<double, 2> kLoads{0.6, 0.9};
  std::vector<Row> rows;
  for (const std::uint32_t routers : kRouterCounts) {
    for (const double load : kLoads) {
      RunHeavyPair(routers, load, seed, rows);
    }
  }
  return rows;
}

}  // namespace toucanwharf::bench
