#include "test/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <fstream>
#include <set>
#include <thread>
#include <utility>

#include "test/process/platform_fleet.h"
#include "test/soak/callers.h"
#include "test/soak/checks.h"

namespace toucanwharf::soak {
namespace {

using process_test::PlatformFleet;
using standins::fleet::EndpointFault;
using standins::fleet::StoreFault;
using std::chrono::milliseconds;

/// A router may take this long to serve again after the last fault.
constexpr int kRecoveryMillis = 12000;

/// A fault that begins or ends.
struct Moment {
  std::int64_t at_ms = 0;
  bool begins = false;
  Fault fault;
};

std::vector<Moment> MomentsOf(const std::vector<Fault>& faults) {
  std::vector<Moment> moments;
  for (const Fault& fault : faults) {
    moments.push_back({fault.at_ms, true, fault});
    moments.push_back({fault.at_ms + fault.for_ms, false, fault});
  }
  std::stable_sort(moments.begin(), moments.end(),
                   [](const Moment& left, const Moment& right) {
                     return left.at_ms < right.at_ms;
                   });
  return moments;
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

class Soak {
 public:
  explicit Soak(const SoakSettings& chosen)
      : settings(chosen), fleet(chosen.routers, false, true) {}

  SoakEnd Run() {
    Callers callers(this->fleet, this->settings);
    const auto begun = Clock::now();
    for (const Moment& moment : MomentsOf(PlanFaults(this->settings))) {
      std::this_thread::sleep_until(begun + milliseconds(moment.at_ms));
      this->CheckProcesses();
      moment.begins ? this->Begin(moment.fault) : this->End(moment.fault);
    }
    const std::vector<Seen> seen = callers.Stop();
    this->CheckRecovery();
    return this->Judge(seen);
  }

 private:
  void Begin(const Fault& fault) {
    switch (fault.kind) {
      case FaultKind::kKill:
        this->ended.insert(fault.router);
        this->fleet.Router(fault.router).Kill();
        return;
      case FaultKind::kSuspend:
        this->fleet.Router(fault.router).Signal(SIGSTOP);
        return;
      case FaultKind::kStop:
        this->ended.insert(fault.router);
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
      case FaultKind::kLinkSilent:
        this->fleet.StoreLink(fault.router).Set({{"silence", "all"}});
        return;
      case FaultKind::kEndpoint:
        this->SetEndpoint(fault.endpoint, fault.endpoint_fault);
        return;
      case FaultKind::kRevocation:
        this->Revoke();
        return;
    }
  }

  void End(const Fault& fault) {
    switch (fault.kind) {
      case FaultKind::kKill:
      case FaultKind::kStop:
        // What is still under way is killed, as the platform would.
        this->fleet.StartRouter(fault.router);
        this->ended.erase(fault.router);
        return;
      case FaultKind::kSuspend:
        this->fleet.Router(fault.router).Signal(SIGCONT);
        return;
      case FaultKind::kStore:
        this->SetStore(fault.router, StoreFault::kNone);
        return;
      case FaultKind::kLinkDelayed:
      case FaultKind::kLinkReset:
      case FaultKind::kLinkSilent:
        this->fleet.StoreLink(fault.router).Set({{"heal", true}});
        return;
      case FaultKind::kEndpoint:
        this->SetEndpoint(fault.endpoint, EndpointFault::kNone);
        return;
      case FaultKind::kRevocation:
        this->GiveBack();
        return;
      case FaultKind::kReload:
        return;
    }
  }

  void SetStore(std::size_t router, StoreFault fault) {
    this->fleet.On([&] { this->fleet.Store().SetFault(router, fault); });
  }

  void SetEndpoint(const std::string& endpoint, EndpointFault fault) {
    this->fleet.On([&] { this->fleet.Endpoints().SetFault(endpoint, fault); });
  }

  void Revoke() {
    if (this->key_taken) return;
    this->key_taken = true;
    this->fleet.Configure({PlatformFleet::kKey});
    this->revoked.push_back({Clock::now(), Clock::time_point::max()});
  }

  void GiveBack() {
    if (!std::exchange(this->key_taken, false)) return;
    this->revoked.back().until = Clock::now();
    this->fleet.Configure({PlatformFleet::kKey, PlatformFleet::kOtherKey});
  }

  /// No router may end but by a fault of ours.
  void CheckProcesses() {
    for (std::size_t at = 0; at < this->settings.routers; ++at) {
      if (this->ended.contains(at)) continue;
      const std::string how = this->fleet.Router(at).Ended();
      if (how.empty()) continue;
      this->broken.push_back("router " + std::to_string(at) +
                             " ended by itself: " + how);
      for (const std::string& line : LastLines(this->fleet.LogOf(at))) {
        this->broken.push_back("  its log: " + line);
      }
      this->fleet.StartRouter(at);
    }
  }

  bool Serves(std::size_t router) {
    const std::string id =
        "after-" + std::to_string(router) + "-" + std::to_string(++this->looks);
    const auto stream = this->fleet.Stream(router, id);
    const bool model = stream.answer.status == http::kOk &&
                       stream.ids.size() == standins::fleet::Endpoints::kEvents;
    const std::string path = "/sign/" + id;
    return model && this->fleet.Ready(router) &&
           this->fleet.Plain(router, path, id + "-sign").status == http::kOk;
  }

  void CheckRecovery() {
    for (std::size_t at = 0; at < this->settings.routers; ++at) {
      const bool serves = PlatformFleet::Eventually(
          [&] { return this->Serves(at); }, kRecoveryMillis);
      if (serves) continue;
      this->broken.push_back("router " + std::to_string(at) +
                             " does not serve again");
    }
    const bool idle = PlatformFleet::Eventually([&] {
      std::size_t running = 0;
      this->fleet.On([&] { running = this->fleet.Endpoints().Running(); });
      return running == 0;
    });
    if (!idle) this->broken.push_back("engines work for callers that are gone");
  }

  SoakEnd Judge(const std::vector<Seen>& seen) {
    std::vector<standins::fleet::Run> runs;
    std::vector<std::string> violations;
    this->fleet.On([&] {
      runs = this->fleet.Endpoints().Runs();
      violations = this->fleet.Endpoints().Violations();
    });
    SoakEnd end;
    end.requests = seen.size();
    end.answered = static_cast<std::size_t>(std::count_if(
        seen.begin(), seen.end(),
        [](const Seen& one) { return one.answer.status == http::kOk; }));
    end.broken = BrokenPromises(seen, runs, this->revoked);
    for (const auto* more : {&violations, &this->broken}) {
      end.broken.insert(end.broken.end(), more->begin(), more->end());
    }
    return end;
  }

  SoakSettings settings;
  PlatformFleet fleet;
  /// Routers that a fault ended, until they are started again.
  std::set<std::size_t> ended;
  bool key_taken = false;
  std::vector<Revoked> revoked;
  std::vector<std::string> broken;
  int looks = 0;
};

}  // namespace

SoakEnd RunSoak(const SoakSettings& settings) { return Soak(settings).Run(); }

}  // namespace toucanwharf::soak
