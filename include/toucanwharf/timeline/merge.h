#ifndef TOUCANWHARF_TIMELINE_MERGE_H_
#define TOUCANWHARF_TIMELINE_MERGE_H_

#include <string>
#include <vector>

#include "toucanwharf/timeline/buffer.h"

namespace toucanwharf::timeline {

/// An event with the instance that recorded it.
struct MergedEvent {
  std::string instance;
  Event event;

  friend bool operator==(const MergedEvent&, const MergedEvent&) = default;
};

/// Returns the events of all \p pages, ordered by stamp, then by instance and
/// sequence number, so that the order is deterministic.
/// Thread safety: safe.
std::vector<MergedEvent> Merge(const std::vector<Page>& pages);

/// Returns \p events as human-readable lines, with times in UTC.
/// Thread safety: safe.
std::string ToText(const std::vector<MergedEvent>& events);

/// Returns \p events as one JSON array. Thread safety: safe.
std::string ToJson(const std::vector<MergedEvent>& events);

/// Returns \p events in the Trace Event Format of Chrome's trace viewer and
/// Perfetto: a row for each instance, a bar for each request from its first to
/// its last event on that instance, and an instant event for each event.
/// Thread safety: safe.
std::string ToChromeTrace(const std::vector<MergedEvent>& events);

}  // namespace toucanwharf::timeline

#endif  // TOUCANWHARF_TIMELINE_MERGE_H_
