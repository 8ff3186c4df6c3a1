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

/// What an engine last said of itself.
struct EngineReport {
  pipeline::LayerRange layers;
  /// Orders that it has begun since its start.
  std::uint64_t sequence = 0;
  /// Whether an order is under way.
  bool busy = false;
  /// How many times slower than its kind it runs.
  double slowdown = 1;
  /// Tokens times layers that its answers held, some hundred milliseconds ago.
  double token_layers = 0;

  friend bool operator==(const EngineReport&, const EngineReport&) = default;
};

/// An order to hold just \p layers, good only while the engine has begun
/// \p sequence orders.
struct PlaceOrder {
  std::string engine;
  pipeline::LayerRange layers;
  std::uint64_t sequence = 0;

  friend bool operator==(const PlaceOrder&, const PlaceOrder&) = default;
};

/// How an order ended as far as is known.
enum class OrderOutcome {
  /// Begun, or the state already held.
  kAccepted,
  /// Surely not begun.
  kRefused,
  /// No answer: it may begin seconds later.
  kUnknown,
};

/// Which orders to give and when, so that the engines come to hold a layout.
///
/// Failure guarded against: an order whose answer is lost is carried out
/// seconds later, after a newer one, and the engine ends up with layers that
/// nobody wants any more. The guard: an order states the whole range and names
/// the count of orders that the engine has begun. After an order without a
/// known end the engine's report is read before the next; if the count has not
/// moved, the next order names the same count, and whichever of the two begins
/// first makes the other void.
/// Thread safety: none; for one thread.
class OrderTracker {
 public:
  /// Takes a new layout; engines that it doesn't name get no orders.
  void SetTargetLayout(Layout layout) { this->wanted = std::move(layout); }
  const Layout& TargetLayout() const { return this->wanted; }

  /// Notes a report of \p engine that was asked for at \p asked.
  void OnReport(const std::string& engine, const EngineReport& report,
                TimePoint asked);
  /// Forgets an engine that is gone or has started anew.
  void Forget(const std::string& engine) { this->entries.erase(engine); }

  /// Returns the order to send to \p engine now, if any, and takes it as sent.
  std::optional<PlaceOrder> Next(const std::string& engine, TimePoint now);
  /// Notes how the order that Next returned ended.
  void OnOutcome(const std::string& engine, OrderOutcome end, TimePoint now);

  /// Returns whether a report of \p engine is worth asking for: its state is
  /// not known, or not yet as wanted.
  bool NeedsReport(const std::string& engine) const;
  /// Returns the last report, or null.
  const EngineReport* Report(const std::string& engine) const;

 private:
  struct Entry {
    EngineReport report;
    bool known = false;
    /// An order is on its way.
    bool sending = false;
    /// Reports asked for before this say nothing of the last order.
    TimePoint settled_after;
  };

  Layout wanted;
  std::map<std::string, Entry> entries;
};

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_ORDER_TRACKER_H_
