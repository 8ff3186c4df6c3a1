#ifndef TOUCANWHARF_ADMISSION_RETRY_BUDGET_H_
#define TOUCANWHARF_ADMISSION_RETRY_BUDGET_H_

#include "toucanwharf/support/clock.h"

/// \file
/// Bounds the router's retries to a ratio of first attempts.
///
/// Load: endpoints fail or are slow because they are overloaded. Three attempts
/// for each failed request triple the load, and the overload sustains itself
/// after its cause is gone (retry storm). Only the router that the caller is
/// connected to retries; endpoints and peers never do, or the factors would
/// multiply. Hedges draw on the same budget: a slow fleet would otherwise
/// double its own load.
namespace toucanwharf::admission {

/// What is known of the previous attempt.
enum class PriorAttempt {
  /// No byte was sent, or the endpoint reported a refusal before it ran.
  kNotRun,
  /// It may have run.
  kUnknown,
};

/// Thresholds of the budget.
struct RetryBudgetSettings {
  /// Retries per first attempt. A tenth: a storm costs a tenth more load, and
  /// one dead endpoint of ten is covered fully.
  double ratio = 0.1;
  /// Maximum number of saved retries, so that an idle hour doesn't pay for a
  /// storm.
  double max_tokens = 100;
  /// Retries granted per second regardless of the load, so that a nearly idle
  /// router can retry.
  double per_second = 1;
};

/// Token bucket that first attempts fill.
/// Thread safety: none; for one thread.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& chosen = {})
      : settings(chosen), tokens(chosen.per_second) {}

  /// Records a first attempt.
  void OnFirstAttempt(TimePoint now);

  /// Returns whether a retry may be made, and takes it from the budget. A
  /// request that isn't idempotent and may have run is never retried (I4),
  /// whatever the budget holds.
  bool TakeRetry(TimePoint now, PriorAttempt prior, bool idempotent);

  /// Returns whether a hedge may be sent beside a running attempt, and takes it
  /// from the budget. The running attempt counts as PriorAttempt::kUnknown.
  bool TakeHedge(TimePoint now, bool idempotent) {
    return this->TakeRetry(now, PriorAttempt::kUnknown, idempotent);
  }

 private:
  void Refill(TimePoint now, double first_attempts);

  RetryBudgetSettings settings;
  double tokens;
  TimePoint last;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_RETRY_BUDGET_H_
