#ifndef TOUCANWHARF_ATTEMPTS_OUTAGE_RETURN_H_
#define TOUCANWHARF_ATTEMPTS_OUTAGE_RETURN_H_

#include <algorithm>
#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// When to come back to another instance, if only this one knows too little; it
/// reads the store again about once a second.
inline constexpr Duration kReturnElsewhere = std::chrono::milliseconds(500);
/// Callers that wait longer have left.
inline constexpr Duration kLongestReturn = std::chrono::seconds(6);

/// Returns after how long a caller should come back whose key can't be
/// confirmed. \p proof_age is the age of the newest proof of the configuration;
/// \p shared is whether other instances are heard of, which would have vouched
/// for a newer one.
///
/// Load that it answers: the store is away, and every instance refuses every
/// caller. Most callers try once more, and spend that try half a second later
/// on the same refusal, just before the store returns. An outage that has
/// lasted for some time lasts for about as long again. Thread safety: safe.
inline Duration ReturnAfterOutage(const std::optional<Duration>& proof_age,
                                  bool shared) {
  if (!shared || !proof_age) return kReturnElsewhere;
  return std::clamp<Duration>(*proof_age * 3 / 4, kReturnElsewhere,
                              kLongestReturn);
}

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_OUTAGE_RETURN_H_
