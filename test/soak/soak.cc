#include "test/soak/soak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "test/process/crowd.h"
#include "test/process/odd_entries.h"
#include "test/process/platform_fleet.h"
#include "test/soak/callers.h"
#include "test/soak/checks.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::soak {
namespace {

using process_test::Listener;
using process_test::Misbehaviour;
using process_test::PlatformFleet;
using standins::fleet::AnswerFault;
using standins::fleet::CutAt;
using standins::fleet::EndpointFault;
using standins::fleet::StoreFault;
using std::chrono::milliseconds;

/// Time within which a router must serve again after the last fault.
constexpr int kRecoveryTimeoutMs = 12000;
/// Seconds that an endpoint asks for.
constexpr const char* kRequestedPause = "1.5";
/// How long the store is away before it returns from a copy, and how long until
/// what it lost is written again.
constexpr milliseconds kStoreAway{800};
constexpr milliseconds kWrittenAgainAfter{900};

/// With few callers only a tight bound on repeats is ever reached.
constexpr process_test::ArrivalBound kTightBound{0.1, 12};

/// What routers run on beside crowds, and how many clients are one.
constexpr process_test::MachineLimits kSmallMachine{64, 400, 1024UL * 1024};
/// The same with descriptors for a burst of requests.
constexpr process_test::MachineLimits kBurstMachine{64, 1600, 1024UL * 1024};
constexpr std::size_t kCrowd = 80;
constexpr std::size_t kBurst = 300;
constexpr std::size_t kBytesPerMegabyte = 1'000'000;
/// Of the request that asks how much is held.
constexpr double kBytesOfOneRequest = 16.0 * 1024;

/// The begin or the end of a fault.
struct FaultEvent {
  std::int64_t at_ms = 0;
  bool begins = false;
  Fault fault;
};

std::vector<FaultEvent> FaultEventsOf(const std::vector<Fault>& faults) {
  std::vector<FaultEvent> events;
  for (const Fault& fault : faults) {
    events.push_back({fault.at_ms, true, fault});
    events.push_back({fault.at_ms + fault.duration_ms, false, fault});
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const FaultEvent& lhs, const FaultEvent& rhs) {
                     return lhs.at_ms < rhs.at_ms;
                   });
  return events;
}

/// Returns the last lines of the file \p path.
std::vector<std::string> LastLines(const std::string& path) {
  constexpr std::size_t kLines = 12;
  std::deque<std::string> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
    if (lines.size() > kLines) lines.pop_front();
  }
  return {lines.begin(), lines.end()};
}

bool CrashesEngines(const Fault& fault) {
  return fault.kind == FaultKind::kCrashingRequest ||
         fault.kind == FaultKind::kCrashingPart;
}

bool IsSmall(const SoakSettings& settings) {
  return settings.crowds || settings.faulty_answers;
}

/// Name of the entry of \p fault among the endpoints.
std::string OddNameOf(const Fault& fault) {
  return "odd-" + std::to_string(fault.text);
}

CutAt DrawCut(std::uint64_t seed) {
  constexpr std::array kCuts = {CutAt::kInsideEvent, CutAt::kBetweenEvents,
                                CutAt::kBeforeFirstEvent};
  return kCuts[Random(seed).Below(kCuts.size())];
}

class Soak {
 public:
  explicit Soak(const SoakSettings& chosen)
      : settings(chosen),
        fleet(
            chosen.routers, false, true,
            chosen.endpoint_stops ? kTightBound : process_test::ArrivalBound(),
            chosen.crowds           ? kSmallMachine
            : chosen.faulty_answers ? kBurstMachine
                                    : process_test::MachineLimits()) {
    for (const auto& ids :
         {PlatformFleet::EngineIds(), PlatformFleet::PlainIds()}) {
      for (const std::string& id : ids) {
        this->addresses[id] = this->fleet.Endpoints().AddressOf(id);
      }
    }
    const bool unframed = (chosen.crashing_parts || chosen.endpoint_stops ||
                           chosen.faulty_answers) &&
                          chosen.seed % 2 == 1;
    this->fleet.RunOnLoop([&] {
      this->fleet.Endpoints().SendUnframed(unframed);
      if (chosen.crash_cuts) {
        this->fleet.Endpoints().CutAnswersAt(DrawCut(chosen.seed));
      }
    });
  }

