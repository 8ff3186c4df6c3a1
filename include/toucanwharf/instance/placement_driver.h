#ifndef TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_
#define TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "toucanwharf/control/lease.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/gossip/backup_leaders.h"
#include "toucanwharf/gossip/election_policy.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/peer_link.h"
#include "toucanwharf/placement/layout.h"
#include "toucanwharf/placement/order_tracker.h"
#include "toucanwharf/placement/stabilization_window.h"

namespace toucanwharf::instance {

/// Periods and timeouts of the placement.
struct PlacementTimes {
  /// Between checks of engines that do not hold their target layers.
  Duration step_period = std::chrono::milliseconds(200);
  /// Between reports of engines that hold their target layers: only their speed
  /// may have changed, and each report costs a request.
  Duration report_period = std::chrono::milliseconds(2000);
  /// Like report_period, for a large fleet, where reports also show the load
  /// from instances whose beacons are not received: 93 reports a second for 93
  /// engines.
  Duration report_period_large = std::chrono::milliseconds(1000);
  Duration call_timeout = std::chrono::milliseconds(500);
  /// A report arrives within a millisecond, or after one retransmitted packet.
  Duration report_timeout = std::chrono::milliseconds(300);
  /// No instance sends new work to an engine for this long after it failed to
  /// report; the next report is requested sooner than that.
  Duration unanswered_pause = std::chrono::milliseconds(1500);
  /// After a lease call without an answer.
  Duration lease_pause = std::chrono::milliseconds(600);
  /// Per instance of a large fleet: all together make forty calls a second.
  Duration lease_pause_per_instance = std::chrono::milliseconds(25);
  /// For this long a report takes precedence over the store's list.
  Duration status_lifetime = std::chrono::seconds(3);
};

/// Acquires the placement lease, and while holding it orders engines to hold
/// layers. Any instance may hold the lease; another takes over when its holder
/// is lost, so no machine is dedicated to placement. Owned by Instance.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class PlacementDriver {
 public:
  using Store = typename A::Store;

  /// Precondition: all references outlive the driver.
  PlacementDriver(http::Loop& event_loop, http::Client& http_client,
                  Store& object_store, InstanceState& shared_state,
                  PeerLink& peer_link, eventlog::Logger& log,
                  const InstanceSettings& initial_settings)
      : loop(event_loop),
        client(http_client),
        store(object_store),
        state(shared_state),
        peers(peer_link),
        logger(log),
        processor_share(initial_settings.processor_share),
        callers_address(initial_settings.callers_address),
        datagram_address(initial_settings.datagram_address),
        election_policy(initial_settings.processor_share, event_loop.Now()),
        lease(MakeLeaseSettings(shared_state.instance),
              HashText(shared_state.instance)) {
    this->layout_settings.standby_copies =
        initial_settings.mechanisms.standby_copies;
  }

  void Start() {
    this->loop.Every(this->times.step_period, [this] { this->Step(); });
  }

  /// Releases the lease, so that another instance takes over immediately.
  void Release() {
    this->lease.Release();
    this->state.leads = false;
    this->PollLease();
  }

