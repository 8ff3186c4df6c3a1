#include "toucanwharf/timeline/event.h"

#include <array>
#include <cstddef>

namespace toucanwharf::timeline {
namespace {

// Indexed by EventKind.
constexpr std::array<std::string_view, 33> kNames = {"started",
                                                     "drain_began",
                                                     "stopped",
                                                     "platform_unreachable",
                                                     "platform_reachable",
                                                     "request_accepted",
                                                     "request_refused",
                                                     "request_queued",
                                                     "attempt_started",
                                                     "stage_lost",
                                                     "connection_suspected",
                                                     "answer_resumed",
                                                     "answer_finished",
                                                     "answer_failed",
                                                     "caller_left",
                                                     "call_started",
                                                     "call_finished",
                                                     "claim_written",
                                                     "outcome_unknown",
                                                     "endpoint_ejected",
                                                     "endpoint_returned",
                                                     "endpoint_leaving",
                                                     "instance_joined",
                                                     "instance_suspected",
                                                     "instance_lost",
                                                     "record_accepted",
                                                     "record_rejected",
                                                     "generation_in_force",
                                                     "lease_acquired",
                                                     "lease_lost",
                                                     "order_sent",
                                                     "order_refused",
                                                     "placement_changed"};
static_assert(kNames.size() ==
              static_cast<std::size_t>(EventKind::kPlacementChanged) + 1);

}  // namespace

std::string_view NameOf(EventKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::optional<EventKind> KindOf(std::string_view name) {
  for (std::size_t index = 0; index < kNames.size(); ++index) {
    if (kNames[index] == name) return static_cast<EventKind>(index);
  }
  return std::nullopt;
}

}  // namespace toucanwharf::timeline
