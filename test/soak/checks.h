#ifndef TOUCANWHARF_TEST_SOAK_CHECKS_H_
#define TOUCANWHARF_TEST_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "standins/fleet/endpoints.h"
#include "test/soak/callers.h"

namespace toucanwharf::soak {

/// A time in which a customer's key was taken away, as the store acknowledged
/// it, until it was given back.
struct Revoked {
  Clock::time_point from;
  Clock::time_point until;
};

/// How long after a key was taken away requests with it may still run; the
/// settings of the fleet's routers say so.
inline constexpr std::chrono::milliseconds kRevocationBound{2500};

/// Returns what goes against the promises in what callers and endpoints saw,
/// a line each.
/// Thread safety: safe.
std::vector<std::string> BrokenPromises(
    const std::vector<Seen>& seen,
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<Revoked>& revoked);

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_CHECKS_H_
