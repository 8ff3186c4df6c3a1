#ifndef TOUCANWHARF_TEST_SOAK_SOAK_H_
#define TOUCANWHARF_TEST_SOAK_SOAK_H_

#include <cstddef>
#include <string>
#include <vector>

#include "test/soak/plan.h"

namespace toucanwharf::soak {

/// Result of a soak.
struct SoakResult {
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::vector<std::string> violations;
};

/// Runs a soak: starts a fleet, injects and ends the faults while callers send
/// requests, then checks the guarantees and that the fleet serves again.
/// Thread safety: one at a time.
SoakResult RunSoak(const SoakSettings& settings);

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_SOAK_H_
