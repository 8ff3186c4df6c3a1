#ifndef TOUCANWHARF_TIMELINE_EVENT_H_
#define TOUCANWHARF_TIMELINE_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "toucanwharf/timeline/hybrid_clock.h"

namespace toucanwharf::timeline {

/// Kinds of events; NameOf returns their names in JSON.
enum class EventKind {
  // Process.
  kStarted,
  kDrainBegan,
  kStopped,
  kPlatformUnreachable,
  kPlatformReachable,
  // Callers' requests.
  kRequestAccepted,
  kRequestRefused,
  kRequestQueued,
  kAttemptStarted,
  kStageLost,
  kConnectionSuspected,
  kAnswerResumed,
  kAnswerFinished,
  kAnswerFailed,
  kCallerDisconnected,
  kCallStarted,
  kCallFinished,
  kClaimWritten,
  kOutcomeUnknown,
  // Endpoints and instances.
  kEndpointEjected,
  kEndpointReturned,
  kEndpointLeaving,
  kInstanceJoined,
  kInstanceSuspected,
  kInstanceLost,
  // Records and control.
  kRecordAccepted,
  kRecordRejected,
  kGenerationInForce,
  kLeaseAcquired,
  kLeaseLost,
  kOrderSent,
  kOrderRefused,
  kPlacementChanged,
};

/// Returns the name of \p kind in JSON, such as "stage_lost".
/// Thread safety: safe.
std::string_view NameOf(EventKind kind);

/// Returns the kind named \p name, or nothing. Thread safety: safe.
std::optional<EventKind> KindOf(std::string_view name);

/// Details of an event; members that don't apply are empty.
struct EventDetails {
  EventKind kind = EventKind::kStarted;
  /// Id of the caller's request.
  std::string request;
  /// Key of a record, such as "pipeline.qa-model".
  std::string record;
  /// Id of the endpoint or instance that the event is about.
  std::string endpoint;
  std::uint32_t attempt = 0;
  /// Human-readable reason.
  std::string reason;

  friend bool operator==(const EventDetails&, const EventDetails&) = default;
};

/// An event as its instance recorded it.
struct Event {
  /// Sequence number on the instance, from 1; a gap means dropped events.
  std::uint64_t sequence = 0;
  Stamp stamp;
  /// The instance's wall clock, in milliseconds since 1970.
  std::uint64_t wall_millis = 0;
  EventDetails details;

  friend bool operator==(const Event&, const Event&) = default;
};

}  // namespace toucanwharf::timeline

#endif  // TOUCANWHARF_TIMELINE_EVENT_H_
