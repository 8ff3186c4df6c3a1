#ifndef TOUCANWHARF_BENCH_RECOVERY_SCENARIO_H_
#define TOUCANWHARF_BENCH_RECOVERY_SCENARIO_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/recovery/measure.h"

namespace toucanwharf::bench {

/// A user's deployment, scaled down to one machine.
struct Deployment {
  std::string name;
  std::array<std::string, 3> domains;
  /// One-way delay between callers and routers.
  int client_delay_ms = 0;
  /// Prompt length: long for a release note, short for a round.
  std::uint32_t prompt_tokens = 0;
};

/// A fault to inject while answers stream.
enum class Fault {
  kStageKilled,
  kStageFrozen,
  kConnectionStalled,
  kLinkSlowed,
  kHalfDomainKilled,
  kRouterKilled,
};

/// Returns all faults in the order of the table. Thread safety: safe.
std::vector<Fault> AllFaults();

/// Injects \p fault into \p rounds new fleets, with several answers in flight
/// in each, and returns the results. Starts and ends processes.
/// Thread safety: none.
Row RunFault(const Deployment& deployment, Fault fault, int rounds,
             std::uint64_t seed);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_RECOVERY_SCENARIO_H_
