#include "toucanwharf/attempts/probe_backoff.h"

#include <algorithm>

namespace toucanwharf::attempts {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

void ProbeBackoff::OnFalseAlarm(TimePoint now) {
  const bool first = this->factor <= 1;
  if (!first && now - this->last_alarm < this->settings.merge_interval) return;
  this->factor = std::min(this->Factor(now) * this->settings.growth,
                          this->settings.max_factor);
  this->last_alarm = now;
}

double ProbeBackoff::Factor(TimePoint now) const {
  const double seconds =
      static_cast<double>((now - this->last_alarm).count()) / kMicrosPerSecond;
  return std::max(1.0,
                  this->factor - seconds * this->settings.recovery_per_second);
}

}  // namespace toucanwharf::attempts
