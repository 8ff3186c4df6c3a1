#include <cxxopts.hpp>
#include <exception>
#include <iostream>

#include "bench/recovery/measure.h"
#include "bench/recovery/scenario.h"

namespace {

using toucanwharf::bench::AllFaults;
using toucanwharf::bench::Deployment;
using toucanwharf::bench::Fault;
using toucanwharf::bench::Row;
using toucanwharf::bench::RunFault;

std::vector<Deployment> Deployments() {
  return {{"atlas", {"casa-a", "casa-b", "berrechid"}, 3, 400},
          {"rangi", {"kg-nyarugenge", "kg-gasabo", "kg-kicukiro"}, 1, 60}};
}

int Run(int rounds, std::uint64_t seed) {
  std::vector<Row> rows;
  for (const Deployment& deployment : Deployments()) {
    for (const Fault fault : AllFaults()) {
      rows.push_back(RunFault(deployment, fault, rounds, seed));
      std::cerr << rows.back().deployment << ": " << rows.back().fault
                << " done\n";
    }
  }
  toucanwharf::bench::Print(rows, seed);
  for (const Row& row : rows) {
    if (row.wrong > 0) return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "bench_recovery",
      "Recovery times of real processes on loopback; exits 1 if any answer was "
      "incomplete or had wrong tokens.");
  options.add_options()("rounds", "number of fleets for each fault",
                        cxxopts::value<int>()->default_value("5"))(
      "seed", "seed of prompts and sampling",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                           "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Run(parsed["rounds"].as<int>(), parsed["seed"].as<std::uint64_t>());
  } catch (const std::exception& error) {
    std::cerr << "bench_recovery: " << error.what() << "\n";
    return 2;
  }
}
