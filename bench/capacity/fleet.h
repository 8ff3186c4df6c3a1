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

/// What the routers and the platform have used until now, summed.
struct Usage {
  double cpu_seconds = 0;
  double resident_mib = 0;
  double probes = 0;
  double gossip_bytes = 0;
  double platform_calls = 0;
  /// Through the relay before router 0: bytes of both directions, and the
  /// probes that came that way.
  double relayed_bytes = 0;
  double relayed_probes = 0;
};

/// Routers of one measurement, stopped with the object.
/// Thread safety: none.
class CapacityFleet {
 public:
  /// Starts \p routers routers and \p engines engines. Routers listen from
  /// \p first_port on, which should lie below the system's ephemeral ports:
  /// with so many connections a port that was free a moment ago often isn't.
  CapacityFleet(std::size_t routers, std::size_t engines,
                std::uint16_t first_port);

  /// Waits until each router knows all others; returns the seconds it took.
  double WaitForMembers();
  /// Returns what was used until now.
  Usage Used() const;
  /// Writes a record, and returns once it was taken. \p number varies it.
  void WriteRecord(std::size_t number);
  /// Writes a record and returns the seconds until all have a new generation.
  double WriteUntilInForce(std::size_t number);
  /// Kills the last router, and returns the seconds until no other counts it
  /// as a member.
  double KillUntilKnown();
  /// Returns the number of routers.
  std::size_t Size() const { return this->routers.size(); }

 private:
  void AddEngine(std::size_t number);
  void AddRouter(std::size_t number);
  std::string NextAddress();
  std::string RelayBefore(const std::string& address);
  nlohmann::json Status(std::size_t router) const;
  double Metric(const std::string& text, const std::string& name) const;
  void List(const nlohmann::json& instance) const;

  std::unique_ptr<process_test::Process> platform;
  std::string platform_address;
  std::unique_ptr<process_test::Process> relay;
  std::string relay_admin;
  std::vector<std::unique_ptr<process_test::Process>> engines;
  std::vector<std::unique_ptr<process_test::Process>> routers;
  std::vector<std::string> admins;
  /// Writes of the measurement itself, which the platform counts too.
  double own_calls = 0;
  std::uint16_t next_port;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_CAPACITY_FLEET_H_
