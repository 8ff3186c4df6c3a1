#ifndef TOUCANWHARF_INSTANCE_RESOURCE_WATCH_H_
#define TOUCANWHARF_INSTANCE_RESOURCE_WATCH_H_

#include <cstddef>
#include <optional>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/resources.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::instance {

/// Decides when the use of resources is worth a log line, and when memory that
/// was needed for a while is given back to the system. Asked regularly.
/// Thread safety: none; for one thread.
class ResourceWatch {
 public:
  /// Returns the fields of a line if the use has never been as high: of some
  /// part of a resource, and twice as much each time, so that lines are few.
  std::optional<eventlog::Fields> NewPeak(const http::Resources& resources);
  /// Returns the fields of a line if something was ended or refused for lack of
  /// a resource, at most once a second.
  std::optional<eventlog::Fields> Shortage(const http::Resources& resources,
                                           TimePoint now);
  /// Returns whether much less than a while ago is in use of the buffers, of
  /// which \p used_bytes are now.
  ///
  /// Failure guarded against: many small blocks that were freed stay with the
  /// process, and what the next crowd takes comes on top of them.
  bool HasFreeMemory(std::size_t used_bytes, TimePoint now);

 private:
  std::size_t logged_bytes = 0;
  std::size_t logged_connections = 0;
  http::ResourceCounters logged;
  TimePoint shortage_logged{Duration(-1'000'000'000)};
  /// The largest use since memory was last given back, in bytes.
  std::size_t recent_peak = 0;
  TimePoint returned_at{Duration(-1'000'000'000)};
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_RESOURCE_WATCH_H_