  SoakResult Run() {
    Callers callers(this->fleet, this->settings);
    const auto start = Clock::now();
    for (const FaultEvent& event : FaultEventsOf(PlanFaults(this->settings))) {
      std::this_thread::sleep_until(start + milliseconds(event.at_ms));
      this->CheckProcesses();
      if (event.begins && CrashesEngines(event.fault)) {
        this->SetCrashForm(event.fault.crash_form);
      }
      if (event.fault.kind == FaultKind::kCrashingRequest) {
        callers.SendCrashing(event.begins);
        continue;
      }
      if (event.fault.kind == FaultKind::kCrashingPart) {
        callers.SendCrashingParts(event.begins);
        continue;
      }
      if (event.fault.kind == FaultKind::kPlannedStop) {
        callers.PreferRouter(event.begins ? std::optional(event.fault.router)
                                          : std::nullopt);
      }
      this->RecordRouterFault(event);
      event.begins ? this->Begin(event.fault) : this->End(event.fault);
    }
    const std::vector<ObservedRequest> observed = callers.Stop();
    this->CheckResources();
    this->CheckRecovery();
    return this->Judge(observed);
  }

 private:
  void Begin(const Fault& fault) {
    switch (fault.kind) {
      case FaultKind::kKill:
        this->CheckMemory(fault.router);
        this->stopped_routers.insert(fault.router);
        this->fleet.Router(fault.router).Kill();
        return;
      case FaultKind::kSuspend:
        this->fleet.Router(fault.router).Signal(SIGSTOP);
        return;
      case FaultKind::kStop:
        this->CheckMemory(fault.router);
        this->stopped_routers.insert(fault.router);
        this->fleet.Router(fault.router).Signal(SIGTERM);
        return;
      case FaultKind::kReload:
        this->fleet.Router(fault.router).Signal(SIGHUP);
        return;
      case FaultKind::kStore:
        this->SetStore(fault.router, fault.store);
        return;
      case FaultKind::kLinkDelayed:
        this->fleet.StoreLink(fault.router).Set({{"delay_ms", 300}});
        return;
      case FaultKind::kLinkReset:
        this->fleet.StoreLink(fault.router)
            .Set({{"cut", true}, {"refuse", true}});
        return;
      case FaultKind::kLinkBlackholed:
        this->fleet.StoreLink(fault.router).Set({{"silence", "all"}});
        return;
      case FaultKind::kEndpoint:
        this->SetEndpoint(fault.endpoint, fault.endpoint_fault);
        return;
      case FaultKind::kRevocation:
        this->Revoke();
        return;
      case FaultKind::kEndpointLimit:
        this->SetLimit(fault);
        return;
      case FaultKind::kPathsSilent:
        this->fleet.CutLinks(fault.router, standins::fleet::LinkFault::kSilent);
        return;
      case FaultKind::kPathsReset:
        this->fleet.CutLinks(fault.router, standins::fleet::LinkFault::kReset);
        return;
      case FaultKind::kEndpointPause:
        this->SetShedding(fault.endpoint, kRequestedPause);
        return;
      case FaultKind::kStoreReturn:
        this->fleet.RunOnLoop([this] { this->fleet.Store().KeepCopy(); });
        return;
      case FaultKind::kStoppedEngines:
      case FaultKind::kStoppedPlain:
        this->fleet.Reconfigure();
        this->SetStopped(fault, EndpointFault::kStopped);
        return;
      case FaultKind::kOddEntry:
        this->PutOddEntry(fault);
        return;
      case FaultKind::kCrowd:
        this->PlayCrowd(fault);
        return;
      case FaultKind::kFaultyAnswers:
        this->SetAnswerFault(fault.endpoint, fault.answer_fault);
        return;
      case FaultKind::kAnswersReset:
        this->ResetLinks(fault.endpoint);
        return;
      case FaultKind::kPlannedStop:
        this->stopped_routers.insert(fault.router);
        this->stops.push_back(
            {fault.router, BootClock().Now(), TimePoint{Duration::max()}});
        this->fleet.Router(fault.router).Signal(SIGTERM);
        return;
      case FaultKind::kSlowEndpoint:
        this->SetEndpoint(fault.endpoint, EndpointFault::kSlow);
        return;
      case FaultKind::kBurst:
        this->SetAnswerFaults(fault.answer_fault);
        this->PlayBurst(fault);
        return;
      case FaultKind::kCrashingRequest:
      case FaultKind::kCrashingPart:
        return;
    }
  }

