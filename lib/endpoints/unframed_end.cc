#include "toucanwharf/endpoints/unframed_end.h"

namespace toucanwharf::endpoints {

UnframedEnd MeaningOfEnd(std::uint32_t key, const Endpoint* listed,
                         const AfterEnd& after) {
  // An endpoint that leaves by an order ends its answers before.
  if (listed == nullptr) return UnframedEnd::kUnknown;
  if (EndpointKey(*listed) != key) return UnframedEnd::kBroken;
  if (after.reported_start_ms == listed->start_time_ms) {
    return UnframedEnd::kWhole;
  }
  if (listed->state == EndpointState::kDraining) return UnframedEnd::kUnknown;
  const bool ended = after.refused || after.reported_start_ms.has_value();
  return ended ? UnframedEnd::kBroken : UnframedEnd::kUnknown;
}

}  // namespace toucanwharf::endpoints
