#ifndef TOUCANWHARF_INSTANCE_ENDPOINT_LIST_LOG_H_
#define TOUCANWHARF_INSTANCE_ENDPOINT_LIST_LOG_H_

#include <cstddef>
#include <cstdint>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::instance {

/// What may have changed the set of endpoints in use.
enum class ListCause {
  /// A list was read from the store.
  kStore,
  /// A list was fetched from a peer.
  kPeer,
  /// The grace period ended in which missing entries are retained.
  kGraceOver,
};

/// Logs changes of the endpoint list that this instance uses.
/// Thread safety: none; for one thread.
class EndpointListLog {
 public:
  /// Precondition: the logger outlives the object.
  explicit EndpointListLog(eventlog::Logger& log) : logger(log) {}

  /// Logs \p table after an update for \p cause if \p changed is set or the
  /// number of retained entries differs. \p unreadable counts the entries of
  /// the list that could not be parsed.
  void OnList(const endpoints::EndpointTable& table, ListCause cause,
              bool changed, std::int64_t unreadable, TimePoint now);

 private:
  eventlog::Logger& logger;
  std::size_t retained_before = 0;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ENDPOINT_LIST_LOG_H_
