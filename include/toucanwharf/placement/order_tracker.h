#ifndef TOUCANWHARF_PLACEMENT_ORDER_TRACKER_H_
#define TOUCANWHARF_PLACEMENT_ORDER_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/placement/layout.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::placement {

/// Last state that an engine reported.
struct EngineReport {
  pipeline::LayerRange layers;
  /// Number of orders that it has begun since its start.
  std::uint64_t sequence = 0;
  /// Whether an order is in progress.
  bool busy = false;
  /// Slowdown factor relative to its kind.
  double slowdown = 1;
  /// Tokens times layers that its answers held, as of some hundred milliseconds
  /// ago.
  double token_layers = 0;

  friend bool operator==(const EngineReport&, const EngineReport&) = default;
};

/// An order to hold exactly \p layers, valid only while the engine has begun
/// \p sequence orders.
struct PlaceOrder {
  std::string engine;
  pipeline::LayerRange layers;
  std::uint64_t sequence = 0;

  friend bool operator==(const PlaceOrder&, const PlaceOrder&) = default;
};

/// Known outcome of an order.
enum class OrderOutcome {
  /// Begun, or the engine already holds the layers.
  kAccepted,
  /// Certainly not begun.
  kRefused,
  /// No response: it may begin seconds later.
  kUnknown,
};

/// Decides which orders to send to engines and when, until they hold the target
/// layout.
///
/// Guards against a lost response: an order without a response is carried out
/// seconds later, after a newer one, and the engine ends up with obsolete
/// layers. An order therefore states the whole range and the number of orders
/// that the engine has begun. After an order of unknown outcome the engine's
/// report is read before the next order; if the number has not changed, the
/// next order states the same one, and whichever of the two begins first
/// invalidates the other.
/// Thread safety: none; for one thread.
class OrderTracker {
 public:
  /// Sets the target layout; engines that it doesn't list get no orders.
  void SetTargetLayout(Layout layout) { this->target = std::move(layout); }
  const Layout& TargetLayout() const { return this->target; }

  /// Applies a report of \p engine that was requested at \p requested.
  void OnReport(const std::string& engine, const EngineReport& report,
                TimePoint requested);
  /// Forgets an engine that departed or restarted.
  void Forget(const std::string& engine) { this->entries.erase(engine); }

  /// Returns the order to send to \p engine now, if any, and records it as
  /// sent.
  std::optional<PlaceOrder> Next(const std::string& engine, TimePoint now);
  /// Records the outcome of the order that Next returned.
  void OnOutcome(const std::string& engine, OrderOutcome outcome,
                 TimePoint now);

  /// Returns whether a report of \p engine is needed: its state is unknown or
  /// not yet the target.
  bool NeedsReport(const std::string& engine) const;
  /// Returns the last report, or null.
  const EngineReport* Report(const std::string& engine) const;

 private:
  struct Entry {
    EngineReport report;
    bool known = false;
    /// An order is in flight.
    bool sending = false;
    /// Reports requested before this may not show the last order.
    TimePoint reports_valid_from;
  };

  Layout target;
  std::map<std::string, Entry> entries;
};

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_ORDER_TRACKER_H_
