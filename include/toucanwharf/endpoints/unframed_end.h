#ifndef TOUCANWHARF_ENDPOINTS_UNFRAMED_END_H_
#define TOUCANWHARF_ENDPOINTS_UNFRAMED_END_H_

#include <cstdint>
#include <optional>

#include "toucanwharf/endpoints/endpoint.h"

namespace toucanwharf::endpoints {

/// What the end of an answer means that ended only with its connection.
enum class UnframedEnd {
  /// The endpoint has sent the whole answer.
  kWhole,
  /// The endpoint has crashed, and the answer with it.
  kBroken,
  kUnknown,
};

/// What an endpoint's address shows after the end of an answer.
struct AfterEnd {
  /// Whether connections are refused there: no process listens.
  bool refused = false;
  /// Start time in milliseconds since 1970 of the endpoint that reports there,
  /// if one does.
  std::optional<std::uint64_t> reported_start_ms;

  friend bool operator==(const AfterEnd&, const AfterEnd&) = default;
};

/// Returns what the end of an answer means that the start \p key of an endpoint
/// sent (see EndpointKey). \p listed is the endpoint of that id in the newest
/// list, null if there is none.
///
/// Failure guarded against: an instance that was suspended reads an end when
/// the endpoint is back under its id, takes the new start for the one that sent
/// the answer, and relays a part as the whole.
/// Thread safety: safe.
UnframedEnd MeaningOfEnd(std::uint32_t key, const Endpoint* listed,
                         const AfterEnd& after);

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_UNFRAMED_END_H_
