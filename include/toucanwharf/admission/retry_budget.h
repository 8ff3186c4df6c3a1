#ifndef TOUCANWHARF_ADMISSION_RETRY_BUDGET_H_
#define TOUCANWHARF_ADMISSION_RETRY_BUDGET_H_

#include "toucanwharf/support/clock.h"

/// \file
/// How many second tries the router makes, as a share of first tries.
///
/// Pattern of load: endpoints fail or are slow because they are overloaded.
/// Each failed request tried three times makes three times the load, and the
/// overload feeds itself after its cause is gone (retry storm). Only the router
/// that the caller connected to retries; endpoints and peers never do, or the
/// factors would multiply. Hedges draw on the same budget: a slow fleet would
/// otherwise double its own load.
namespace toucanwharf::admission {

/// What is known of the try before.
enum class TryOutcome {
  /// No byte was handed over, or the endpoint said that it refused first.
  kNotRun,
  /// It may have run.
  kUnknown,
};

/// Thresholds, with the reason of each.
struct RetryBudgetSettings {
  /// Second tries for each first try. A tenth: a storm costs a tenth more
  /// load, and one endpoint of ten that dies is covered whole.
  double share = 0.1;
  /// Most that can be saved up, so that a quiet hour doesn't pay for a storm.
  double most = 100;
  /// Granted each second regardless, so that a nearly idle router can retry.
  double each_second = 1;
};

/// A token bucket filled by first tries.
/// Thread safety: none; for one thread.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& chosen = {})
      : settings(chosen), tokens(chosen.each_second) {}

  /// Notes a first try.
  void FirstTry(TimePoint now);

  /// Returns whether a second try may be made, and takes it from the budget.
  /// A request that isn't idempotent and may have run is never tried again
  /// (I4), whatever the budget holds.
  bool TakeRetry(TimePoint now, TryOutcome before, bool idempotent);

  /// Returns whether a hedge may be sent beside a try that still runs, and
  /// takes it from the budget. The running try has the outcome kUnknown.
  bool TakeHedge(TimePoint now, bool idempotent) {
    return this->TakeRetry(now, TryOutcome::kUnknown, idempotent);
  }

 private:
  void Refill(TimePoint now, double tries);

  RetryBudgetSettings settings;
  double tokens;
  TimePoint last;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_RETRY_BUDGET_H_
