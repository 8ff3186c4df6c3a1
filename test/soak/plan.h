#ifndef TOUCANWHARF_TEST_SOAK_PLAN_H_
#define TOUCANWHARF_TEST_SOAK_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "standins/fleet/endpoints.h"
#include "standins/fleet/store.h"

/// A soak: real routers as processes, faults from outside them drawn from a
/// seed, and checks of what callers and endpoints see.
namespace toucanwharf::soak {

enum class FaultKind {
  /// The router is killed, and started again.
  kKill,
  /// It is suspended, and goes on.
  kSuspend,
  /// It is told to stop, and started again.
  kStop,
  /// It gets SIGHUP.
  kReload,
  /// The store misbehaves towards one router.
  kStore,
  /// Connections between one router and the store are delayed, reset or fall
  /// silent in a relay.
  kLinkDelayed,
  kLinkReset,
  kLinkSilent,
  /// An endpoint misbehaves.
  kEndpoint,
  /// The second customer's key is taken away, and given back.
  kRevocation,
};

/// One fault, in milliseconds since the callers began.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  /// Number of the router, where it is one.
  std::size_t router = 0;
  std::int64_t at_ms = 0;
  std::int64_t for_ms = 0;
  standins::fleet::StoreFault store = standins::fleet::StoreFault::kNone;
  standins::fleet::EndpointFault endpoint_fault =
      standins::fleet::EndpointFault::kNone;
  std::string endpoint;

  friend bool operator==(const Fault&, const Fault&) = default;
};

/// What to play.
struct SoakSettings {
  std::uint64_t seed = 1;
  std::size_t routers = 4;
  std::size_t callers = 8;
  std::int64_t length_ms = 12000;
  /// Mean time between two faults: several overlap.
  std::int64_t fault_every_ms = 500;

  friend bool operator==(const SoakSettings&, const SoakSettings&) = default;
};

/// Returns the faults of \p settings, by time; the same for the same settings.
/// Thread safety: safe.
std::vector<Fault> PlanFaults(const SoakSettings& settings);

/// Returns \p fault for a log. Thread safety: safe.
std::string Describe(const Fault& fault);

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_PLAN_H_
