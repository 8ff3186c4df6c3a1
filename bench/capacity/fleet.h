#ifndef TOUCANWHARF_BENCH_CAPACITY_FLEET_H_
#define TOUCANWHARF_BENCH_CAPACITY_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "test/process/fixture.h"

/// Real routers with a stand-in platform and stand-in engines on loopback.
namespace toucanwharf::bench {

/// Resources used so far, summed over the routers; calls that the platform
/// received.
struct Usage {
  double cpu_seconds = 0;
  double resident_mib = 0;
  double probes = 0;
  double gossip_bytes = 0;
  double platform_calls = 0;
  /// Through the relay in front of router 0: bytes in both directions, and the
  /// probes that router 0 received.
  double relayed_bytes = 0;
  double relayed_probes = 0;
};

/// The processes of one measurement, stopped by the destructor.
/// Thread safety: none.
class CapacityFleet {
 public:
  /// Starts \p routers routers and \p engines engines. Routers listen on ports
  /// from \p first_port on, which should lie below the system's ephemeral
  /// range: with so many connections, a port found free there is often taken
  /// again.
  CapacityFleet(std::size_t routers, std::size_t engines,
                std::uint16_t first_port);

  /// Waits until each router lists all members; returns the seconds it took.
  double WaitForMembers();
  Usage CurrentUsage() const;
  /// Writes a record and returns when the platform has stored it. \p number
  /// makes its content differ.
  void WriteRecord(std::size_t number);
  /// Writes a record and returns the seconds until all routers have a new
  /// generation in force.
  double TimeUntilInForce(std::size_t number);
  /// Kills the last router and returns the seconds until no other router lists
  /// it as a member.
  double TimeUntilDeathKnown();
  /// Returns the number of running routers.
  std::size_t Size() const { return this->routers.size(); }

 private:
  void AddEngine(std::size_t number);
  void AddRouter(std::size_t number);
  std::string NextAddress();
  std::string StartRelayFor(const std::string& address);
  nlohmann::json Status(std::size_t router) const;
  double MetricValue(const std::string& text, const std::string& name) const;
  void RegisterInstance(const nlohmann::json& instance) const;

  std::unique_ptr<process_test::Process> platform;
  std::string platform_address;
  std::unique_ptr<process_test::Process> relay;
  std::string relay_admin;
  std::vector<std::unique_ptr<process_test::Process>> engines;
  std::vector<std::unique_ptr<process_test::Process>> routers;
  std::vector<std::string> admins;
  /// Calls by the benchmark itself, which the platform counts as well.
  double bench_calls = 0;
  std::uint16_t next_port;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_CAPACITY_FLEET_H_
