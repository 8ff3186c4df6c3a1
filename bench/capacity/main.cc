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

/// What control costs each router, by the number of routers and of endpoints.
/// Prints the tables of docs/CAPACITY.md.
namespace {

using toucanwharf::bench::CapacityFleet;
using toucanwharf::bench::Usage;

constexpr int kWrites = 5;
constexpr std::chrono::milliseconds kBetweenWrites{500};

/// Usage per second and router.
struct Rates {
  double cpu_percent = 0;
  double gossip_bytes = 0;
  double wire_bytes = 0;
  double platform_calls = 0;
};

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }

Rates Between(const Usage& before, const Usage& after, double seconds,
              double routers) {
  const double share = seconds * routers;
  const double bytes_per_probe =
      Ratio(after.relayed_bytes - before.relayed_bytes,
            after.relayed_probes - before.relayed_probes);
  Rates rates;
  rates.cpu_percent = 100 * (after.cpu_seconds - before.cpu_seconds) / share;
  rates.gossip_bytes = (after.gossip_bytes - before.gossip_bytes) / share;
  rates.wire_bytes = bytes_per_probe * (after.probes - before.probes) / share;
  rates.platform_calls = (after.platform_calls - before.platform_calls) / share;
  return rates;
}

/// Lets \p seconds pass, with a write every half a second if \p change.
Rates Measure(CapacityFleet& fleet, int seconds, bool change) {
  const Usage before = fleet.Used();
  const auto start = std::chrono::steady_clock::now();
  const auto end = start + std::chrono::seconds(seconds);
  for (std::size_t number = 100; std::chrono::steady_clock::now() < end;
       ++number) {
    if (change) fleet.WriteRecord(number);
    std::this_thread::sleep_for(kBetweenWrites);
  }
  const std::chrono::duration<double> passed =
      std::chrono::steady_clock::now() - start;
  return Between(before, fleet.Used(), passed.count(),
                 static_cast<double>(fleet.Size()));
}

void PrintRow(std::size_t routers, std::size_t engines, int seconds,
              std::uint16_t first_port) {
  CapacityFleet fleet(routers, engines, first_port);
  const double joined = fleet.WaitForMembers();
  // Until news of the start is told, and the lists of endpoints are read; the
  // byte cap makes that longer for more routers.
  const auto settle = std::max<std::size_t>(routers / 2, 10);
  std::this_thread::sleep_for(std::chrono::seconds(settle));
  const Rates idle = Measure(fleet, seconds, false);
  const Rates change = Measure(fleet, seconds, true);
  const double resident =
      fleet.Used().resident_mib / static_cast<double>(routers);
  std::vector<double> in_force;
  for (int write = 0; write < kWrites; ++write) {
    in_force.push_back(
        fleet.WriteUntilInForce(1000 + static_cast<std::size_t>(write)));
  }
  std::sort(in_force.begin(), in_force.end());
  const double death = fleet.KillUntilKnown();
  std::printf(
      "| %zu | %zu | %.2f | %.2f | %.1f | %.0f | %.0f | %.0f | %.2f | %.2f | "
      "%.1f | %.2f | %.2f | %.1f |\n",
      routers, engines, idle.cpu_percent, change.cpu_percent, resident,
      idle.gossip_bytes, idle.wire_bytes, change.wire_bytes,
      idle.platform_calls, change.platform_calls, joined, in_force[kWrites / 2],
      in_force.back(), death);
  std::fflush(stdout);
}

/// A row that can't be measured says why, and the others follow.
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

void PrintHead() {
  std::printf(
      "| routers | endpoints | CPU idle %% | CPU change %% | RSS MiB | gossip "
      "idle B/s | wire idle B/s | wire change B/s | platform calls idle /s | "
      "platform calls change /s | joined s | in force p50 s | in force max s | "
      "death known s |\n");
  std::printf("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n");
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("bench_capacity", "cost of control by fleet size");
  options.add_options()("help", "print this")(
      "routers", "sizes of the fleet",
      cxxopts::value<std::vector<std::size_t>>()->default_value(
          "6,12,24,48,96"))(
      "engines", "numbers of endpoints, for 6 routers",
      cxxopts::value<std::vector<std::size_t>>()->default_value("10,40"))(
      "first-port", "first of the ports that routers listen on",
      cxxopts::value<std::uint16_t>()->default_value("12000"))(
      "seconds", "length of each window",
      cxxopts::value<int>()->default_value("10"));
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << std::endl;
      return 0;
    }
    const int seconds = parsed["seconds"].as<int>();
    const auto first_port = parsed["first-port"].as<std::uint16_t>();
    PrintHead();
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
