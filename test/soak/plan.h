#ifndef TOUCANWHARF_TEST_SOAK_PLAN_H_
#define TOUCANWHARF_TEST_SOAK_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "standins/fleet/endpoints.h"
#include "standins/fleet/store.h"

/// A soak test: real routers as processes, external faults drawn from a seed,
/// and checks of what callers and endpoints observe.
namespace toucanwharf::soak {

enum class FaultKind {
  /// The router is killed (SIGKILL), and restarted.
  kKill,
  /// The router is suspended (SIGSTOP), and resumed.
  kSuspend,
  /// The router is asked to stop (SIGTERM), and restarted.
  kStop,
  /// The router receives SIGHUP.
  kReload,
  /// The store has a fault in its calls from one router.
  kStore,
  /// A relay delays, resets or blackholes the connections between one router
  /// and the store.
  kLinkDelayed,
  kLinkReset,
  kLinkBlackholed,
  /// An endpoint has a fault.
  kEndpoint,
  /// The second customer's key is revoked, and restored.
  kRevocation,
  /// A caller sends a request that crashes endpoints, again and again.
  kCrashingRequest,
  /// An endpoint states a limit in its answers.
  kEndpointLimit,
  /// The links from one router to all endpoints are cut, silently or by resets.
  kPathsSilent,
  kPathsReset,
  /// An endpoint turns all requests away and asks for a pause.
  kEndpointPause,
  /// The store is copied, and at the end of the fault it is away for a moment
  /// and returns from the copy.
  kStoreReturn,
  /// A caller sends requests that share a part that crashes engines, no two
  /// alike.
  kCrashingPart,
  /// Some or all engines, or the plain endpoints, are stopped and go on, while
  /// the configuration changes.
  kStoppedEngines,
  kStoppedPlain,
  /// Another writer leaves an odd entry among the endpoints, and removes it.
  kOddEntry,
  /// A crowd of clients misbehaves at one of a router's addresses.
  kCrowd,
  /// An endpoint spoils its answers.
  kFaultyAnswers,
  /// Connections from all routers to an endpoint are reset.
  kAnswersReset,
  /// The router is asked to stop (SIGTERM), and has its whole grace to do so.
  kPlannedStop,
  /// A plain endpoint is slow.
  kSlowEndpoint,
  /// All endpoints spoil their answers while a crowd of clients sends requests
  /// at once, and reads nothing.
  kBurst,
};

/// One fault. Times are in milliseconds since the callers started.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  /// Index of the router, for faults that concern one.
  std::size_t router = 0;
  std::int64_t at_ms = 0;
  std::int64_t duration_ms = 0;
  standins::fleet::StoreFault store = standins::fleet::StoreFault::kNone;
  standins::fleet::EndpointFault endpoint_fault =
      standins::fleet::EndpointFault::kNone;
  std::string endpoint;
  standins::fleet::AnswerFault answer_fault =
      standins::fleet::AnswerFault::kNone;
  /// Requests per second that the endpoint states.
  double limit = 0;
  /// Endpoints of ten that are stopped.
  int tenths = 10;
  /// How a crashing request crashes engines.
  standins::fleet::CrashForm crash_form =
      standins::fleet::CrashForm::kWhileWriting;
  /// Draw of the text of an odd entry, or of what a crowd does and where.
  std::uint64_t text = 0;

  friend bool operator==(const Fault&, const Fault&) = default;
};

/// Settings of a soak.
struct SoakSettings {
  std::uint64_t seed = 1;
  std::size_t routers = 4;
  std::size_t callers = 8;
  std::int64_t duration_ms = 12000;
  /// Mean time between the starts of two faults. It is shorter than most
  /// faults, so several overlap.
  std::int64_t mean_fault_interval_ms = 500;
  /// Whether callers also send a request that crashes endpoints. The other
  /// faults of a seed stay the same.
  bool crashing_requests = false;
  /// Whether endpoints also state limits; the same holds.
  bool endpoint_limits = false;
  /// Whether the links from routers to endpoints are also cut; the same holds.
  bool cut_paths = false;
  /// Whether endpoints also ask for pauses; the same holds.
  bool endpoint_pauses = false;
  /// Whether the store also returns from older copies; the same holds.
  bool store_returns = false;
  /// Whether callers also send requests with a part that crashes engines; the
  /// same holds. Sound requests share their other parts with these, and answers
  /// are unframed with every second seed.
  bool crashing_parts = false;
  /// Whether crashes also cut unframed answers between two events, or before
  /// the first one; the same holds.
  bool crash_cuts = false;
  /// Whether all routers are also killed at once and come back one by one; the
  /// same holds.
  bool fleet_restarts = false;
  /// Whether endpoints are also stopped, and go on, and send bytes of bad form;
  /// the same holds.
  bool endpoint_stops = false;
  /// Whether another writer also leaves odd entries among the endpoints; the
  /// same holds.
  bool odd_entries = false;
  /// Whether the forms in which requests crash engines vary; the same holds.
  bool crash_forms = false;
  /// Whether routers run on small machines, and clients also misbehave; the
  /// same holds.
  bool crowds = false;
  /// Whether endpoints also spoil their answers, on small machines; the same
  /// holds.
  bool faulty_answers = false;
  /// Whether routers are also stopped as planned while callers keep their
  /// connections. Other stops of the same router beside one are left out.
  bool planned_stops = false;

  friend bool operator==(const SoakSettings&, const SoakSettings&) = default;
};

/// Time that a router has from SIGTERM on, and until it is started again.
/// Equals `bounds.grace_s` in the settings of the fleet's routers.
inline constexpr std::int64_t kGraceMs = 8000;
inline constexpr std::int64_t kStopMs = kGraceMs + 1000;

/// Returns the faults for \p settings, ordered by time. Deterministic.
/// Thread safety: safe.
std::vector<Fault> PlanFaults(const SoakSettings& settings);

/// Returns \p fault as a line of a log. Thread safety: safe.
std::string Describe(const Fault& fault);

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_PLAN_H_
