#include <cmath>

#include "toucanwharf/admission/queue.h"

namespace toucanwharf::admission {
namespace {

/// Busy time over which one sample of the rate is taken: long enough to hold
/// tens of requests at the rates served, short enough to see within a second
/// that endpoints were lost.
constexpr Duration kSample = std::chrono::milliseconds(250);
/// Time over which an older sample fades. A sample weighs by its length, so
/// that a stall of seconds shows at its end. Two seconds hold some turns of the
/// slots; at 0.7 s, requests that end in step made the rate swing, and an
/// eighth of what was let in lapsed while it waited
/// (admission_controller_test.cc).
constexpr double kFadeSeconds = 2.0;

}  // namespace

void DrainMeter::SetFirstGuess(double tokens_per_second) {
  if (this->measured) return;
  this->rate = tokens_per_second;
  this->known = tokens_per_second > 0;
}

void DrainMeter::Waiting(TimePoint now, bool is_waiting) {
  this->Advance(now);
  this->waiting = is_waiting;
}

void DrainMeter::Took(TimePoint now, double cost) {
  this->Advance(now);
  // Work that found the queue empty says nothing about how fast it empties.
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
  if (this->busy < kSample) return;
  const double seconds = std::chrono::duration<double>(this->busy).count();
  const double sample = this->taken / seconds;
  const double part = this->known ? 1.0 - std::exp(-seconds / kFadeSeconds) : 1;
  this->rate += part * (sample - this->rate);
  this->known = true;
  this->measured = true;
  this->taken = 0;
  this->busy = Duration{0};
}

}  // namespace toucanwharf::admission
