#ifndef TOUCANWHARF_TEST_PROCESS_CRASHING_RUNS_H_
#define TOUCANWHARF_TEST_PROCESS_CRASHING_RUNS_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "standins/fleet/endpoints.h"
#include "test/process/platform_fleet.h"

/// What tests of requests that crash endpoints have in common.
namespace toucanwharf::process_test {

inline constexpr std::size_t kRouters = 3;
/// Runs of a crashing request that began later than this after the third are
/// counted; instances know of it by then.
inline constexpr Duration kAllKnow = std::chrono::seconds(3);
inline constexpr std::size_t kMaxLateRuns = 3;

/// Waits for \p millis. Thread safety: safe.
void Pause(int millis);

/// Returns the runs of the request that crashes endpoints, oldest first.
/// Thread safety: safe.
std::vector<standins::fleet::Run> CrashingRuns(PlatformFleet& fleet);

/// Returns how many runs began later than kAllKnow after the third.
/// Thread safety: safe.
std::size_t LateRuns(PlatformFleet& fleet);

/// Calls \p send for each number below \p count, in threads of their own, with
/// a pause of \p pause_ms between two, and waits for all.
/// Thread safety: safe if \p send is.
void SendRepeatedly(int count, int pause_ms,
                    const std::function<void(int)>& send);

/// Streams the crashing request at router \p number modulo kRouters.
/// Thread safety: safe.
void StreamCrashing(PlatformFleet& fleet, int number);

/// Streams the crashing request again and again while engines crash as \p form
/// says, and sound requests beside it. Checks that it is stopped and that they
/// are served once it is.
/// Thread safety: safe.
void CheckIsStopped(PlatformFleet& fleet, standins::fleet::CrashForm form);

}  // namespace toucanwharf::process_test

#endif  // TOUCANWHARF_TEST_PROCESS_CRASHING_RUNS_H_
