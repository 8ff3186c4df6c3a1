#include "toucanwharf/placement/stabilization_window.h"

#include <algorithm>

namespace toucanwharf::placement {

bool StabilizationWindow::IsStable(const std::vector<Accelerator>& fleet,
                                   TimePoint now) {
  if (this->settled) return true;
  if (fleet != this->seen) {
    this->seen = fleet;
    this->seen_since = now;
  }
  const bool cold = std::none_of(
      fleet.begin(), fleet.end(),
      [](const Accelerator& one) { return one.layers.Count() > 0; });
  const Duration wait = cold ? this->settings.cold : this->settings.warm;
  this->settled = !fleet.empty() && now - this->seen_since >= wait;
  if (this->settled) this->seen.clear();
  return this->settled;
}

}  // namespace toucanwharf::placement