  void End(const Fault& fault) {
    switch (fault.kind) {
      case FaultKind::kKill:
      case FaultKind::kStop:
        // Kills the process if it is still stopping, as the platform would.
        this->fleet.StartRouter(fault.router);
        this->stopped_routers.erase(fault.router);
        return;
      case FaultKind::kSuspend:
        this->fleet.Router(fault.router).Signal(SIGCONT);
        return;
      case FaultKind::kStore:
        this->SetStore(fault.router, StoreFault::kNone);
        return;
      case FaultKind::kLinkDelayed:
      case FaultKind::kLinkReset:
      case FaultKind::kLinkBlackholed:
        this->fleet.StoreLink(fault.router).Set({{"heal", true}});
        return;
      case FaultKind::kEndpoint:
        this->SetEndpoint(fault.endpoint, EndpointFault::kNone);
        return;
      case FaultKind::kRevocation:
        this->RestoreKey();
        return;
      case FaultKind::kEndpointLimit:
        this->EndLimit(fault);
        return;
      case FaultKind::kPathsSilent:
      case FaultKind::kPathsReset:
        this->fleet.HealLinks(fault.router);
        return;
      case FaultKind::kEndpointPause:
        this->SetShedding(fault.endpoint, std::nullopt);
        return;
      case FaultKind::kStoreReturn:
        this->ReturnStore();
        return;
      case FaultKind::kStoppedEngines:
      case FaultKind::kStoppedPlain:
        this->SetStopped(fault, EndpointFault::kNone);
        return;
      case FaultKind::kOddEntry:
        this->fleet.RunOnLoop(
            [&] { this->fleet.Store().Remove("servers", OddNameOf(fault)); });
        return;
      case FaultKind::kFaultyAnswers:
        this->SetAnswerFault(fault.endpoint, AnswerFault::kNone);
        return;
      case FaultKind::kAnswersReset:
        for (std::size_t router = 0; router < this->settings.routers;
             ++router) {
          this->fleet.HealLinks(router);
        }
        return;
      case FaultKind::kPlannedStop:
        this->EndPlannedStop(fault.router);
        return;
      case FaultKind::kSlowEndpoint:
        this->SetEndpoint(fault.endpoint, EndpointFault::kNone);
        return;
      case FaultKind::kBurst:
        this->SetAnswerFaults(AnswerFault::kNone);
        return;
      case FaultKind::kReload:
      case FaultKind::kCrowd:
      case FaultKind::kCrashingRequest:
      case FaultKind::kCrashingPart:
        return;
    }
  }

  /// Sets \p fault of the endpoint that is at the address of \p endpoint now.
  void SetAnswerFault(const std::string& endpoint, AnswerFault fault) {
    this->fleet.RunOnLoop([&] {
      auto& all = this->fleet.Endpoints();
      all.SetAnswerFault(all.IdAt(this->addresses.at(endpoint)), fault);
    });
  }

  /// Sets \p fault of all endpoints that the fleet began with.
  void SetAnswerFaults(AnswerFault fault) {
    for (const auto& [id, address] : this->addresses) {
      this->SetAnswerFault(id, fault);
    }
  }

  void ResetLinks(const std::string& endpoint) {
    std::string id;
    this->fleet.RunOnLoop([&] {
      id = this->fleet.Endpoints().IdAt(this->addresses.at(endpoint));
    });
    if (id.empty()) return;
    for (std::size_t router = 0; router < this->settings.routers; ++router) {
      this->fleet.CutLinks(router, standins::fleet::LinkFault::kReset, {id});
    }
  }

