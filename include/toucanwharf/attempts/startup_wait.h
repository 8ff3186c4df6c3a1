#ifndef TOUCANWHARF_ATTEMPTS_STARTUP_WAIT_H_
#define TOUCANWHARF_ATTEMPTS_STARTUP_WAIT_H_

#include <cstddef>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Bounds on the requests that wait while a process starts.
struct StartupWaitSettings {
  /// Maximum wait after the start. A process has read the configuration and the
  /// endpoints some tens of milliseconds after its start; during a store outage
  /// waiting won't help.
  Duration max_wait = std::chrono::milliseconds(250);
  /// Maximum total size of waiting requests, small beside the memory of a small
  /// instance.
  std::size_t max_bytes = 16UL * 1024 * 1024;

  friend bool operator==(const StartupWaitSettings&,
                         const StartupWaitSettings&) = default;
};

/// Decides whether a request that arrives before the process has a
/// configuration and endpoints may wait for them.
///
/// Load: all instances of a fleet restart, and every caller comes back at the
/// same moment, before the configuration has been read. Refused, callers spend
/// their next attempt or come back late; 40 ms later all of them can be served.
/// Thread safety: none; for one thread.
class StartupWait {
 public:
  /// \p process_start is when the process began to listen.
  explicit StartupWait(TimePoint process_start,
                       const StartupWaitSettings& chosen = {})
      : settings(chosen), started(process_start) {}

  /// Returns whether a request of \p bytes may wait, and counts it if so.
  bool Enter(std::size_t bytes, TimePoint now);
  /// Releases the \p bytes that Enter counted.
  void Leave(std::size_t bytes) { this->waiting_bytes -= bytes; }
  /// Returns whether the maximum wait is over.
  bool Expired(TimePoint now) const {
    return now - this->started >= this->settings.max_wait;
  }

 private:
  StartupWaitSettings settings;
  TimePoint started;
  std::size_t waiting_bytes = 0;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_STARTUP_WAIT_H_
