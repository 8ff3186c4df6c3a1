#ifndef TOUCANWHARF_INSTANCE_ENDPOINT_LIST_LOG_H_
#define TOUCANWHARF_INSTANCE_ENDPOINT_LIST_LOG_H_

#include <cstddef>
#include <cstdint>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::instance {

/// What may have changed the endpoints in use.
enum class ListCause {
  /// A list was read from the store.
  kStore,
  /// A list was had from a peer.
  kPeer,
  /// The time is over in which missing entries are kept.
  kGraceOver,
};

/// Logs what this instance believes of the endpoints where that has changed.
/// Thread safety: none; for one thread.
class EndpointListLog {
 public:
  /// Precondition: the logger outlives the object.
  explicit EndpointListLog(eventlog::Logger& log) : logger(log) {}

  /// Notes that \p table was brought up to date for \p cause, which \p changed
  /// it or not; \p unreadable entries of the list could not be read.
  void OnList(const endpoints::EndpointTable& table, ListCause cause,
              bool changed, std::int64_t unreadable, TimePoint now);

 private:
  eventlog::Logger& logger;
  std::size_t kept_before = 0;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ENDPOINT_LIST_LOG_H_
