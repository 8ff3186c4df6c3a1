#include "toucanwharf/admission/retry_budget.h"

#include <algorithm>

namespace toucanwharf::admission {

void RetryBudget::OnFirstAttempt(TimePoint now) { this->Refill(now, 1); }

bool RetryBudget::TakeRetry(TimePoint now, PriorAttempt prior,
                            bool idempotent) {
  if (prior == PriorAttempt::kUnknown && !idempotent) return false;
  this->Refill(now, 0);
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

void RetryBudget::Refill(TimePoint now, double first_attempts) {
  const double elapsed =
      std::chrono::duration<double>(now - this->last).count();
  this->last = now;
  this->tokens += first_attempts * this->settings.ratio;
  this->tokens += std::max(elapsed, 0.0) * this->settings.per_second;
  this->tokens = std::min(this->tokens, this->settings.max_tokens);
}

}  // namespace toucanwharf::admission
