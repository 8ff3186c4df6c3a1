#include "toucanwharf/admission/stop_plan.h"

#include <algorithm>

namespace toucanwharf::admission {
namespace {

/// Time before the kill for the last answers and for the end of the process: a
/// part of the grace, and no more than a busy machine needs.
constexpr Duration kMaxKillMargin = std::chrono::milliseconds(400);
constexpr int kKillMarginDivisor = 8;

}  // namespace

StopPlan::StopPlan(Duration grace, Duration news) : known_by(news) {
  const Duration margin = std::min(kMaxKillMargin, grace / kKillMarginDivisor);
  this->answer_by = grace - margin;
  this->exit_by = grace - margin / 2;
}

bool StopPlan::MayTake(Duration elapsed, const ExpectedTime& expected) const {
  const Duration left = this->answer_by - elapsed;
  if (expected.left <= left) return true;
  const bool unknown_to_callers = elapsed <= this->known_by;
  return unknown_to_callers && expected.usual && *expected.usual <= left;
}

}  // namespace toucanwharf::admission
