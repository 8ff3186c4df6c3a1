#include "toucanwharf/store/call_limiter.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::store {
namespace {

constexpr std::uint32_t kMaxDoublings = 16;

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

CallLimiter::CallLimiter(const CallLimits& call_limits, Random source)
    : limits(call_limits), random(source), tokens(call_limits.burst) {
  assert(call_limits.calls_per_second > 0 && call_limits.burst >= 1);
}

void CallLimiter::Refill(TimePoint now) {
  const double earned =
      Seconds(now - this->refilled_at) * this->limits.calls_per_second;
  // While calls fail no tokens accumulate: the return starts without a burst.
  const double max_tokens = this->failures > 0 ? 1.0 : this->limits.burst;
  this->tokens = std::min(max_tokens, this->tokens + earned);
  this->refilled_at = now;
}

bool CallLimiter::TryAcquire(TimePoint now) {
  this->Refill(now);
  if (this->failures > 0) {
    if (this->in_flight > 0 || now < this->next_probe_at) return false;
  }
  if (this->tokens < 1.0) return false;
  this->tokens -= 1.0;
  ++this->in_flight;
  return true;
}

void CallLimiter::OnSuccess() {
  if (this->in_flight > 0) --this->in_flight;
  this->failures = 0;
}

void CallLimiter::OnFailure(TimePoint now) {
  if (this->in_flight > 0) --this->in_flight;
  const std::uint32_t doublings = std::min(this->failures, kMaxDoublings);
  const Duration bound =
      std::min(this->limits.max_backoff,
               this->limits.initial_backoff * (1U << doublings));
  const auto span = static_cast<std::uint64_t>(bound.count()) + 1;
  const auto backoff = static_cast<Duration::rep>(this->random.Below(span));
  this->next_probe_at = std::max(this->next_probe_at, now + Duration(backoff));
  ++this->failures;
}

}  // namespace toucanwharf::store