 private:
  struct ReportState {
    std::uint64_t start_time_ms = 0;
    bool report_in_flight = false;
    int failed_reports = 0;
    TimePoint requested_at{Duration(-1'000'000'000)};
  };

  static control::LeaseSettings MakeLeaseSettings(const std::string& holder) {
    control::LeaseSettings settings;
    settings.role = "placement";
    settings.holder = holder;
    // The next layout of a cover replaces an engine that died, and must come
    // within seconds even if the leader died with the engine.
    settings.term = std::chrono::milliseconds(3000);
    settings.margin = std::chrono::milliseconds(300);
    settings.renewal = std::chrono::milliseconds(1200);
    return settings;
  }

  void Step() {
    this->PollLease();
    const TimePoint now = this->loop.Now();
    this->UpdateLeadership(this->lease.MayAct(now), now);
    if (!this->state.route_table) return;
    if (this->state.leads) {
      this->Plan(now);
      this->RequestReports(now);
      this->SendOrders(now);
      this->ShareEngineStatuses();
    } else {
      this->ActForLeader(now);
    }
  }

  /// Requests engines' reports while there is no leader. Only the holder of the
  /// lease may send orders, but the reports are needed sooner.
  ///
  /// Load: after all instances lost power, the engines continue with answers
  /// that nobody waits for. Without their reports, new answers would go to full
  /// engines for the five seconds until the old lease expires.
  void ActForLeader(TimePoint now) {
    const bool acts =
        this->state.is_backup_leader && this->state.peers.IsLargeFleet(now) &&
        gossip::ActsForLeader(this->state.peers, this->state.backup_leaders,
                              this->datagram_address, now);
    if (!acts) {
      if (this->engines.empty()) return;
      this->engines.clear();
      this->peers.SetEngineStatuses({});
      return;
    }
    for (const routes::Service& service :
         this->state.route_table->All().services) {
      if (!service.engine || service.engine->layers == 0) continue;
      this->state.endpoints.ForEachReady(
          service.name, [this](const endpoints::Endpoint& endpoint) {
            this->TrackEngine(endpoint);
          });
    }
    this->RequestReports(now);
    this->ShareEngineStatuses();
  }

  void UpdateLeadership(bool leads, TimePoint now) {
    if (std::exchange(this->state.leads, leads) == leads) return;
    this->logger.Write(
        eventlog::Level::kNotable, leads ? "lease_gained" : "lease_lost",
        eventlog::Fields().Count(
            "fence", static_cast<std::int64_t>(this->lease.Fence())),
        now);
    this->order_tracker = placement::OrderTracker();
    this->engines.clear();
    this->plans.clear();
    this->peers.SetEngineStatuses({});
    this->peers.Announce();
  }

  /// A known leader makes it unnecessary to poll the lease.
  bool AnotherLeads(TimePoint now) const {
    return !this->state.peers.Leader(now).empty();
  }

  /// Returns how many instances attempt the lease before this one. The backup
  /// leaders go first, since they receive the same beacons as the leader; the
  /// others follow seconds later.
  std::size_t CandidatesAhead(TimePoint now) const {
    constexpr std::size_t kBehindBackupLeaders = 24;
    const std::size_t ahead = this->state.peers.CandidatesAhead(
        this->processor_share, this->callers_address, now);
    const bool backup_leaders_first = this->state.ready_list.IsCurrent(now);
    return backup_leaders_first ? ahead + kBehindBackupLeaders : ahead;
  }

  void PollLease() {
    const TimePoint now = this->loop.Now();
    // A backup leader polls the lease continuously: a challenger has to see it
    // unchanged for a whole term, and has then already done so when the leader
    // is lost.
    const bool may_attempt =
        this->state.is_backup_leader ||
        this->election_policy.MayAttempt(!this->AnotherLeads(now),
                                         this->CandidatesAhead(now), now);
    // The release of a lease must complete, whoever else leads by now.
    const bool stopping = this->state.stopping_since.has_value();
    if (!this->state.leads && !may_attempt && !stopping) return;
    if (now < this->lease_pause_until) return;
    auto call = this->lease.Poll(now);
    if (!call) return;
    if (const auto* key = std::get_if<store::ObjectKey>(&*call)) {
      this->store.Read(*key, [this](const store::ReadAnswer& answer) {
        this->RecordLeaseAnswer(answer.status != store::ReadStatus::kUnknown);
        this->lease.OnRead(answer, this->loop.Now());
        this->PollLease();
      });
      return;
    }
    this->store.Write(std::get<store::Write>(*call),
                      [this](const store::WriteAnswer& answer) {
                        this->RecordLeaseAnswer(answer.status !=
                                                store::WriteStatus::kUnknown);
                        this->lease.OnWrite(answer, this->loop.Now());
                        if (answer.status != store::WriteStatus::kWritten) {
                          this->PollLease();
                        }
                      });
  }

  /// An unavailable store refuses within a millisecond; retrying immediately
  /// would cause thousands of calls in an outage, from every instance that
  /// attempts to lead.
  void RecordLeaseAnswer(bool answered) {
    if (answered) return;
    const TimePoint now = this->loop.Now();
    const gossip::PeerTable& known = this->state.peers;
    const bool shares_attempts =
        known.IsLargeFleet(now) && !this->state.is_backup_leader;
    const Duration pause =
        shares_attempts
            ? this->times.lease_pause_per_instance *
                  static_cast<std::int64_t>(known.InstanceCount(now))
            : this->times.lease_pause;
    this->lease_pause_until = now + std::max(pause, this->times.lease_pause);
  }

  void Plan(TimePoint now) {
    for (const routes::Service& service :
         this->state.route_table->All().services) {
      if (!service.engine || service.engine->layers == 0) continue;
      this->PlanService(service, now);
    }
  }

  void PlanService(const routes::Service& service, TimePoint now) {
    std::vector<placement::Accelerator> fleet;
    this->state.endpoints.ForEachReady(
        service.name, [&](const endpoints::Endpoint& endpoint) {
          if (this->IsLost(endpoint)) return;
          placement::Accelerator accelerator{endpoint.id,
                                             endpoint.failure_domain,
                                             endpoint.kind, endpoint.layers};
          this->ApplyNewestLayers(endpoint, accelerator);
          fleet.push_back(std::move(accelerator));
        });
    ServicePlan& plan = this->plans[service.name];
    if (!plan.stabilization.IsStable(fleet, now)) return;
    if (fleet == plan.planned_for) return;
    plan.planned_for = fleet;
    const auto layout =
        placement::PlanLayout(*service.engine, fleet, this->layout_settings);
    if (layout == plan.layout) return;
    plan.layout = layout;
    this->logger.Write(
        eventlog::Level::kNotable, "layout",
        eventlog::Fields()
            .Text("service", service.name)
            .Count("engines", static_cast<std::int64_t>(fleet.size()))
            .Count("used", static_cast<std::int64_t>(layout.size())),
        now);
    placement::Layout all;
    for (const auto& [name, planned] : this->plans) {
      all.insert(planned.layout.begin(), planned.layout.end());
    }
    this->order_tracker.SetTargetLayout(std::move(all));
  }

  /// Returns whether \p endpoint has failed to answer several reports in a row.
  /// Its entry in the store remains for seconds after it died. A refusal by a
  /// busy engine, or a single lost packet, must not move layers.
  bool IsLost(const endpoints::Endpoint& endpoint) const {
    const auto known = this->engines.find(endpoint.id);
    return known != this->engines.end() &&
           known->second.start_time_ms == endpoint.start_time_ms &&
           known->second.failed_reports >= kLostAfter;
  }

  /// Tracks the reports of \p endpoint, and discards those of an earlier start.
  void TrackEngine(const endpoints::Endpoint& endpoint) {
    ReportState& known = this->engines[endpoint.id];
    if (known.start_time_ms == endpoint.start_time_ms) return;
    known = ReportState{};
    known.start_time_ms = endpoint.start_time_ms;
    this->order_tracker.Forget(endpoint.id);
  }

  /// Replaces the layers that the store lists by those ordered or reported
  /// since.
  void ApplyNewestLayers(const endpoints::Endpoint& endpoint,
                         placement::Accelerator& accelerator) {
    this->TrackEngine(endpoint);
    const auto target = this->order_tracker.TargetLayout().find(endpoint.id);
    if (target != this->order_tracker.TargetLayout().end()) {
      accelerator.layers = target->second;
      return;
    }
    const placement::EngineReport* report =
        this->order_tracker.Report(endpoint.id);
    if (report != nullptr) accelerator.layers = report->layers;
  }

  /// The plan for the engines of one service.
  struct ServicePlan {
    std::vector<placement::Accelerator> planned_for;
    placement::Layout layout;
    placement::StabilizationWindow stabilization;
  };

  void RequestReports(TimePoint now) {
    const Duration period = this->state.peers.IsLargeFleet(now)
                                ? this->times.report_period_large
                                : this->times.report_period;
    for (auto& [id, known] : this->engines) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr || known.report_in_flight) continue;
      const bool due = this->order_tracker.NeedsReport(id) ||
                       known.failed_reports > 0 ||
                       this->state.loads.IsSuspected(id, now) ||
                       now - known.requested_at >= period;
      if (due) this->RequestReport(*endpoint, now);
    }
  }

