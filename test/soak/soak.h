#ifndef TOUCANWHARF_TEST_SOAK_SOAK_H_
#define TOUCANWHARF_TEST_SOAK_SOAK_H_

#include <cstddef>
#include <string>
#include <vector>

#include "test/soak/plan.h"

namespace toucanwharf::soak {

/// What a soak saw.
struct SoakEnd {
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::vector<std::string> broken;
};

/// Plays \p settings: starts a fleet, lets callers call while the faults come
/// and go, ends all faults, and checks the promises and that the fleet serves
/// again. Thread safety: one at a time.
SoakEnd RunSoak(const SoakSettings& settings);

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_SOAK_H_
