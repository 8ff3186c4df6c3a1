#include <cmath>

#include "toucanwharf/admission/queue.h"

namespace toucanwharf::admission {
namespace {

/// Non-empty time per sample of the rate: long enough to hold tens of requests
/// at usual rates, short enough to detect within a second that endpoints were
/// lost.
constexpr Duration kSamplePeriod = std::chrono::milliseconds(250);
/// Time constant of the decay of older samples. A sample weighs by its length,
/// so that a stall of seconds shows at its end. Two seconds hold several
/// generations of the slots; at 0.7 s, requests that end in step made the rate
/// oscillate, and an eighth of the admitted requests expired in the queue
/// (admission_controller_test.cc).
constexpr double kDecaySeconds = 2.0;

}  // namespace

void DrainMeter::SetInitialRate(double tokens_per_second) {
  if (this->measured) return;
  this->rate = tokens_per_second;
  this->has_rate = tokens_per_second > 0;
}

void DrainMeter::SetWaiting(TimePoint now, bool is_waiting) {
  this->Advance(now);
  this->waiting = is_waiting;
}

void DrainMeter::RecordTaken(TimePoint now, double cost) {
  this->Advance(now);
  // Work that found the queue empty says nothing about the drain rate.
  if (this->waiting) this->taken += cost;
}

double DrainMeter::Rate(TimePoint now) const {
  DrainMeter current = *this;
  current.Advance(now);
  return current.rate;
}

void DrainMeter::Advance(TimePoint now) {
  if (this->waiting) this->busy += now - this->last;
  this->last = now;
  if (this->busy < kSamplePeriod) return;
  const double seconds = std::chrono::duration<double>(this->busy).count();
  const double sample = this->taken / seconds;
  const double weight =
      this->has_rate ? 1.0 - std::exp(-seconds / kDecaySeconds) : 1;
  this->rate += weight * (sample - this->rate);
  this->has_rate = true;
  this->measured = true;
  this->taken = 0;
  this->busy = Duration{0};
}

}  // namespace toucanwharf::admission
