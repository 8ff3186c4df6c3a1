#ifndef TOUCANWHARF_BENCH_DECISIONS_EXPERIMENTS_H_
#define TOUCANWHARF_BENCH_DECISIONS_EXPERIMENTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "simulation.h"

namespace toucanwharf::bench {

/// One line of the report: one policy under one load.
struct Row {
  std::string experiment;
  std::string policy;
  std::uint32_t endpoints = 0;
  std::uint32_t routers = 0;
  /// Offered requests as a fraction of the bound.
  double offered = 0;
  /// Requests and tokens of complete answers as fractions of the bound.
  double requests_of_bound = 0;
  double tokens_of_bound = 0;
  RunResult result;
};

/// Measures goodput against offered load for the default settings, "first
/// version" and the baselines, with 40 endpoints and 1 and 6 routers.
std::vector<Row> RunSweep(std::uint64_t seed);

/// The same at four loads with 800 endpoints and 480 customers.
std::vector<Row> RunLarge(std::uint64_t seed);

/// Measures small customers beside one that sends its share, then ten times its
/// share.
std::vector<Row> RunHeavyCustomer(std::uint64_t seed);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_EXPERIMENTS_H_
