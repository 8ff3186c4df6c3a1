#include "test/soak/checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

namespace toucanwharf::soak {
namespace {

using standins::fleet::Endpoints;

/// Statuses that guarantee that a request has not run and never will.
const std::set<int> kNotRun = {408, 421, 429, 503};

bool IsSuccess(const ObservedRequest& call) {
  return call.answer.status >= 200 && call.answer.status < 300;
}

/// Returns whether the events arrived once and in order, and all of them if the
/// answer is complete.
bool EventsAreRight(const ObservedRequest& call) {
  if (call.kind != RequestKind::kStream) return true;
  for (std::size_t index = 0; index < call.events.size(); ++index) {
    if (call.events[index] != static_cast<int>(index) + 1) return false;
  }
  const bool whole =
      IsSuccess(call) && call.answer.complete && !call.disconnected;
  return !whole || call.events.size() == Endpoints::kEvents;
}

std::string EventsOf(const ObservedRequest& call) {
  std::string text;
  for (const int event : call.events) text += std::to_string(event) + " ";
  return text;
}

/// The two clocks differ only by the time that the machine was asleep.
TimePoint OnBootClock(Clock::time_point at) {
  return TimePoint{std::chrono::duration_cast<Duration>(at.time_since_epoch())};
}

bool AnswerIsItsOwn(const ObservedRequest& call) {
  if (!IsSuccess(call) || !call.answer.complete) return true;
  const auto id = call.answer.headers.find("x-request-id");
  if (id == call.answer.headers.end() || id->second != call.id) return false;
  if (call.kind == RequestKind::kStream) return true;
  return call.answer.body.starts_with("ran at ") &&
         call.answer.headers.contains("x-server-stamp");
}

/// Returns whether the key of \p call was revoked for so long when it was sent
/// that it must not run, and a run of it \p begun before the key was restored.
bool WasRevoked(const ObservedRequest& call, TimePoint begun,
                const std::vector<RevocationPeriod>& revoked) {
  return std::any_of(revoked.begin(), revoked.end(),
                     [&](const RevocationPeriod& period) {
                       return call.sent > period.from + kRevocationBound &&
                              begun < period.until;
                     });
}

bool HadFault(std::size_t router, TimePoint at,
              const std::vector<RouterFaultPeriod>& faults) {
  return std::any_of(faults.begin(), faults.end(),
                     [&](const RouterFaultPeriod& period) {
                       return period.router == router && at >= period.from &&
                              at <= period.until + kCrashesKnownAfter;
                     });
}

std::ptrdiff_t CountIn(const std::vector<TimePoint>& times, TimePoint end) {
  return std::count_if(times.begin(), times.end(), [end](TimePoint at) {
    return at > end - kRepeatWindow && at <= end;
  });
}

/// From which crash on all have to know of what crashes endpoints.
struct CrashBound {
  CrashCause cause = CrashCause::kContent;
  std::string_view what;
  std::size_t crashes = 0;
  /// Whether runs at one endpoint are at one crash.
  bool by_endpoint = false;
};
constexpr std::array kCrashBounds = {
    CrashBound{CrashCause::kContent, "a request that crashes endpoints", 3,
               false},
    CrashBound{CrashCause::kPromptPart, "a part that crashes engines", 5,
               true}};

struct LateRuns {
  std::size_t late = 0;
  std::size_t all = 0;
};

LateRuns CountLateRuns(const CrashBound& bound,
                       const std::vector<standins::fleet::Run>& runs,
                       const std::vector<RouterFaultPeriod>& faults) {
  LateRuns found;
  std::set<std::string> crashed;
  std::size_t crashes = 0;
  TimePoint known_from{Duration::max()};
  for (const auto& run : runs) {
    const auto router = RouterOfCrashing(bound.cause, run.request_id);
    if (!router) continue;
    ++found.all;
    const bool counts =
        run.at > known_from && !HadFault(*router, run.at, faults);
    if (counts) ++found.late;
    const bool is_new = crashed.insert(run.endpoint).second;
    if (is_new || !bound.by_endpoint) ++crashes;
    if (crashes == bound.crashes) {
      known_from = std::min(known_from, run.at + kCrashesKnownAfter);
    }
  }
  return found;
}

}  // namespace

std::vector<std::string> FindCrashViolations(
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<RouterFaultPeriod>& faults) {
  std::vector<std::string> violations;
  for (const CrashBound& bound : kCrashBounds) {
    const LateRuns found = CountLateRuns(bound, runs, faults);
    if (found.late <= kMaxRunsAfterCrashes) continue;
    violations.push_back(std::string(bound.what) + " ran " +
                         std::to_string(found.late) +
                         " times after all knew of it, " +
                         std::to_string(found.all) + " in all");
  }
  return violations;
}

std::vector<std::string> FindLimitViolations(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<LimitPeriod>& limits,
    const std::vector<RouterFaultPeriod>& faults) {
  std::map<std::string, std::size_t> router_of;
  for (const ObservedRequest& call : observed) router_of[call.id] = call.router;
  std::vector<std::string> violations;
  for (const LimitPeriod& period : limits) {
    std::vector<TimePoint> times;
    for (const auto& run : runs) {
      const auto router = router_of.find(run.request_id);
      const bool counts = run.endpoint == period.endpoint &&
                          run.at >= period.from && run.at <= period.until &&
                          router != router_of.end() &&
                          !HadFault(router->second, run.at, faults);
      if (counts) times.push_back(run.at);
    }
    const double allowed =
        kLimitTolerance * period.per_second *
            std::chrono::duration<double>(kLimitWindow).count() +
        kLimitSlack;
    std::ptrdiff_t most = 0;
    for (const TimePoint end : times) {
      if (end < period.from + kLimitKnownAfter) continue;
      most = std::max(
          most, std::count_if(times.begin(), times.end(), [end](TimePoint at) {
            return at > end - kLimitWindow && at <= end;
          }));
    }
    if (static_cast<double>(most) <= allowed) continue;
    violations.push_back(period.endpoint + " got " + std::to_string(most) +
                         " requests in 4 s, limit " +
                         std::to_string(period.per_second));
  }
  return violations;
}

std::vector<std::string> FindRepeatViolations(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Arrival>& arrivals,
    const process_test::ArrivalBound& bound) {
  std::map<std::string, bool> streams;
  std::map<bool, std::vector<TimePoint>> sent;
  for (const ObservedRequest& call : observed) {
    const bool stream = call.kind == RequestKind::kStream;
    streams[call.id] = stream;
    const auto at =
        std::chrono::duration_cast<Duration>(call.sent.time_since_epoch());
    sent[stream].push_back(TimePoint{at});
  }
  std::map<bool, std::vector<TimePoint>> repeats;
  std::set<std::string> seen;
  for (const auto& arrival : arrivals) {
    const auto known = streams.find(arrival.request_id);
    if (known == streams.end()) continue;
    if (seen.insert(arrival.request_id).second) continue;
    repeats[known->second].push_back(arrival.at);
  }
  std::vector<std::string> violations;
  for (const auto& [stream, times] : repeats) {
    double worst = 0;
    for (const TimePoint end : times) {
      const auto requests =
          std::max({CountIn(sent[stream], end),
                    CountIn(sent[stream], end - kRepeatWindow / 2),
                    CountIn(sent[stream], end - kRepeatWindow)});
      const double allowed =
          bound.ratio * static_cast<double>(requests) + bound.slack;
      worst =
          std::max(worst, static_cast<double>(CountIn(times, end)) / allowed);
    }
    if (worst <= 1) continue;
    violations.push_back(std::string(stream ? "engines" : "plain endpoints") +
                         " got " + std::to_string(worst) +
                         " of the repeats allowed in 10 s");
  }
  return violations;
}

std::vector<std::string> FindCutByStops(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Arrival>& arrivals,
    const std::vector<PlannedStop>& stops, bool answers_break) {
  std::set<std::string> passed_on;
  for (const auto& arrival : arrivals) passed_on.insert(arrival.request_id);
  std::vector<std::string> violations;
  for (const ObservedRequest& call : observed) {
    const bool broken_off = answers_break && call.answer.status != 0;
    const bool cut = call.kind != RequestKind::kStream &&
                     !call.answer.complete && !broken_off &&
                     call.ended - call.sent < kPlainDeadline;
    const bool arrived = passed_on.contains(call.id);
    if (!cut || (!arrived && call.ended - call.sent <= kClosedWithoutAnswer)) {
      continue;
    }
    const TimePoint sent = OnBootClock(call.sent);
    const TimePoint ended = OnBootClock(call.ended);
    for (const PlannedStop& stop : stops) {
      const bool within = stop.router == call.router && ended >= stop.from &&
                          ended <= stop.until;
      const bool allowed =
          sent <= stop.from + kEarlyInStop && ended >= stop.from + kLateInStop;
      if (!within || allowed) continue;
      const auto ms = [&](TimePoint at) {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(at -
                                                                  stop.from)
                .count());
      };
      violations.push_back(
          call.id + " at router " + std::to_string(call.router) + ", " +
          (call.kind == RequestKind::kSign ? "non-idempotent, " : "") +
          (arrived ? "passed on, " : "not passed on, ") + "sent " + ms(sent) +
          " ms after SIGTERM: cut " + ms(ended) + " ms after it (I6)");
    }
  }
  return violations;
}

