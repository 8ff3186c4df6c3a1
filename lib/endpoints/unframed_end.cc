#include "toucanwharf/endpoints/unframed_end.h"

namespace toucanwharf::endpoints {

UnframedEnd MeaningOfEnd(std::uint64_t start_ms, const AfterEnd& after) {
  const bool comparable = start_ms != 0;
  if (!comparable && after.reported_start_ms) return UnframedEnd::kUnknown;
  if (after.reported_start_ms == start_ms) return UnframedEnd::kWhole;
  const bool ended = after.refused || after.reported_start_ms.has_value();
  return ended ? UnframedEnd::kBroken : UnframedEnd::kUnknown;
}

std::string_view ToText(UnframedEnd meaning) {
  switch (meaning) {
    case UnframedEnd::kWhole:
      return "whole";
    case UnframedEnd::kBroken:
      return "broken";
    case UnframedEnd::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace toucanwharf::endpoints
