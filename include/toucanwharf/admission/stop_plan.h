#ifndef TOUCANWHARF_ADMISSION_STOP_PLAN_H_
#define TOUCANWHARF_ADMISSION_STOP_PLAN_H_

#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::admission {

/// How long a request may last.
struct ExpectedTime {
  /// Until its answer is due.
  Duration left;
  /// What it is expected to take by what its route has taken; nothing while
  /// that isn't known.
  std::optional<Duration> usual;

  friend bool operator==(const ExpectedTime&, const ExpectedTime&) = default;
};

/// What a process does at which time of a planned stop, counted from the signal
/// to stop. An immutable value. Thread safety: safe.
class StopPlan {
 public:
  /// The process is killed \p grace after the signal, and most callers know of
  /// the stop \p news after it. Precondition: \p grace is positive.
  StopPlan(Duration grace, Duration news);

  /// Returns when each request that is still under way gets its final answer.
  Duration AnswerBy() const { return this->answer_by; }
  /// Returns when the process ends, delivered or not.
  Duration ExitBy() const { return this->exit_by; }

  /// Returns whether to take a request \p elapsed after the signal. What is
  /// answered before the last answers are given, even if it uses all the time
  /// that is left to it, is taken. So is, while callers can't know of the stop,
  /// what is expected to take no longer.
  ///
  /// Load: callers learn of the stop seconds after the signal and send on until
  /// then. Where many instances stop together, refusals leave them no place to
  /// go. Later ones are few and know other instances, and a refusal costs them
  /// less than an answer that is cut.
  bool MayTake(Duration elapsed, const ExpectedTime& expected) const;

  friend bool operator==(const StopPlan&, const StopPlan&) = default;

 private:
  Duration answer_by;
  Duration exit_by;
  Duration known_by;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_STOP_PLAN_H_
