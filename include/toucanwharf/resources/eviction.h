#ifndef TOUCANWHARF_RESOURCES_EVICTION_H_
#define TOUCANWHARF_RESOURCES_EVICTION_H_

#include <cstddef>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::resources {

/// What one connection holds that could be freed by ending it.
struct Holding {
  /// The caller's number for it.
  std::size_t id = 0;
  std::size_t bytes = 0;
  /// How long it has held something without an end in sight.
  Duration age{0};

  friend bool operator==(const Holding&, const Holding&) = default;
};

/// Returns the ids of those of \p holdings to end so that at least \p needed
/// bytes become free, or of all of them. Those go first that have held most for
/// longest, as bytes times age.
///
/// Load: more clients than there is memory for send large bodies and stop short
/// of their end, or trickle on. A newcomer whose request is small, or comes
/// quickly, has the smallest product, so ordinary callers get in; a client that
/// sends a byte now and then gains nothing by it.
/// Thread safety: safe.
std::vector<std::size_t> ChooseEvictions(std::vector<Holding> holdings,
                                         std::size_t needed);

}  // namespace toucanwharf::resources

#endif  // TOUCANWHARF_RESOURCES_EVICTION_H_
