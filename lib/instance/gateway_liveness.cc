#include <algorithm>
#include <utility>

#include "proxied_request.h"
#include "toucanwharf/instance/gateway.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// No new work goes to an unresponsive engine for this long; by then the leader
/// has probed it as well.
constexpr Duration kUnresponsivePause = std::chrono::milliseconds(1000);
/// A sign of life contradicts a peer's report if it is newer than this: peers
/// report only after an engine was silent for longer.
constexpr Duration kSignOfLifeAge = std::chrono::milliseconds(80);
/// The same for endpoints of plain services, which get fewer requests.
constexpr Duration kPlainSignOfLifeAge = std::chrono::milliseconds(2000);
/// Several peers report at the same moment; one check answers all of them.
constexpr Duration kCheckedAge = std::chrono::milliseconds(300);

}  // namespace

std::size_t Gateway::ConcurrentProbers() const {
  return this->state.peers.InstanceCount(this->loop.Now());
}

bool Gateway::IsPaused(const std::string& endpoint) const {
  const endpoints::Endpoint* known = this->state.endpoints.Find(endpoint);
  return known != nullptr &&
         this->state.RequestedPause(*known, this->loop.Now()) > Duration(0);
}

bool Gateway::ProbesWholePaths(TimePoint now) const {
  return this->settings.mechanisms.engine_probes &&
         !this->state.peers.IsLargeFleet(now);
}

void Gateway::ProbeEngines(const std::vector<pipeline::Stage>& engines,
                           TimePoint since) {
  for (const pipeline::Stage& stage : engines) {
    this->ProbeEngine(stage, since);
  }
}

void Gateway::ProbeEngine(const pipeline::Stage& stage, TimePoint since) {
  if (this->IsPaused(stage.endpoint)) return;
  this->probe.Check(stage.address, since, this->ConcurrentProbers(),
                    [this, id = stage.endpoint](const ProbeAnswer& answer) {
                      if (answer.alive) {
                        this->state.loads.OnResponse(id, this->loop.Now());
                      } else {
                        this->path_monitor.OnFailure(
                            id, endpoints::ConnectionFailure::kUnresponsive,
                            "silent");
                        this->SetUnresponsive(id);
                      }
                    });
}

void Gateway::SetUnresponsive(const std::string& endpoint) {
  const TimePoint now = this->loop.Now();
  const bool newly_found = this->state.loads.MarkUnresponsive(
      endpoint, now + kUnresponsivePause, now);
  if (!newly_found) return;
  this->logger.Write(Level::kNotable, "engine_silent",
                     Fields().Text("endpoint", endpoint), now);
  this->AnnounceNews();
  this->RerouteAround(endpoint);
}

void Gateway::RerouteAround(const std::string& endpoint) {
  // Rerouting one request may end it, and others with it.
  std::vector<std::shared_ptr<ProxiedRequest>> all;
  for (ProxiedRequest* request : this->active) {
    all.push_back(request->shared_from_this());
  }
  for (const auto& request : all) request->OnEngineUnresponsive(endpoint);
}

void Gateway::AnnounceNews() {
  if (this->announce_news) this->announce_news();
}

void Gateway::CheckPaths() { this->path_monitor.Poll(); }

void Gateway::OnPeerReport(const UnresponsiveReport& report) {
  const TimePoint now = this->loop.Now();
  const std::string& id = report.endpoint;
  const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
  if (endpoint == nullptr) return;
  if (this->state.proofs.IsDisputed(id, now)) return;
  if (this->ShowsLife(id, now - kSignOfLifeAge)) {
    this->state.proofs.Dispute(id, now);
    return;
  }
  // An endpoint of a plain service sends no report that could be asked for.
  if (endpoint->kind.empty()) {
    if (this->state.loads.HasRespondedSince(id, now - kPlainSignOfLifeAge)) {
      this->state.proofs.Dispute(id, now);
    }
    return;
  }
  if (this->state.loads.IsUnresponsive(id, now)) return;
  if (this->IsPaused(id)) return;
  if (report.verified) {
    if (!this->state.proofs.IsProven(id, now)) this->ApplyReport(report);
    return;
  }
  this->probe.Check(endpoint->address, now - kCheckedAge,
                    this->ConcurrentProbers(),
                    [this, report](const ProbeAnswer& answer) {
                      this->OnReportChecked(report, answer);
                    });
}

void Gateway::OnReportChecked(const UnresponsiveReport& report,
                              const ProbeAnswer& answer) {
  const TimePoint now = this->loop.Now();
  if (answer.alive) {
    this->state.loads.OnResponse(report.endpoint, now);
    this->state.proofs.Dispute(report.endpoint, now);
    return;
  }
  if (this->state.proofs.IsProven(report.endpoint, now)) return;
  this->path_monitor.OnFailure(
      report.endpoint, endpoints::ConnectionFailure::kUnresponsive, "silent");
  this->ApplyReport(report);
}

void Gateway::ApplyReport(const UnresponsiveReport& report) {
  const TimePoint now = this->loop.Now();
  const bool newly_found = this->state.loads.MarkReportedUnresponsive(
      report.endpoint, report.until, now);
  if (!newly_found) return;
  this->logger.Write(
      Level::kNotable, "peer_found_engine_silent",
      Fields().Text("endpoint", report.endpoint).Text("peer", report.peer),
      now);
  // The others of a large fleet wait for the leader's word.
  if (this->state.leads && this->state.peers.IsLargeFleet(now)) {
    this->AnnounceNews();
  }
  this->RerouteAround(report.endpoint);
}

bool Gateway::ShowsLife(const std::string& endpoint, TimePoint since) const {
  return std::any_of(this->active.begin(), this->active.end(),
                     [&](const ProxiedRequest* request) {
                       const auto shown = request->Liveness();
                       return shown && shown->last_event >= since &&
                              RunsThrough(shown->stages, endpoint);
                     });
}

std::vector<endpoints::LivenessEvidence> Gateway::EvidenceExcept(
    const ProxiedRequest& except) const {
  std::vector<endpoints::LivenessEvidence> evidence;
  for (const ProxiedRequest* request : this->active) {
    if (request == &except) continue;
    if (auto shown = request->Liveness()) evidence.push_back(std::move(*shown));
  }
  return evidence;
}

}  // namespace toucanwharf::instance
