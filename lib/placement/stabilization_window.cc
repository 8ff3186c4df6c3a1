#include "toucanwharf/placement/stabilization_window.h"

#include <algorithm>

namespace toucanwharf::placement {

bool StabilizationWindow::IsStable(const std::vector<Accelerator>& fleet,
                                   TimePoint now) {
  if (this->stable) return true;
  if (fleet != this->last_fleet) {
    this->last_fleet = fleet;
    this->unchanged_since = now;
  }
  const bool cold = std::none_of(fleet.begin(), fleet.end(),
                                 [](const Accelerator& accelerator) {
                                   return accelerator.layers.Count() > 0;
                                 });
  const Duration wait = cold ? this->settings.cold : this->settings.warm;
  this->stable = !fleet.empty() && now - this->unchanged_since >= wait;
  if (this->stable) this->last_fleet.clear();
  return this->stable;
}

}  // namespace toucanwharf::placement
