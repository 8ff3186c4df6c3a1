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

/// What one run is asked for.
struct Case {
  std::string experiment;
  RunSettings run;
  double offered = 0;
};

Case MakeCase(const std::string& experiment, std::uint32_t endpoints,
              std::uint32_t routers, double offered, std::uint64_t seed) {
  Case wanted;
  wanted.experiment = experiment;
  wanted.offered = offered;
  wanted.run.endpoints = endpoints;
  wanted.run.routers = routers;
  wanted.run.traffic.seed = seed;
  wanted.run.traffic.customers =
      endpoints == kSmallFleet ? kFewCustomers : kManyCustomers;
  return wanted;
}

Bound BoundOf(const Case& wanted) {
  return ComputeBound(MakeFleet(wanted.run.endpoints),
                      SampleMix(wanted.run.traffic));
}

Row MakeRow(const Case& wanted, const std::string& policy, const Bound& bound,
            const RunResult& result) {
  return Row{wanted.experiment,
             policy,
             wanted.run.endpoints,
             wanted.run.routers,
             wanted.offered,
             result.requests_per_second / bound.requests_per_second,
             result.tokens_per_second / bound.tokens_per_second,
             result};
}

/// The settings with which the gate was first measured: limits that see no KV
/// memory, one request for each router waiting inside an endpoint, two draws.
admission::AdmissionSettings FirstVersion() {
  admission::AdmissionSettings settings;
  settings.limiter.backlog = 1;
  settings.limiter.memory_part = -1e12;
  settings.draws = 2;
  return settings;
}

Row RunGate(Case wanted, const std::string& policy,
            const admission::AdmissionSettings& settings, const Bound& bound) {
  wanted.run.traffic.requests_per_second =
      wanted.offered * bound.requests_per_second;
  Simulation<GateRouter> simulation(wanted.run,
                                    [&settings](const RouterSetup& setup) {
                                      return GateRouter(setup, settings);
                                    });
  return MakeRow(wanted, policy, bound, simulation.Run());
}

Row RunPlain(Case wanted, const std::string& policy, Baseline baseline,
             const Bound& bound) {
  wanted.run.traffic.requests_per_second =
      wanted.offered * bound.requests_per_second;
  Simulation<PlainRouter> simulation(wanted.run,
                                     [baseline](const RouterSetup& setup) {
                                       return PlainRouter(setup, baseline);
                                     });
  return MakeRow(wanted, policy, bound, simulation.Run());
}

void RunAll(const Case& wanted, std::vector<Row>& rows) {
  const Bound bound = BoundOf(wanted);
  rows.push_back(RunGate(wanted, "toucanwharf", {}, bound));
  rows.push_back(RunGate(wanted, "first version", FirstVersion(), bound));
  rows.push_back(RunPlain(wanted, "random", Baseline::kRandom, bound));
  rows.push_back(RunPlain(wanted, "round robin", Baseline::kRoundRobin, bound));
  rows.push_back(
      RunPlain(wanted, "least in flight", Baseline::kLeastInFlight, bound));
  rows.push_back(RunPlain(wanted, "two choices on raw reports",
                          Baseline::kTwoChoicesRaw, bound));
}

void RunHeavyPair(std::uint32_t routers, double load, std::uint64_t seed,
                  std::vector<Row>& rows) {
  constexpr double kHeavyFactor = 10;
  for (const double factor : {1.0, kHeavyFactor}) {
    const std::string name = factor == 1.0 ? "even" : "heavy";
    Case wanted = MakeCase(name, kSmallFleet, routers, load, seed);
    wanted.run.traffic.heavy_factor = factor;
    const double customers = wanted.run.traffic.customers;
    wanted.offered = load * (customers - 1 + factor) / customers;
    const Bound bound = BoundOf(wanted);
    rows.push_back(RunGate(wanted, "toucanwharf", {}, bound));
    rows.push_back(RunPlain(wanted, "two choices on raw reports",
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
      Case wanted = MakeCase("large", kLargeFleet, routers, load, seed);
      wanted.run.seconds = 60;
      RunAll(wanted, rows);
    }
  }
  return rows;
}

std::vector<Row> RunHeavyCustomer(std::uint64_t seed) {
  // Small customers that use a part of their share, and nearly all of it.
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
