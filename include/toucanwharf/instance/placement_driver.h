#ifndef TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_
#define TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/gossip/backup_leaders.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/engine_orders.h"
#include "toucanwharf/instance/engine_reports.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/peer_link.h"
#include "toucanwharf/instance/placement_lease.h"
#include "toucanwharf/placement/layout.h"
#include "toucanwharf/placement/layout_planner.h"
#include "toucanwharf/placement/order_tracker.h"

namespace toucanwharf::instance {

/// While this instance holds the placement lease, plans which engine holds
/// which layers and has it ordered. Any instance may hold the lease, so no
/// machine is dedicated to placement. Owned by Instance. Thread safety: only on
/// the loop's thread.
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
        state(shared_state),
        peers(peer_link),
        logger(log),
        datagram_address(initial_settings.datagram_address),
        lease(event_loop, object_store, shared_state, initial_settings),
        reports(event_loop, http_client, shared_state, peer_link, log,
                this->order_tracker),
        orders(event_loop, http_client, shared_state, log, this->lease,
               this->order_tracker) {
    this->layout_settings.standby_copies =
        initial_settings.mechanisms.standby_copies;
  }

  void Start() {
    this->loop.Every(kStepPeriod, [this] { this->Step(); });
  }

  /// Releases the lease, so that another instance takes over immediately.
  void Release() { this->lease.Release(); }

