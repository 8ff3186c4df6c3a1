#ifndef TOUCANWHARF_TEST_SOAK_CHECKS_H_
#define TOUCANWHARF_TEST_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "standins/fleet/endpoints.h"
#include "test/soak/callers.h"

namespace toucanwharf::soak {

/// Period in which a customer's key was revoked: from the store's
/// acknowledgement until the key is restored.
struct RevocationPeriod {
  Clock::time_point from;
  TimePoint until;
};

/// How long after the revocation of a key requests with it may still run.
/// Equals `bounds.revoke_ms` in the settings of the fleet's routers.
inline constexpr std::chrono::milliseconds kRevocationBound{2500};

/// Period in which a router is down, suspended or without the store, and may
/// not learn what the others know.
struct RouterFaultPeriod {
  std::size_t router = 0;
  TimePoint from;
  TimePoint until;
};

/// How long after the third crash by a request routers may not know of it, and
/// how often they may send it on after that.
inline constexpr Duration kCrashesKnownAfter = std::chrono::seconds(3);
inline constexpr std::size_t kMaxRunsAfterCrashes = 3;

/// Returns a line if a request that crashes endpoints, or requests with a part
/// that does, were sent on and on by routers without a fault: after the third
/// run of the one, or the fifth crash by the others. Thread safety: safe.
std::vector<std::string> FindCrashViolations(
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<RouterFaultPeriod>& faults);

/// Period in which an endpoint stated a limit.
struct LimitPeriod {
  std::string endpoint;
  double per_second = 0;
  TimePoint from;
  TimePoint until;
};

/// From how long after the begin of a limit it must hold, in every window of
/// kLimitWindow, up to a factor and so many requests more.
inline constexpr Duration kLimitKnownAfter = std::chrono::seconds(3);
inline constexpr Duration kLimitWindow = std::chrono::seconds(4);
inline constexpr double kLimitTolerance = 1.5;
inline constexpr double kLimitSlack = 5;

/// Returns a line for each period in which routers without a fault sent an
/// endpoint more than it stated. Thread safety: safe.
std::vector<std::string> FindLimitViolations(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<LimitPeriod>& limits,
    const std::vector<RouterFaultPeriod>& faults);

/// Window of the bound on repeats.
inline constexpr Duration kRepeatWindow = std::chrono::seconds(10);

/// Returns a line for each service whose endpoints got, in any window, more
/// arrivals beyond the first of their request than \p bound allows. The
/// requests for it are those of the window, of the one before or of the one
/// half a window before, whichever are most; those that crash endpoints aren't
/// observed and count nowhere. Thread safety: safe.
std::vector<std::string> FindRepeatViolations(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Arrival>& arrivals,
    const process_test::ArrivalBound& bound);

/// Planned stop of a router: SIGTERM, and when it is started again.
struct PlannedStop {
  std::size_t router = 0;
  TimePoint from;
  TimePoint until;
};

/// How long after a whole request a connection may still be closed without an
/// answer, if the request wasn't passed on.
inline constexpr Duration kClosedWithoutAnswer = std::chrono::milliseconds(200);
/// A request that came so early in a stop, and is still at its endpoint so late
/// in the grace, may be cut.
inline constexpr Duration kEarlyInStop = std::chrono::seconds(3);
inline constexpr Duration kLateInStop =
    std::chrono::milliseconds(kGraceMs) * 5 / 6;

/// Returns a line for each plain request that a planned stop has cut: it was
/// passed on, or read, and got no answer. Where endpoints break off their
/// answers, these begin and don't end: with \p answers_break only requests that
/// got no head count. Thread safety: safe.
std::vector<std::string> FindCutByStops(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Arrival>& arrivals,
    const std::vector<PlannedStop>& stops, bool answers_break);

/// Returns a line for each violation of the router's guarantees in what callers
/// and endpoints observed.
/// Thread safety: safe.
std::vector<std::string> FindViolations(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<RevocationPeriod>& revoked);

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_CHECKS_H_
