#ifndef TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_
#define TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Bounds on arrivals at endpoints beyond the first arrival of each request.
struct ArrivalBudgetSettings {
  /// Extra arrivals per request, over all instances.
  double ratio = 0.2;
  /// Extra arrivals in a window regardless of the requests, over all instances.
  double slack = 0;
  Duration window{std::chrono::seconds(10)};
  /// Part of the bound that is used. The rest absorbs the sliding of the window
  /// and the lag with which instances learn of each other.
  double used_share = 0.85;
  /// Part of the bound that all starting processes together use in their first
  /// window; see ArrivalBudget. Beside used_share it fits in twice, for
  /// instances that restart a second time within the window.
  double startup_share = 0.075;

  friend bool operator==(const ArrivalBudgetSettings&,
                         const ArrivalBudgetSettings&) = default;
};

/// The processes that share the budget, as far as this one knows.
struct BudgetSharers {
  /// Instances, this one included; 0 while unknown.
  std::size_t instances = 0;
  /// Those of them that may have started within the last window.
  std::size_t recently_started = 0;

  friend bool operator==(const BudgetSharers&, const BudgetSharers&) = default;
};

/// What one window of the budget of a service holds at this instance.
struct BudgetUse {
  double requests = 0;
  double extras = 0;
  /// How many extras these requests, and the part of the slack, allow.
  double allowed = 0;

  friend bool operator==(const BudgetUse&, const BudgetUse&) = default;
};

/// Decides whether a request may be sent to an endpoint once more.
///
/// Load: endpoints that fail under overload get each request two or three
/// times, which sustains the overload after its cause is gone. Every instance
/// spends only its part of the slack, divided by the number of instances, and
/// the ratio of its own requests. The sum therefore stays within the bound
/// without communication, also while the instances cannot reach one another.
///
/// Guards against restarts in an overload: all instances are killed and
/// restart, callers come back immediately, and the engines are full of answers
/// that nobody waits for. Each process would have a full allowance again beside
/// the one spent before, perhaps in the last second, and before it has
/// contacted the others it would take the whole fleet's slack as its own, so
/// that endpoints get several times the bound. A process that doesn't know the
/// number of instances therefore has no slack. Until a window has passed since
/// its start, when everything spent before the restart has left the window, the
/// recently started processes share a small part of the bound. A single process
/// that restarts among many keeps nearly all of its own.
/// Thread safety: none; for one thread.
class ArrivalBudget {
 public:
  /// \p process_start is when the process began.
  ArrivalBudget(const ArrivalBudgetSettings& chosen, TimePoint process_start)
      : settings(chosen), started(process_start) {}

  /// Sets who shares the budget, as known now.
  void SetSharers(const BudgetSharers& current) { this->sharers = current; }
  /// Records a request for \p service.
  void OnRequest(const std::string& service, TimePoint now);
  /// Returns who shares the budget, as last set.
  const BudgetSharers& Sharers() const { return this->sharers; }
  /// Returns what the window that ends at \p now holds.
  BudgetUse Use(const std::string& service, TimePoint now);
  /// Returns how many more arrivals may be caused now; below one means none.
  double Remaining(const std::string& service, TimePoint now);
  /// Returns whether one more arrival may be caused now.
  bool HasExtra(const std::string& service, TimePoint now);
  /// The same, and counts the arrival if so.
  bool TakeExtra(const std::string& service, TimePoint now);
  /// Counts an extra arrival that was taken at \p sent in the window that
  /// begins at \p now instead: its endpoint has only now read it.
  /// Precondition: now - sent is at most the window.
  void OnRead(const std::string& service, TimePoint sent, TimePoint now);

 private:
  /// Counts in one slice of the window; the oldest slice is first.
  struct Slice {
    TimePoint start;
    std::uint64_t requests = 0;
    std::uint64_t extras = 0;
  };
  using Slices = std::deque<Slice>;

  /// Returns the part of the bound that may be used at \p now.
  double UsableShare(TimePoint now) const;
  Slice& Current(const std::string& service, TimePoint now);

  ArrivalBudgetSettings settings;
  TimePoint started;
  BudgetSharers sharers;
  std::map<std::string, Slices> services;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_