  void EndPlannedStop(std::size_t router) {
    const std::string end = this->fleet.Router(router).ExitDescription();
    if (end != "exit code 0") {
      this->violations.push_back("router " + std::to_string(router) +
                                 " did not end in its grace as planned: " +
                                 (end.empty() ? "it runs" : end));
    }
    for (PlannedStop& stop : this->stops) {
      if (stop.router != router) continue;
      stop.until = std::min(stop.until, BootClock().Now());
    }
    this->fleet.StartRouter(router);
    this->stopped_routers.erase(router);
  }

  void PlayBurst(const Fault& fault) {
    this->crowds.emplace_back(
        [address = this->fleet.AddressOf(fault.router, Listener::kCallers),
         duration = milliseconds(fault.duration_ms)] {
          const auto until = Clock::now() + duration;
          process_test::Crowd crowd(address, kBurst);
          crowd.Send(
              [](std::size_t index) {
                const std::string body = process_test::LengthField(1);
                return index % 2 == 0
                           ? process_test::RequestHead(index, body,
                                                       "POST /read/burst")
                           : process_test::RequestHead(
                                 index, body + "X-Token-Counts: 100,100\r\n",
                                 "POST /chat/one");
              },
              "p");
          std::this_thread::sleep_until(until);
        });
  }

  void PlayCrowd(const Fault& fault) {
    constexpr std::array kListeners = {Listener::kCallers, Listener::kCallers,
                                       Listener::kReady, Listener::kControl,
                                       Listener::kDirectory};
    const std::uint64_t draw = MixBits(fault.text);
    const auto what =
        static_cast<Misbehaviour>(draw % process_test::kMisbehaviours);
    const Listener listener =
        kListeners[draw / process_test::kMisbehaviours % kListeners.size()];
    this->crowds.emplace_back(
        [address = this->fleet.AddressOf(fault.router, listener), what,
         duration = milliseconds(fault.duration_ms)] {
          process_test::PlayCrowd(address, what, kCrowd,
                                  kSmallMachine.max_body_bytes, duration);
        });
  }

  /// Records what a router has taken beyond its machine, or keeps for crowds
  /// that are gone.
  void CheckResources() {
    if (!IsSmall(this->settings)) return;
    for (std::thread& crowd : this->crowds) crowd.join();
    this->crowds.clear();
    for (std::size_t router = 0; router < this->settings.routers; ++router) {
      this->CheckMemory(router);
      const std::string name = "router " + std::to_string(router);
      const bool freed = PlatformFleet::Eventually(
          [&] { return this->BufferedBytes(router) <= kBytesOfOneRequest; },
          kRecoveryTimeoutMs);
      if (freed) continue;
      this->violations.push_back(name + " keeps memory of what is gone");
    }
  }

  /// Records whether the process of \p router took more than its machine has.
  void CheckMemory(std::size_t router) {
    if (!IsSmall(this->settings)) return;
    const process_test::ProcessWatch watch(this->fleet.Router(router).Pid());
    const std::size_t peak = watch.PeakResidentBytes();
    if (peak <= kSmallMachine.memory_mb * kBytesPerMegabyte) return;
    this->violations.push_back("router " + std::to_string(router) + " took " +
                               std::to_string(peak) + " bytes of memory");
  }

  double BufferedBytes(std::size_t router) {
    const std::string text = this->fleet.Metrics(router);
    const std::string line = "\ntoucanwharf_buffered_bytes ";
    const std::size_t found = text.find(line);
    if (found == std::string::npos) return kBytesOfOneRequest + 1;
    return std::stod(text.substr(found + line.size()));
  }

  void ReturnStore() {
    this->fleet.ReturnStore(kStoreAway);
    this->fleet.RunOnLoop(
        [this] { this->fleet.Store().WriteAgainAfter(kWrittenAgainAfter); });
  }

