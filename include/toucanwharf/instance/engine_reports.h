#ifndef TOUCANWHARF_INSTANCE_ENGINE_REPORTS_H_
#define TOUCANWHARF_INSTANCE_ENGINE_REPORTS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/peer_link.h"
#include "toucanwharf/placement/order_tracker.h"

namespace toucanwharf::instance {

/// Requests the engines' reports and passes them on to all instances. Owned by
/// PlacementDriver.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class EngineReports {
 public:
  /// Precondition: all references outlive the reports.
  EngineReports(http::Loop& event_loop, http::Client& http_client,
                InstanceState& shared_state, PeerLink& peer_link,
                eventlog::Logger& log, placement::OrderTracker& tracker)
      : loop(event_loop),
        client(http_client),
        state(shared_state),
        peers(peer_link),
        logger(log),
        order_tracker(tracker) {}

  /// Returns whether \p endpoint has failed to answer several reports in a row.
  /// Its entry in the store remains for seconds after it died. A refusal by a
  /// busy engine, or a single lost packet, must not move layers.
  /// While this instance's own paths are in doubt, nothing is lost, nor is what
  /// other instances reach.
  bool IsLost(const endpoints::Endpoint& endpoint) const {
    if (this->state.paths.InDoubt()) return false;
    if (this->state.proofs.IsProven(endpoint.id, this->loop.Now())) {
      return false;
    }
    const auto known = this->engines.find(endpoint.id);
    return known != this->engines.end() &&
           known->second.start_time_ms == endpoint.start_time_ms &&
           known->second.failed_reports >= kLostAfter;
  }

  /// Tracks the reports of \p endpoint, and discards those of an earlier start.
  void Track(const endpoints::Endpoint& endpoint) {
    ReportState& known = this->engines[endpoint.id];
    if (known.start_time_ms == endpoint.start_time_ms) return;
    known = ReportState{};
    known.start_time_ms = endpoint.start_time_ms;
    this->order_tracker.Forget(endpoint.id);
  }

