#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <iterator>
#include <string>
#include <vector>

#include "experiments.h"
#include "report.h"

/// Simulates admission and routing under load on virtual time; see
/// docs/design/load.md.
namespace {

using toucanwharf::bench::Row;

constexpr std::uint64_t kDefaultSeed = 7;

void Append(std::vector<Row>& rows, std::vector<Row> more) {
  rows.insert(rows.end(), std::make_move_iterator(more.begin()),
              std::make_move_iterator(more.end()));
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "bench_decisions",
      "Simulates routing decisions under load against the computed bound.");
  options.add_options()("seed", "Seed of traffic and random choices",
                        cxxopts::value<std::uint64_t>()->default_value(
                            std::to_string(kDefaultSeed)))(
      "output", "text or json",
      cxxopts::value<std::string>()->default_value("text"))(
      "plots", "Existing folder for the SVG plots",
      cxxopts::value<std::string>()->default_value(""))(
      "quick", "Skip the runs with 800 endpoints")("help", "Print this");
  return options;
}

bool WritePlots(const std::vector<Row>& rows, const std::string& folder) {
  for (const std::uint32_t routers : {1U, 6U}) {
    const std::string path =
        folder + "/goodput-" + std::to_string(routers) + "-routers.svg";
    if (!toucanwharf::bench::PlotGoodput(rows, routers, path)) {
      std::fprintf(stderr,
                   "cannot write %s: --plots must name an existing folder\n",
                   path.c_str());
      return false;
    }
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::printf("%s\n", options.help().c_str());
    return 0;
  }
  const auto seed = parsed["seed"].as<std::uint64_t>();
  std::vector<Row> rows = toucanwharf::bench::RunSweep(seed);
  Append(rows, toucanwharf::bench::RunHeavyCustomer(seed));
  if (parsed.count("quick") == 0) {
    Append(rows, toucanwharf::bench::RunLarge(seed));
  }
  if (parsed["output"].as<std::string>() == "json") {
    std::printf("%s\n", toucanwharf::bench::ToJson(rows, seed).c_str());
  } else {
    toucanwharf::bench::PrintTable(rows);
  }
  const auto plots = parsed["plots"].as<std::string>();
  return plots.empty() || WritePlots(rows, plots) ? 0 : 1;
}