  void SetShedding(const std::string& endpoint,
                   const std::optional<std::string>& retry_after) {
    this->fleet.RunOnLoop(
        [&] { this->fleet.Endpoints().SetShedding(endpoint, retry_after); });
  }

  void SetLimit(const Fault& fault) {
    this->fleet.RunOnLoop(
        [&] { this->fleet.Endpoints().SetLimit(fault.endpoint, fault.limit); });
    // A later limit of the same endpoint replaces the one before.
    this->EndPeriods(fault.endpoint);
    this->limits.push_back({fault.endpoint, fault.limit, BootClock().Now(),
                            TimePoint{Duration::max()}});
  }

  void EndLimit(const Fault& fault) {
    this->fleet.RunOnLoop([&] {
      this->fleet.Endpoints().SetLimit(fault.endpoint, std::nullopt);
    });
    this->EndPeriods(fault.endpoint);
  }

  void EndPeriods(const std::string& endpoint) {
    const TimePoint now = BootClock().Now();
    for (LimitPeriod& period : this->limits) {
      if (period.endpoint == endpoint) {
        period.until = std::min(period.until, now);
      }
    }
  }

  /// Records the begin or the end of a fault of a router. Faults may end later
  /// than planned.
  void RecordRouterFault(const FaultEvent& event) {
    const bool of_a_router = event.fault.kind != FaultKind::kReload &&
                             event.fault.kind != FaultKind::kEndpoint &&
                             event.fault.kind != FaultKind::kEndpointLimit &&
                             event.fault.kind != FaultKind::kEndpointPause &&
                             event.fault.kind != FaultKind::kRevocation &&
                             event.fault.kind != FaultKind::kStoreReturn &&
                             event.fault.kind != FaultKind::kStoppedEngines &&
                             event.fault.kind != FaultKind::kStoppedPlain &&
                             event.fault.kind != FaultKind::kOddEntry &&
                             event.fault.kind != FaultKind::kCrowd &&
                             event.fault.kind < FaultKind::kFaultyAnswers;
    if (!of_a_router) return;
    const TimePoint now = BootClock().Now();
    const Duration planned = milliseconds(event.fault.duration_ms);
    this->router_faults.push_back(
        event.begins
            ? RouterFaultPeriod{event.fault.router, now, now + planned}
            : RouterFaultPeriod{event.fault.router, now - planned, now});
  }

  void SetStore(std::size_t router, StoreFault fault) {
    this->fleet.RunOnLoop([&] { this->fleet.Store().SetFault(router, fault); });
  }

  void PutOddEntry(const Fault& fault) {
    const auto texts = process_test::OddTexts();
    const std::string& text = texts[fault.text % texts.size()].second;
    this->fleet.RunOnLoop([&] {
      this->fleet.Store().PutText("servers", OddNameOf(fault), text);
    });
  }

  void SetCrashForm(standins::fleet::CrashForm form) {
    this->fleet.RunOnLoop([&] { this->fleet.Endpoints().CrashAs(form); });
  }

  void SetStopped(const Fault& fault, EndpointFault state) {
    const bool engines = fault.kind == FaultKind::kStoppedEngines;
    const std::vector<std::string> ids =
        engines ? PlatformFleet::EngineIds() : PlatformFleet::PlainIds();
    const auto count =
        (ids.size() * static_cast<std::size_t>(fault.tenths) + 9) / 10;
    this->fleet.RunOnLoop([&] {
      for (std::size_t i = 0; i < count; ++i) {
        this->fleet.Endpoints().SetFault(ids[i], state);
      }
    });
  }

  void SetEndpoint(const std::string& endpoint, EndpointFault fault) {
    this->fleet.RunOnLoop(
        [&] { this->fleet.Endpoints().SetFault(endpoint, fault); });
  }

  void Revoke() {
    if (this->key_revoked) return;
    this->key_revoked = true;
    this->fleet.Configure({PlatformFleet::kKey});
    this->revoked.push_back({Clock::now(), TimePoint{Duration::max()}});
  }

  void RestoreKey() {
    if (!std::exchange(this->key_revoked, false)) return;
    this->revoked.back().until = BootClock().Now();
    this->fleet.Configure({PlatformFleet::kKey, PlatformFleet::kOtherKey});
  }