  /// Requests the reports that are due.
  void RequestDue(TimePoint now) {
    // What failed meanwhile says nothing about the engines once they can be
    // reached again.
    if (this->state.paths.IsIsolated()) {
      for (auto& [id, known] : this->engines) known.failed_reports = 0;
      return;
    }
    const Duration period =
        this->state.peers.IsLargeFleet(now) ? kPeriodLarge : kPeriod;
    for (auto& [id, known] : this->engines) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr || known.report_in_flight) continue;
      if (this->state.RequestedPause(*endpoint, now) > Duration(0)) continue;
      const bool due =
          this->order_tracker.NeedsReport(id) || known.failed_reports > 0 ||
          this->state.IsAvoided(id, now) || now - known.requested_at >= period;
      if (due) this->RequestReport(*endpoint, now);
    }
  }

  /// Passes the reports on to all instances.
  void Share() {
    std::vector<gossip::EngineStatus> engine_statuses;
    for (const auto& [id, known] : this->engines) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr) continue;
      const gossip::EngineStatus* status =
          this->state.loads.FindEngineStatus(*endpoint, this->loop.Now());
      if (status != nullptr) engine_statuses.push_back(*status);
    }
    this->peers.SetEngineStatuses(std::move(engine_statuses));
  }

  /// Forgets all engines.
  void Clear() {
    this->engines.clear();
    this->peers.SetEngineStatuses({});
  }
  bool Empty() const { return this->engines.empty(); }

 private:
  /// Between reports of engines that hold their target layers: only their speed
  /// may have changed, and each report costs a request.
  static constexpr Duration kPeriod = std::chrono::milliseconds(2000);
  /// The same for a large fleet, where reports also show the load from
  /// instances whose beacons are not received: 93 reports a second for 93
  /// engines.
  static constexpr Duration kPeriodLarge = std::chrono::milliseconds(1000);
  /// A report arrives within a millisecond, or after one retransmitted packet.
  static constexpr Duration kTimeout = std::chrono::milliseconds(300);
  /// No instance sends new work to an engine for this long after it failed to
  /// report; the next report is requested sooner than that.
  static constexpr Duration kUnansweredPause = std::chrono::milliseconds(1500);
  /// For this long a report takes precedence over the store's list.
  static constexpr Duration kStatusLifetime = std::chrono::seconds(3);
  /// Failed reports in a row after which an engine counts as lost.
  static constexpr int kLostAfter = 3;

  struct ReportState {
    std::uint64_t start_time_ms = 0;
    bool report_in_flight = false;
    int failed_reports = 0;
    TimePoint requested_at{Duration(-1'000'000'000)};
  };

  void RequestReport(const endpoints::Endpoint& endpoint, TimePoint now) {
    ReportState& known = this->engines[endpoint.id];
    known.report_in_flight = true;
    known.requested_at = now;
    http::Fetch(this->loop, this->client, endpoint.address, A::ReportRequest(),
                {kTimeout, kMaxReportBytes},
                [this, id = endpoint.id, now](const http::CallResult& result,
                                              const http::ResponseHead& head,
                                              const std::string& body) {
                  this->OnReport(id, now, result, head, body);
                });
  }

  void OnReport(const std::string& id, TimePoint requested_at,
                const http::CallResult& result, const http::ResponseHead& head,
                const std::string& body) {
    const auto found = this->engines.find(id);
    if (found == this->engines.end()) return;
    ReportState& known = found->second;
    known.report_in_flight = false;
    if (result.end != http::CallEnd::kComplete || head.status != http::kOk) {
      ++known.failed_reports;
      // The paths from here may be cut; the next poll of the paths checks. A
      // busy engine that refuses the report can be reached.
      if (result.end != http::CallEnd::kComplete) {
        this->state.paths.OnFailure(
            id, endpoints::ConnectionFailure::kUnresponsive,
            std::numeric_limits<std::size_t>::max(), this->loop.Now());
      }
      this->SuspectUnresponsive(id, known);
      return;
    }
    known.failed_reports = 0;
    this->state.loads.OnResponse(id, this->loop.Now());
    const auto report = A::ToReport(body);
    if (!report) {
      this->logger.Write(eventlog::Level::kNotable, "report_unreadable",
                         eventlog::Fields().Text("endpoint", id),
                         this->loop.Now());
      return;
    }
    // Another endpoint may have taken the address, or this one restarted.
    if (report->start_time_ms != 0 &&
        report->start_time_ms != known.start_time_ms) {
      return;
    }
    this->order_tracker.OnReport(id, report->engine, requested_at);
    const TimePoint now = this->loop.Now();
    // In a small fleet the end of each answer is known before a report shows
    // it, and a report from a moment ago would occupy capacity that is free by
    // now.
    const double token_layers =
        this->state.peers.IsLargeFleet(now) ? report->engine.token_layers : 0;
    this->state.loads.SetEngineStatus(
        {id, known.start_time_ms, report->engine.layers,
         report->engine.slowdown, token_layers},
        now + kStatusLifetime);
  }

  /// Announces to all instances an engine that gives no reports. One report may
  /// be lost; a second in a row, or one right after an instance was refused,
  /// counts as evidence.
  void SuspectUnresponsive(const std::string& id, const ReportState& known) {
    constexpr int kFailuresAsEvidence = 2;
    const TimePoint now = this->loop.Now();
    const bool suspected = this->state.loads.IsSuspected(id, now);
    if (known.failed_reports < kFailuresAsEvidence && !suspected) return;
    const bool newly_found =
        this->state.loads.MarkUnresponsive(id, now + kUnansweredPause, now);
    if (newly_found) this->peers.AnnounceToAll();
  }

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  PeerLink& peers;
  eventlog::Logger& logger;
  placement::OrderTracker& order_tracker;
  std::map<std::string, ReportState> engines;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ENGINE_REPORTS_H_
