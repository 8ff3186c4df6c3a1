#ifndef TOUCANWHARF_BENCH_RECOVERY_SCENARIO_H_
#define TOUCANWHARF_BENCH_RECOVERY_SCENARIO_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/recovery/measure.h"

namespace toucanwharf::bench {

/// One of the users' deployments, at the scale of one machine.
struct Deployment {
  std::string name;
  std::array<std::string, 3> domains;
  /// One way between callers and routers.
  int client_delay_ms = 0;
  /// Tokens of the prompts; a release note's is long, a round's short.
  std::uint32_t prompt_tokens = 0;
};

/// What goes wrong while answers stream.
enum class Fault {
  kStageKilled,
  kStageFrozen,
  kConnectionSilenced,
  kLinkSlowed,
  kHalfDomainGone,
  kRouterKilled,
};

/// Returns all faults in the order of the table. Thread safety: safe.
std::vector<Fault> AllFaults();

/// Plays \p fault in \p rounds fresh fleets, with several answers under way in
/// each, and returns the figures. Starts and ends processes.
/// Thread safety: none.
Row Play(const Deployment& deployment, Fault fault, int rounds,
         std::uint64_t seed);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_RECOVERY_SCENARIO_H_
