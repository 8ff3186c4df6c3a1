#ifndef TOUCANWHARF_ADMISSION_STOP_PLAN_H_
#define TOUCANWHARF_ADMISSION_STOP_PLAN_H_

#include "toucanwharf/support/clock.h"

namespace toucanwharf::admission {

/// What a process does at which time of a planned stop, counted from the signal
/// to stop. An immutable value. Thread safety: safe.
class StopPlan {
 public:
  /// The process is killed \p grace after the signal. Precondition: \p grace is
  /// positive.
  explicit StopPlan(Duration grace);

  /// Returns when each request that is still under way gets its final answer.
  Duration AnswerBy() const { return this->answer_by; }
  /// Returns when the process ends, delivered or not.
  Duration ExitBy() const { return this->exit_by; }

  friend bool operator==(const StopPlan&, const StopPlan&) = default;

 private:
  Duration answer_by;
  Duration exit_by;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_STOP_PLAN_H_