 private:
  void Step() {
    this->lease.Poll();
    const TimePoint now = this->loop.Now();
    this->UpdateLeadership(this->lease.MayAct(now), now);
    if (!this->state.route_table) return;
    if (this->state.leads) {
      // Engines that this instance can't reach are not gone.
      if (!this->state.paths.InDoubt()) this->Plan(now);
      this->reports.RequestDue(now);
      this->orders.SendDue(now);
      this->reports.Share();
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
    const bool acts_for_leader =
        this->state.is_backup_leader && this->state.peers.IsLargeFleet(now) &&
        gossip::ActsForLeader(this->state.peers, this->state.backup_leaders,
                              this->datagram_address, now);
    const bool acts = acts_for_leader || this->peers.AssistsRestart(now);
    if (!acts) {
      if (!this->reports.Empty()) this->reports.Clear();
      return;
    }
    for (const routes::Service& service :
         this->state.route_table->All().services) {
      if (!service.engine || service.engine->layers == 0) continue;
      this->state.endpoints.ForEachReady(
          service.name, [this](const endpoints::Endpoint& endpoint) {
            this->reports.Track(endpoint);
          });
    }
    this->reports.RequestDue(now);
    this->reports.Share();
  }

  void UpdateLeadership(bool leads, TimePoint now) {
    if (std::exchange(this->state.leads, leads) == leads) return;
    this->logger.Write(
        eventlog::Level::kNotable, leads ? "lease_gained" : "lease_lost",
        eventlog::Fields().Count(
            "fence", static_cast<std::int64_t>(this->lease.Fence())),
        now);
    this->order_tracker = placement::OrderTracker();
    this->reports.Clear();
    this->planners.clear();
    this->targets.clear();
    this->UpdateLayoutRates();
    this->peers.Announce();
  }

  void Plan(TimePoint now) {
    for (const routes::Service& service :
         this->state.route_table->All().services) {
      if (!service.engine || service.engine->layers == 0) continue;
      this->PlanService(service, now);
    }
    this->UpdateLayoutRates();
  }

  void UpdateLayoutRates() {
    this->state.layout_rate = 0;
    this->state.best_layout_rate = 0;
    for (const auto& [name, planner] : this->planners) {
      this->state.layout_rate += planner.PresentRate();
      this->state.best_layout_rate += planner.BestRate();
    }
  }

  void PlanService(const routes::Service& service, TimePoint now) {
    std::vector<placement::Accelerator> fleet;
    this->state.endpoints.ForEachReady(
        service.name, [&](const endpoints::Endpoint& endpoint) {
          if (this->reports.IsLost(endpoint)) return;
          placement::Accelerator accelerator{endpoint.id,
                                             endpoint.failure_domain,
                                             endpoint.kind, endpoint.layers};
          this->ApplyNewestLayers(endpoint, accelerator);
          fleet.push_back(std::move(accelerator));
        });
    placement::LayoutPlanner& planner =
        this->planners.try_emplace(service.name, this->layout_settings)
            .first->second;
    const std::size_t engines = fleet.size();
    const auto change = planner.Plan(*service.engine, std::move(fleet),
                                     this->Departing(service.name), now);
    this->LogDropped(service.name, planner.Dropped(), now);
    if (!change) return;
    this->LogChange(service.name, engines, *change, now);
    this->targets[service.name] = change->target;
    placement::Layout all;
    for (const auto& [name, target] : this->targets) {
      all.insert(target.begin(), target.end());
    }
    this->order_tracker.SetTargetLayout(std::move(all));
  }

  /// Logs each change of how many engines report what they can't hold.
  void LogDropped(const std::string& service, std::size_t dropped,
                  TimePoint now) {
    std::size_t& known = this->dropped[service];
    if (std::exchange(known, dropped) == dropped) return;
    this->logger.Write(
        eventlog::Level::kNotable, "engines_left_out",
        eventlog::Fields()
            .Text("service", service)
            .Count("engines", static_cast<std::int64_t>(dropped)),
        now);
  }

  /// Returns the engines of \p service that leave by an order.
  std::set<std::string> Departing(const std::string& service) const {
    std::set<std::string> departing;
    for (const auto& [id, endpoint] : this->state.endpoints.All()) {
      const bool leaves = endpoint.state != endpoints::EndpointState::kReady;
      if (endpoint.service == service && leaves) departing.insert(id);
    }
    return departing;
  }

  static eventlog::Fields CapacityFields(const std::string& prefix,
                                         const placement::Capacity& capacity) {
    const std::chrono::duration<double, std::milli> token(
        capacity.token_millis);
    return eventlog::Fields()
        .Count(prefix + "answers_per_second",
               std::llround(capacity.answers_per_second))
        .Millis(prefix + "token_ms",
                std::chrono::duration_cast<Duration>(token));
  }

  void LogChange(const std::string& service, std::size_t engines,
                 const placement::LayoutChange& change, TimePoint now) {
    this->logger.Write(
        eventlog::Level::kNotable, "layout",
        eventlog::Fields()
            .Text("service", service)
            .Text("why", placement::ToText(change.reason))
            .Count("engines", static_cast<std::int64_t>(engines))
            .Count("moves", static_cast<std::int64_t>(change.moves))
            .Count("used", static_cast<std::int64_t>(change.target.size()))
            .Append(CapacityFields("", change.present))
            .Append(CapacityFields("expected_", change.expected)),
        now);
  }

  /// Replaces the layers that the store lists by those ordered or reported
  /// since.
  void ApplyNewestLayers(const endpoints::Endpoint& endpoint,
                         placement::Accelerator& accelerator) {
    this->reports.Track(endpoint);
    const placement::EngineReport* report =
        this->order_tracker.Report(endpoint.id);
    if (report != nullptr) {
      accelerator.layers = report->layers;
      if (report->busy) accelerator.loading = report->layers;
    }
    const auto target = this->order_tracker.TargetLayout().find(endpoint.id);
    if (target == this->order_tracker.TargetLayout().end()) return;
    if (accelerator.layers != target->second) {
      accelerator.loading =
          pipeline::Intersection(accelerator.layers, target->second);
    }
    accelerator.layers = target->second;
  }

  /// Between checks of engines that do not hold their target layers.
  static constexpr Duration kStepPeriod = std::chrono::milliseconds(200);

  http::Loop& loop;
  InstanceState& state;
  PeerLink& peers;
  eventlog::Logger& logger;
  placement::LayoutSettings layout_settings;
  std::string datagram_address;
  placement::OrderTracker order_tracker;
  PlacementLease<A> lease;
  EngineReports<A> reports;
  EngineOrders<A> orders;
  /// By service.
  std::map<std::string, placement::LayoutPlanner> planners;
  std::map<std::string, placement::Layout> targets;
  std::map<std::string, std::size_t> dropped;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_PLACEMENT_DRIVER_H_
