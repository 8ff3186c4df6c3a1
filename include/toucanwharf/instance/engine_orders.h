#ifndef TOUCANWHARF_INSTANCE_ENGINE_ORDERS_H_
#define TOUCANWHARF_INSTANCE_ENGINE_ORDERS_H_

#include <cstdint>
#include <string>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/placement_lease.h"
#include "toucanwharf/placement/order_tracker.h"

namespace toucanwharf::instance {

/// Sends engines the orders to hold the target layout, while this instance
/// holds the placement lease. Owned by PlacementDriver.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class EngineOrders {
 public:
  /// Precondition: all references outlive the orders.
  EngineOrders(http::Loop& event_loop, http::Client& http_client,
               InstanceState& shared_state, eventlog::Logger& log,
               const PlacementLease<A>& placement_lease,
               placement::OrderTracker& tracker)
      : loop(event_loop),
        client(http_client),
        state(shared_state),
        logger(log),
        lease(placement_lease),
        order_tracker(tracker) {}

  /// Sends the orders that are due.
  void SendDue(TimePoint now) {
    for (const auto& [id, layers] : this->order_tracker.TargetLayout()) {
      const endpoints::Endpoint* endpoint = this->state.endpoints.Find(id);
      if (endpoint == nullptr) continue;
      if (this->state.RequestedPause(*endpoint, now) > Duration(0)) continue;
      // Checked right before the send: a holder that was suspended must not act
      // on a lease that another holds by now.
      if (!this->lease.MayAct(this->loop.Now())) return;
      const auto order = this->order_tracker.Next(id, now);
      if (order) this->SendOrder(*endpoint, *order);
    }
  }

 private:
  static constexpr Duration kTimeout = std::chrono::milliseconds(500);

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
        {kTimeout, kMaxReportBytes},
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

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  eventlog::Logger& logger;
  const PlacementLease<A>& lease;
  placement::OrderTracker& order_tracker;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ENGINE_ORDERS_H_
