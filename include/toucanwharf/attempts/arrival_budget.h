#ifndef TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_
#define TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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
  /// Part of the bound that is used right after a start; see ArrivalBudget.
  double first_share = 0.15;

  friend bool operator==(const ArrivalBudgetSettings&,
                         const ArrivalBudgetSettings&) = default;
};

/// Decides whether a request may be sent to an endpoint once more.
///
/// Pattern of load: endpoints that fail under overload get each request two or
/// three times, which keeps the overload going after its cause is gone. Every
/// instance spends only its part of the slack, divided by how many instances
/// there are, and the ratio of its own requests, so that the sum holds without
/// a word between them, also while they cannot reach one another.
///
/// Failure guarded against: all instances lose power and start anew within a
/// window. Each would have a whole allowance again, beside the one that was
/// spent before, and the endpoints get nearly twice the bound. The guard: a new
/// process begins with a small part, which grows to the whole in a window, as
/// what was spent before leaves it.
/// Thread safety: none; for one thread.
class ArrivalBudget {
 public:
  explicit ArrivalBudget(const ArrivalBudgetSettings& chosen)
      : settings(chosen) {}

  /// Sets how many instances share the slack. Precondition: count > 0.
  void SetInstances(std::size_t count) { this->instances = count; }
  /// Notes a request for \p service.
  void OnRequest(const std::string& service, TimePoint now);
  /// Returns how many instances share the slack, as far as is known.
  std::size_t Instances() const { return this->instances; }
  /// Returns how many more arrivals may be caused now, less than one for none.
  double Left(const std::string& service, TimePoint now);
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
  std::size_t instances = 1;
  /// When the first request came.
  std::optional<TimePoint> started;
  std::map<std::string, Slices> services;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_ARRIVAL_BUDGET_H_
