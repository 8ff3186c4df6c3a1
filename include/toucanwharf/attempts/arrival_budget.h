#ifndef TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_
#define TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Bounds on what endpoints may get beyond the first arrival of each request.
struct ArrivalBudgetSettings {
  /// Extra arrivals for each request, over all instances.
  double ratio = 0.2;
  /// Extra arrivals in a window regardless, over all instances.
  double slack = 0;
  Duration window{std::chrono::seconds(10)};
  /// Part of the bound that is used. The window slides, and instances don't
  /// know each other's counts to the moment.
  double used_share = 0.85;
  /// Part of the bound that all processes together use in their first window;
  /// see ArrivalBudget. Beside used_share there is room for it twice, for
  /// instances that start anew a second time within the window.
  double first_share = 0.075;

  friend bool operator==(const ArrivalBudgetSettings&,
                         const ArrivalBudgetSettings&) = default;
};

/// What a process knows of those that share the budget.
struct BudgetSharers {
  /// Instances, this one included; 0 while that isn't known.
  std::size_t instances = 0;
  /// Of these, those that may have started within the last window.
  std::size_t started_lately = 0;

  friend bool operator==(const BudgetSharers&, const BudgetSharers&) = default;
};

/// Decides whether a request may be sent to an endpoint once more.
///
/// Pattern of load: endpoints that fail under overload get each request two or
/// three times, which keeps the overload going after its cause is gone. Every
/// instance spends only its part of the slack, divided by how many instances
/// there are, and the ratio of its own requests, so that the sum holds without
/// a word between them, also while they cannot reach one another.
///
/// Failure guarded against: all instances are killed in an overload and start
/// anew. Callers come back at once, engines are full of answers that nobody
/// waits for, and the endpoints get several times the bound: each process would
/// have a whole allowance again beside the one that was spent before, perhaps
/// in the last second, and before it has heard of the others it would take the
/// whole fleet's slack as its own. The guard: a process that doesn't know how
/// many there are has no slack, and until a window has passed since its start,
/// when whatever was spent in a former life has left it, the processes that
/// have started lately share a small part of the bound. A single one that
/// starts anew among many keeps nearly all of its own.
/// Thread safety: none; for one thread.
class ArrivalBudget {
 public:
  /// \p process_start is when the process began.
  ArrivalBudget(const ArrivalBudgetSettings& chosen, TimePoint process_start)
      : settings(chosen), started(process_start) {}

  /// Sets who shares the budget, as far as is known now.
  void SetSharers(const BudgetSharers& known) { this->sharers = known; }
  /// Notes a request for \p service.
  void OnRequest(const std::string& service, TimePoint now);
  /// Returns who shares the budget, as last set.
  const BudgetSharers& Sharers() const { return this->sharers; }
  /// Returns how many more arrivals may be caused now, less than one for none.
  double Remaining(const std::string& service, TimePoint now);
  /// Returns whether one more arrival may be caused now.
  bool HasExtra(const std::string& service, TimePoint now);
  /// The same, and counts it if so.
  bool TakeExtra(const std::string& service, TimePoint now);

 private:
  /// Counts in slices of the window, oldest first.
  struct Slice {
    TimePoint begun;
    std::uint64_t requests = 0;
    std::uint64_t extras = 0;
  };
  using Slices = std::deque<Slice>;

  /// Returns the part of the bound that may be used at \p now.
  double Share(TimePoint now) const;
  Slice& Current(const std::string& service, TimePoint now);

  ArrivalBudgetSettings settings;
  TimePoint started;
  BudgetSharers sharers;
  std::map<std::string, Slices> services;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_
