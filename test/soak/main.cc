#include <cxxopts.hpp>
#include <iostream>

#include "test/soak/soak.h"

namespace {

namespace soak = toucanwharf::soak;

/// Runs the soak for one seed, prints the result, and returns whether there
/// was no violation.
bool RunSeed(const soak::SoakSettings& settings) {
  const soak::SoakResult result = soak::RunSoak(settings);
  std::cout << "seed " << settings.seed << ": " << result.requests
            << " requests, " << result.answered << " answered, "
            << result.violations.size() << " broken" << std::endl;
  if (result.violations.empty()) return true;
  for (const std::string& line : result.violations) {
    std::cout << "  " << line << "\n";
  }
  for (const soak::Fault& fault : soak::PlanFaults(settings)) {
    std::cout << "  fault at " << soak::Describe(fault) << "\n";
  }
  return false;
}

int Run(const cxxopts::ParseResult& options) {
  soak::SoakSettings settings;
  settings.routers = options["routers"].as<std::size_t>();
  settings.duration_ms = options["seconds"].as<int>() * std::int64_t{1000};
  settings.crashing_requests = options.count("crashing-requests") > 0;
  settings.endpoint_limits = options.count("endpoint-limits") > 0;
  settings.cut_paths = options.count("cut-paths") > 0;
  settings.endpoint_pauses = options.count("endpoint-pauses") > 0;
  settings.store_returns = options.count("store-returns") > 0;
  settings.crashing_parts = options.count("crashing-parts") > 0;
  settings.crash_cuts = options.count("crash-cuts") > 0;
  settings.fleet_restarts = options.count("fleet-restarts") > 0;
  settings.endpoint_stops = options.count("endpoint-stops") > 0;
  settings.odd_entries = options.count("odd-entries") > 0;
  settings.crash_forms = options.count("crash-forms") > 0;
  settings.crowds = options.count("crowds") > 0;
  settings.faulty_answers = options.count("faulty-answers") > 0;
  settings.planned_stops = options.count("planned-stops") > 0;
  settings.callers = options["callers"].as<std::size_t>();
  std::uint64_t failed = 0;
  for (const std::uint64_t seed :
       options["seeds"].as<std::vector<std::uint64_t>>()) {
    settings.seed = seed;
    if (!RunSeed(settings)) ++failed;
  }
  std::cout << failed << " seeds with broken promises" << std::endl;
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("soak", "random faults on real routers");
  options.add_options()("help", "print this")(
      "seeds", "comma-separated seeds to run",
      cxxopts::value<std::vector<std::uint64_t>>()->default_value("1"))(
      "seconds", "time in which faults start, in seconds",
      cxxopts::value<int>()->default_value("12"))(
      "routers", "number of routers",
      cxxopts::value<std::size_t>()->default_value("4"))(
      "callers", "number of callers",
      cxxopts::value<std::size_t>()->default_value("8"))(
      "crashing-requests", "send requests that crash endpoints, too")(
      "endpoint-limits", "let endpoints state limits, too")(
      "cut-paths", "cut links from routers to endpoints, too")(
      "endpoint-pauses", "let endpoints ask for pauses, too")(
      "store-returns", "let the store return from older copies, too")(
      "crashing-parts",
      "send requests that share a part that crashes engines, too")(
      "crash-cuts",
      "cut unframed answers between events and before the first, too")(
      "fleet-restarts", "kill all routers at once, too")(
      "endpoint-stops",
      "stop endpoints, which go on, and let them send bytes of bad form, too")(
      "odd-entries", "leave odd entries among the endpoints, too")(
      "crash-forms", "vary how requests crash engines")(
      "crowds", "let clients misbehave, on small machines")(
      "faulty-answers", "let endpoints spoil their answers, on small machines")(
      "planned-stops",
      "stop routers as planned, while callers keep their connections");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Run(parsed);
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
}
