#ifndef TOUCANWHARF_INSTANCE_UNRESPONSIVE_REPORT_H_
#define TOUCANWHARF_INSTANCE_UNRESPONSIVE_REPORT_H_

#include <string>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::instance {

/// A peer's report that an endpoint does not respond to it.
struct UnresponsiveReport {
  std::string endpoint;
  /// Callers address of the peer.
  std::string peer;
  /// When the report expires.
  TimePoint until;
  /// Whether the peer checked it for the fleet.
  bool verified = false;

  friend bool operator==(const UnresponsiveReport&,
                         const UnresponsiveReport&) = default;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_UNRESPONSIVE_REPORT_H_
