#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "bench/capacity/fleet.h"

/// Measures the cost of the control plane per router, by the number of routers
/// and of endpoints. Prints the tables of docs/CAPACITY.md.
namespace {

using toucanwharf::bench::CapacityFleet;
using toucanwharf::bench::Usage;

constexpr int kWrites = 5;
constexpr std::chrono::milliseconds kWriteInterval{500};

/// Usage per second and router.
struct Rates {
  double cpu_percent = 0;
  double gossip_bytes = 0;
  double wire_bytes = 0;
  double platform_calls = 0;
};

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }

Rates RatesBetween(const Usage& before, const Usage& after, double seconds,
                   double routers) {
  const double router_seconds = seconds * routers;
  const double bytes_per_probe =
      Ratio(after.relayed_bytes - before.relayed_bytes,
            after.relayed_probes - before.relayed_probes);
  Rates rates;
  rates.cpu_percent =
      100 * (after.cpu_seconds - before.cpu_seconds) / router_seconds;
  rates.gossip_bytes =
      (after.gossip_bytes - before.gossip_bytes) / router_seconds;
  rates.wire_bytes =
      bytes_per_probe * (after.probes - before.probes) / router_seconds;
  rates.platform_calls =
      (after.platform_calls - before.platform_calls) / router_seconds;
  return rates;
}

/// Measures usage for \p seconds, with a record write every 500 ms if
/// \p with_writes.
Rates Measure(CapacityFleet& fleet, int seconds, bool with_writes) {
  const Usage before = fleet.CurrentUsage();
  const auto start = std::chrono::steady_clock::now();
  const auto end = start + std::chrono::seconds(seconds);
  for (std::size_t number = 100; std::chrono::steady_clock::now() < end;
       ++number) {
    if (with_writes) fleet.WriteRecord(number);
    std::this_thread::sleep_for(kWriteInterval);
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return RatesBetween(before, fleet.CurrentUsage(), elapsed.count(),
                      static_cast<double>(fleet.Size()));
}

void PrintRow(std::size_t routers, std::size_t engines, int seconds,
              std::uint16_t first_port) {
  CapacityFleet fleet(routers, engines, first_port);
  const double join_seconds = fleet.WaitForMembers();
  // Waits until the start is gossiped and the endpoint lists are read. The byte
  // cap of gossip makes this take longer with more routers.
  const auto settle_seconds = std::max<std::size_t>(routers / 2, 10);
  std::this_thread::sleep_for(std::chrono::seconds(settle_seconds));
  const Rates idle = Measure(fleet, seconds, false);
  const Rates changing = Measure(fleet, seconds, true);
  const double resident_mib =
      fleet.CurrentUsage().resident_mib / static_cast<double>(routers);
  std::vector<double> in_force_seconds;
  for (int write = 0; write < kWrites; ++write) {
    in_force_seconds.push_back(
        fleet.TimeUntilInForce(1000 + static_cast<std::size_t>(write)));
  }
  std::sort(in_force_seconds.begin(), in_force_seconds.end());
  const double death_seconds = fleet.TimeUntilDeathKnown();
  std::printf(
      "| %zu | %zu | %.2f | %.2f | %.1f | %.0f | %.0f | %.0f | %.2f | %.2f | "
      "%.1f | %.2f | %.2f | %.1f |\n",
      routers, engines, idle.cpu_percent, changing.cpu_percent, resident_mib,
      idle.gossip_bytes, idle.wire_bytes, changing.wire_bytes,
      idle.platform_calls, changing.platform_calls, join_seconds,
      in_force_seconds[kWrites / 2], in_force_seconds.back(), death_seconds);
  std::fflush(stdout);
}

/// Prints a row, or the reason why it could not be measured. A failure does not
/// stop the other rows.
void TryRow(std::size_t routers, std::size_t engines, int seconds,
            std::uint16_t first_port) {
  try {
    PrintRow(routers, engines, seconds, first_port);
  } catch (const std::exception& error) {
    std::printf("| %zu | %zu | not measured: %s |\n", routers, engines,
                error.what());
    std::fflush(stdout);
  }
}

void PrintHeader() {
  std::printf(
      "| routers | endpoints | CPU idle %% | CPU change %% | RSS MiB | gossip "
      "idle B/s | wire idle B/s | wire change B/s | platform calls idle /s | "
      "platform calls change /s | joined s | in force p50 s | in force max s | "
      "death known s |\n");
  std::printf("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("bench_capacity",
                           "Cost of the control plane by fleet size.");
  options.add_options()("help", "print this help")(
      "routers", "numbers of routers",
      cxxopts::value<std::vector<std::size_t>>()->default_value(
          "6,12,24,48,96"))(
      "engines", "numbers of endpoints, with 6 routers",
      cxxopts::value<std::vector<std::size_t>>()->default_value("10,40"))(
      "first-port", "first port that routers listen on",
      cxxopts::value<std::uint16_t>()->default_value("12000"))(
      "seconds", "length of each measurement in seconds",
      cxxopts::value<int>()->default_value("10"));
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << std::endl;
      return 0;
    }
    const int seconds = parsed["seconds"].as<int>();
    const auto first_port = parsed["first-port"].as<std::uint16_t>();
    PrintHeader();
    for (const std::size_t routers :
         parsed["routers"].as<std::vector<std::size_t>>()) {
      TryRow(routers, 0, seconds, first_port);
    }
    constexpr std::size_t kSmallFleet = 6;
    for (const std::size_t engines :
         parsed["engines"].as<std::vector<std::size_t>>()) {
      TryRow(kSmallFleet, engines, seconds, first_port);
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 1;
  }
  return 0;
}
