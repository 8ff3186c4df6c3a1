#include "toucanwharf/admission/retry_budget.h"

#include <algorithm>

namespace toucanwharf::admission {

void RetryBudget::FirstTry(TimePoint now) { this->Refill(now, 1); }

bool RetryBudget::TakeRetry(TimePoint now, TryOutcome before, bool idempotent) {
  if (before == TryOutcome::kUnknown && !idempotent) return false;
  this->Refill(now, 0);
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

void RetryBudget::Refill(TimePoint now, double tries) {
  const double past = std::chrono::duration<double>(now - this->last).count();
  this->last = now;
  this->tokens += tries * this->settings.share;
  this->tokens += std::max(past, 0.0) * this->settings.each_second;
  this->tokens = std::min(this->tokens, this->settings.most);
}

}  // namespace toucanwharf::admission
