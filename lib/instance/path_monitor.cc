#include "toucanwharf/instance/path_monitor.h"

#include <limits>
#include <utility>

#include "toucanwharf/instance/adapter.h"

namespace toucanwharf::instance {
namespace {

using endpoints::ConnectionFailure;
using eventlog::Fields;
using eventlog::Level;

/// An engine answers a report within a few milliseconds, also while others
/// connect to it.
constexpr Duration kCheckTimeout = std::chrono::milliseconds(60);
/// A timeout that is noticed so late shows that this process itself was
/// stalled, and the answer may not have been read yet.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(20);

}  // namespace

PathMonitor::PathMonitor(http::Loop& event_loop, http::Client& http_client,
                         InstanceState& shared_state, eventlog::Logger& log,
                         http::Request report_request)
    : loop(event_loop),
      client(http_client),
      state(shared_state),
      logger(log),
      request(std::move(report_request)),
      random(HashText(shared_state.instance)) {}

void PathMonitor::OnAnswered(const std::string& endpoint,
                             TimePoint connected_at) {
  if (!this->state.paths.HasFailures()) return;
  this->state.paths.OnAnswered(endpoint, connected_at, this->loop.Now());
  this->ApplyStatus();
  this->Poll();
}

void PathMonitor::OnData(const std::string& endpoint) {
  if (!this->state.paths.HasFailures()) return;
  this->state.paths.OnData(endpoint);
  this->ApplyStatus();
}

void PathMonitor::OnFailure(const std::string& endpoint,
                            endpoints::ConnectionFailure kind,
                            std::string_view reason) {
  const TimePoint now = this->loop.Now();
  const bool is_news = !this->state.IsAvoided(endpoint, now) &&
                       !this->state.paths.IsUnreachable(endpoint, now);
  if (is_news) {
    this->logger.Write(Level::kNotable, "endpoint_suspected",
                       Fields().Text("endpoint", endpoint).Text("why", reason),
                       now);
  }
  const std::size_t endpoints = this->Checkable().empty()
                                    ? std::numeric_limits<std::size_t>::max()
                                    : this->state.endpoints.All().size();
  this->state.paths.OnFailure(endpoint, kind, endpoints, now);
  this->ApplyStatus();
  this->Poll();
}

void PathMonitor::Poll() {
  endpoints::Reachability& paths = this->state.paths;
  if (!paths.HasFailures() && !paths.IsIsolated()) return;
  const std::vector<std::string> engines = this->Checkable();
  if (paths.IsIsolated() && engines.empty()) paths.Reset();
  this->ApplyStatus();
  const auto id = paths.NextCheck(engines, this->loop.Now(), this->random);
  if (!id) return;
  this->Check(*this->state.endpoints.Find(*id));
}

std::vector<std::string> PathMonitor::Checkable() const {
  std::vector<std::string> engines;
  for (const auto& [id, endpoint] : this->state.endpoints.All()) {
    const bool ready = endpoint.state == endpoints::EndpointState::kReady;
    const bool paused =
        this->state.RequestedPause(endpoint, this->loop.Now()) > Duration(0);
    if (ready && !paused && !endpoint.kind.empty()) engines.push_back(id);
  }
  return engines;
}

void PathMonitor::Check(const endpoints::Endpoint& endpoint) {
  http::CallOptions options;
  options.reuse = http::Reuse::kNever;
  options.connect_timeout = kCheckTimeout;
  const TimePoint started = this->loop.Now();
  http::Fetch(
      this->loop, this->client, endpoint.address, this->request,
      {kCheckTimeout, kMaxReportBytes},
      [this, id = endpoint.id, started](const http::CallResult& result,
                                        const http::ResponseHead& /*head*/,
                                        const std::string& /*body*/) {
        this->OnChecked(id, started, result);
      },
      options);
}

void PathMonitor::OnChecked(const std::string& endpoint, TimePoint started,
                            const http::CallResult& result) {
  const TimePoint now = this->loop.Now();
  const bool was_stalled = now - started > kCheckTimeout + kMaxTimerDelay;
  const bool answered = result.end == http::CallEnd::kComplete;
  if (answered) {
    this->OnAnswered(endpoint, started);
  } else if (!was_stalled) {
    const bool connected = result.end != http::CallEnd::kNotConnected;
    this->OnFailure(endpoint,
                    connected ? ConnectionFailure::kUnresponsive
                              : ConnectionFailure::kNotConnected,
                    "check_failed");
  }
  this->state.paths.OnCheckDone();
  this->Poll();
}

void PathMonitor::ApplyStatus() {
  const endpoints::Reachability& paths = this->state.paths;
  const Status now_status{paths.IsIsolated(), paths.InDoubt()};
  const Status before = std::exchange(this->status, now_status);
  if (before == now_status) return;
  const TimePoint now = this->loop.Now();
  if (before.isolated != now_status.isolated) {
    this->logger.Write(
        Level::kNotable,
        now_status.isolated ? "isolated_from_endpoints" : "endpoints_regained",
        Fields(), now);
    if (!now_status.isolated) this->state.loads.ForgetUnresponsive();
  }
  const bool doubt_ended = before.in_doubt && !now_status.in_doubt;
  const bool isolation_changed = before.isolated != now_status.isolated;
  const bool tells = isolation_changed || doubt_ended;
  if (tells && this->changed) this->changed(isolation_changed);
}

}  // namespace toucanwharf::instance