  /// Records a violation for each router that ended without an injected fault,
  /// and restarts it.
  void CheckProcesses() {
    for (std::size_t router = 0; router < this->settings.routers; ++router) {
      if (this->stopped_routers.contains(router)) continue;
      const std::string exit_reason =
          this->fleet.Router(router).ExitDescription();
      if (exit_reason.empty()) continue;
      this->violations.push_back("router " + std::to_string(router) +
                                 " ended unexpectedly: " + exit_reason);
      for (const std::string& line : LastLines(this->fleet.LogOf(router))) {
        this->violations.push_back("  its log: " + line);
      }
      this->fleet.StartRouter(router);
    }
  }

  bool Serves(std::size_t router) {
    const std::string id = "after-" + std::to_string(router) + "-" +
                           std::to_string(++this->probes);
    const auto stream = this->fleet.Stream(router, id);
    const bool model = stream.answer.status == http::kOk &&
                       stream.ids.size() == standins::fleet::Endpoints::kEvents;
    const std::string path = "/sign/" + id;
    return model && this->fleet.Ready(router) &&
           this->fleet.Plain(router, path, id + "-sign").status == http::kOk;
  }

  void CheckRecovery() {
    for (std::size_t router = 0; router < this->settings.routers; ++router) {
      const bool serves = PlatformFleet::Eventually(
          [&] { return this->Serves(router); }, kRecoveryTimeoutMs);
      if (serves) continue;
      this->violations.push_back("router " + std::to_string(router) +
                                 " does not serve again");
    }
    const bool idle = PlatformFleet::Eventually([&] {
      std::size_t running = 0;
      this->fleet.RunOnLoop(
          [&] { running = this->fleet.Endpoints().RunningStreams(); });
      return running == 0;
    });
    if (!idle) this->violations.push_back("answers still run without a caller");
  }

  SoakResult Judge(const std::vector<ObservedRequest>& observed) {
    std::vector<standins::fleet::Run> runs;
    std::vector<standins::fleet::Arrival> arrivals;
    std::vector<std::string> endpoint_violations;
    this->fleet.RunOnLoop([&] {
      runs = this->fleet.Endpoints().Runs();
      arrivals = this->fleet.Endpoints().Arrivals();
      endpoint_violations = this->fleet.Endpoints().Violations();
    });
    SoakResult result;
    result.requests = observed.size();
    result.answered = static_cast<std::size_t>(std::count_if(
        observed.begin(), observed.end(), [](const ObservedRequest& request) {
          return request.answer.status == http::kOk;
        }));
    result.violations = FindViolations(observed, runs, this->revoked);
    const auto add = [&result](const std::vector<std::string>& more) {
      result.violations.insert(result.violations.end(), more.begin(),
                               more.end());
    };
    add(FindCutByStops(observed, arrivals, this->stops,
                       this->settings.faulty_answers));
    add(FindCrashViolations(runs, this->router_faults));
    add(FindLimitViolations(observed, runs, this->limits, this->router_faults));
    if (this->settings.endpoint_stops) {
      add(FindRepeatViolations(observed, arrivals, kTightBound));
    }
    add(endpoint_violations);
    add(this->violations);
    return result;
  }

  SoakSettings settings;
  PlatformFleet fleet;
  /// Routers that a fault stopped, until they are restarted.
  std::set<std::size_t> stopped_routers;
  bool key_revoked = false;
  std::vector<RevocationPeriod> revoked;
  std::vector<RouterFaultPeriod> router_faults;
  std::vector<LimitPeriod> limits;
  std::vector<PlannedStop> stops;
  /// Addresses of the endpoints that the fleet began with, by their ids.
  std::map<std::string, std::string> addresses;
  std::vector<std::string> violations;
  std::vector<std::thread> crowds;
  int probes = 0;
};

}  // namespace

SoakResult RunSoak(const SoakSettings& settings) {
  return Soak(settings).Run();
}

}  // namespace toucanwharf::soak