  void RequestReport(const endpoints::Endpoint& endpoint, TimePoint now) {
    ReportState& known = this->engines[endpoint.id];
    known.report_in_flight = true;
    known.requested_at = now;
    http::Fetch(this->loop, this->client, endpoint.address, A::ReportRequest(),
                this->times.report_timeout,
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
        now + this->times.status_lifetime);
  }

  /// Announces to all instances an engine that gives no reports. One report may
  /// be lost; a second in a row, or one right after an instance was refused,
  /// counts as evidence.
  void SuspectUnresponsive(const std::string& id, const ReportState& known) {
    constexpr int kFailuresAsEvidence = 2;
    const TimePoint now = this->loop.Now();
    const bool suspected = this->state.loads.IsSuspected(id, now);
    if (known.failed_reports < kFailuresAsEvidence && !suspected) return;
    const bool newly_found = this->state.loads.MarkUnresponsive(
        id, now + this->times.unanswered_pause, now);
    if (newly_found) this->peers.AnnounceToAll();
  }

  void SendOrders(TimePoint now) {
    for (const auto& [id, layers] : this->order_tracker.TargetLayout()) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr) continue;
      // Checked right before the send: a holder that was suspended must not act
      // on a lease that another holds by now.
      if (!this->lease.MayAct(this->loop.Now())) return;
      const auto order = this->order_tracker.Next(id, now);
      if (order) this->SendOrder(*endpoint, *order);
    }
  }

  void SendOrder(const endpoints::Endpoint& endpoint,
                 const placement::PlaceOrder& order) {
    eventlog::Fields fields;
    fields.Text("endpoint", order.engine)
        .Count("begin", order.layers.begin)
        .Count("end", order.layers.end)
        .Count("sequence", static_cast<std::int64_t>(order.sequence));
    this->logger.Write(eventlog::Level::kNotable, "order", fields,
                       this->loop.Now());
    http::Request request = A::OrderRequest(order);
    request.headers.Set(A::Headers().expected_endpoint, order.engine);
    http::Fetch(
        this->loop, this->client, endpoint.address, request,
        this->times.call_timeout,
        [this, id = order.engine](
            const http::CallResult& result, const http::ResponseHead& head,
            const std::string&) { this->OnOrderOutcome(id, result, head); });
  }

  void OnOrderOutcome(const std::string& id, const http::CallResult& result,
                      const http::ResponseHead& head) {
    placement::OrderOutcome outcome = placement::OrderOutcome::kUnknown;
    if (result.end == http::CallEnd::kNotConnected) {
      outcome = placement::OrderOutcome::kRefused;
    } else if (result.end == http::CallEnd::kComplete) {
      outcome = A::ToOrderOutcome(head.status);
    }
    this->order_tracker.OnOutcome(id, outcome, this->loop.Now());
    if (outcome == placement::OrderOutcome::kAccepted) return;
    this->logger.Write(
        eventlog::Level::kNotable, "order_not_accepted",
        eventlog::Fields().Text("endpoint", id).Count("status", head.status),
        this->loop.Now());
  }

  void ShareEngineStatuses() {
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

  /// Failed reports in a row after which an engine counts as lost.
  static constexpr int kLostAfter = 3;

  http::Loop& loop;
  http::Client& client;
  Store& store;
  InstanceState& state;
  PeerLink& peers;
  eventlog::Logger& logger;
  PlacementTimes times;
  placement::LayoutSettings layout_settings;
  double processor_share;
  std::string callers_address;
  std::string datagram_address;
  gossip::ElectionPolicy election_policy;
  control::Lease lease;
  TimePoint lease_pause_until;
  placement::OrderTracker order_tracker;
  std::map<std::string, ReportState> engines;
  /// By service.
  std::map<std::string, ServicePlan> plans;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_
