#include <cxxopts.hpp>
#include <iostream>

#include "test/soak/soak.h"

namespace {

namespace soak = toucanwharf::soak;

/// Plays one seed; returns whether every promise held.
bool PlaySeed(const soak::SoakSettings& settings) {
  const soak::SoakEnd end = soak::RunSoak(settings);
  std::cout << "seed " << settings.seed << ": " << end.requests << " requests, "
            << end.answered << " answered, " << end.broken.size() << " broken"
            << std::endl;
  if (end.broken.empty()) return true;
  for (const std::string& line : end.broken) std::cout << "  " << line << "\n";
  for (const soak::Fault& fault : soak::PlanFaults(settings)) {
    std::cout << "  fault at " << soak::Describe(fault) << "\n";
  }
  return false;
}

int Run(const cxxopts::ParseResult& options) {
  soak::SoakSettings settings;
  settings.routers = options["routers"].as<std::size_t>();
  settings.length_ms = options["seconds"].as<int>() * std::int64_t{1000};
  std::uint64_t failed = 0;
  for (const std::uint64_t seed :
       options["seeds"].as<std::vector<std::uint64_t>>()) {
    settings.seed = seed;
    if (!PlaySeed(settings)) ++failed;
  }
  std::cout << failed << " seeds with broken promises" << std::endl;
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("soak", "faults at random on real routers");
  options.add_options()("help", "print this")(
      "seeds", "which to play, with commas between",
      cxxopts::value<std::vector<std::uint64_t>>()->default_value("1"))(
      "seconds", "how long faults come",
      cxxopts::value<int>()->default_value("12"))(
      "routers", "how many", cxxopts::value<std::size_t>()->default_value("4"));
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
