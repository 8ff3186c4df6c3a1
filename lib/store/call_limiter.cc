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

CallLimiter::CallLimiter(const CallLimits& gate_limits, Random source)
    : limits(gate_limits), random(source), tokens(gate_limits.burst) {
  assert(gate_limits.calls_per_second > 0 && gate_limits.burst >= 1);
}

void CallLimiter::Refill(TimePoint now) {
  const double earned =
      Seconds(now - this->refilled_at) * this->limits.calls_per_second;
  // While calls fail nothing is saved up: the return starts without a burst.
  const double most = this->failures > 0 ? 1.0 : this->limits.burst;
  this->tokens = std::min(most, this->tokens + earned);
  this->refilled_at = now;
}

bool CallLimiter::TryAcquire(TimePoint now) {
  this->Refill(now);
  if (this->failures > 0) {
    if (this->in_flight > 0 || now < this->closed_until) return false;
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
  const Duration bound = std::min(this->limits.longest_pause,
                                  this->limits.first_pause * (1U << doublings));
  const auto span = static_cast<std::uint64_t>(bound.count()) + 1;
  const auto pause = static_cast<Duration::rep>(this->random.Below(span));
  this->closed_until = std::max(this->closed_until, now + Duration(pause));
  ++this->failures;
}

}  // namespace toucanwharf::store