std::vector<std::string> FindViolations(
    const std::vector<ObservedRequest>& observed,
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<RevocationPeriod>& revoked) {
  std::map<std::string, std::vector<TimePoint>> begun;
  for (const auto& run : runs) begun[run.request_id].push_back(run.at);
  std::vector<std::string> violations;
  const auto add = [&violations](const ObservedRequest& call,
                                 const std::string& violation) {
    violations.push_back(call.id + " at router " + std::to_string(call.router) +
                         ", status " + std::to_string(call.answer.status) +
                         ": " + violation);
  };
  for (const ObservedRequest& call : observed) {
    const std::vector<TimePoint>& runs_begun = begun[call.id];
    const std::size_t times = runs_begun.size();
    const bool not_run = kNotRun.contains(static_cast<int>(call.answer.status));
    const bool unsafe = call.kind == RequestKind::kSign;
    if (unsafe && times > 1) add(call, "ran more than once (I4)");
    if (unsafe && not_run && times > 0) add(call, "ran though refused (I3)");
    if (IsSuccess(call) && times == 0) add(call, "answered without a run (I2)");
    if (call.answer.body.find("quarantined") != std::string::npos) {
      add(call, "refused as if it crashed endpoints");
    }
    if (!AnswerIsItsOwn(call)) add(call, "not its own answer (I2)");
    const bool looks_whole =
        IsSuccess(call) && call.answer.complete && !call.disconnected;
    if (looks_whole && !call.body_defect.empty()) {
      add(call, "looks whole and isn't (I2): " + call.body_defect);
    }
    if (call.has_more) add(call, "bytes that belong to no answer (I2)");
    if (!EventsAreRight(call)) {
      add(call, "events missing or repeated (I1, I2): " + EventsOf(call));
    }
    const bool second = call.kind == RequestKind::kSecondCustomer;
    const bool ran_revoked =
        second && std::any_of(runs_begun.begin(), runs_begun.end(),
                              [&](TimePoint run_begun) {
                                return WasRevoked(call, run_begun, revoked);
                              });
    if (ran_revoked) {
      add(call, "ran with a revoked key (I7)");
    }
  }
  return violations;
}

}  // namespace toucanwharf::soak
