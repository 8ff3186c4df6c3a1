#ifndef TOUCANWHARF_PLACEMENT_CAPACITY_H_
#define TOUCANWHARF_PLACEMENT_CAPACITY_H_

#include <set>
#include <string>
#include <vector>

#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/placement/layout.h"

namespace toucanwharf::placement {

/// What a fleet can serve with the layers that its engines hold.
struct Capacity {
  /// Answers of mean length in flight together.
  double answers = 0;
  double answers_per_second = 0;
  /// Mean time of a token over those answers, in milliseconds.
  double token_millis = 0;
  /// Ids of the engines on which it depends.
  std::set<std::string> engines;

  /// Adds what other engines serve. Thread safety: none.
  Capacity& operator+=(const Capacity& other);

  friend bool operator==(const Capacity&, const Capacity&) = default;
};

/// Estimates what the engines of \p fleet can serve together with the layers
/// that they serve now: paths are taken from each failure domain, the fastest
/// first, each with as many answers as its tightest engine has memory for.
/// Paths with room for fewer than \p min_answers don't count. Only if no domain
/// has a path do paths cross domains, as in FindPath. Thread safety: safe.
Capacity EstimateCapacity(const EngineModel& model,
                          const std::vector<Accelerator>& fleet,
                          double min_answers);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_CAPACITY_H_
