#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <iterator>
#include <string>
#include <vector>

#include "experiments.h"
#include "report.h"

/// Measures the decisions under load on virtual time; see
/// docs/design/load.md.
namespace {

using toucanwharf::bench::Row;

constexpr std::uint64_t kDefaultSeed = 7;

void Append(std::vector<Row>& rows, std::vector<Row> more) {
  rows.insert(rows.end(), std::make_move_iterator(more.begin()),
              std::make_move_iterator(more.end()));
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("bench_decisions",
                           "Decisions under load against the computed bound.");
  options.add_options()("seed", "Seed of traffic and draws",
                        cxxopts::value<std::uint64_t>()->default_value(
                            std::to_string(kDefaultSeed)))(
      "output", "text or json",
      cxxopts::value<std::string>()->default_value("text"))(
      "plots", "Folder to write the SVG plots to",
      cxxopts::value<std::string>()->default_value(""))(
      "quick", "Without the runs of 800 endpoints")("help", "Print this");
  return options;
}

bool WritePlots(const std::vector<Row>& rows, const std::string& folder) {
  for (const std::uint32_t routers : {1U, 6U}) {
    const std::string path =
        folder + "/goodput-" + std::to_string(routers) + "-routers.svg";
    if (!toucanwharf::bench::PlotGoodput(rows, routers, path)) {
      std::fprintf(stderr, "can't write %s: name a folder that exists\n",
                   path.c_str());
      return false;
    }
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const cxxopts::ParseResult given = options.parse(argc, argv);
  if (given.count("help") > 0) {
    std::printf("%s\n", options.help().c_str());
    return 0;
  }
  const auto seed = given["seed"].as<std::uint64_t>();
  std::vector<Row> rows = toucanwharf::bench::RunSweep(seed);
  Append(rows, toucanwharf::bench::RunHeavyCustomer(seed));
  if (given.count("quick") == 0) {
    Append(rows, toucanwharf::bench::RunLarge(seed));
  }
  if (given["output"].as<std::string>() == "json") {
    std::printf("%s\n", toucanwharf::bench::ToJson(rows, seed).c_str());
  } else {
    toucanwharf::bench::PrintTable(rows);
  }
  const auto plots = given["plots"].as<std::string>();
  return plots.empty() || WritePlots(rows, plots) ? 0 : 1;
}
