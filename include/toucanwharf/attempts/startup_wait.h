#ifndef TOUCANWHARF_ATTEMPTS_STARTUP_WAIT_H_
#define TOUCANWHARF_ATTEMPTS_STARTUP_WAIT_H_

#include <cstddef>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// Bounds on the requests that wait while a process starts.
struct StartupWaitSettings {
  /// A process has read the configuration and the endpoints some tens of
  /// milliseconds after its start; if the store is away, waiting won't help.
  Duration longest = std::chrono::milliseconds(250);
  /// Bytes of requests that may wait, beside the memory of a small instance.
  std::size_t most_bytes = 16UL * 1024 * 1024;

  friend bool operator==(const StartupWaitSettings&,
                         const StartupWaitSettings&) = default;
};

/// Decides whether a request that comes before a process knows where to send it
/// may wait for that.
///
/// Load that it answers: all instances of a fleet start anew, and every caller
/// comes back in the same instant, before the configuration has been read.
/// Refused, they spend their next try or come back late; 40 ms later all of
/// them can be served.
/// Thread safety: none; for one thread.
class StartupWait {
 public:
  /// \p process_start is when the process began to listen.
  explicit StartupWait(TimePoint process_start,
                       const StartupWaitSettings& chosen = {})
      : settings(chosen), started(process_start) {}

  /// Returns whether a request of \p bytes may wait, and counts it if so.
  bool Enter(std::size_t bytes, TimePoint now);
  /// Takes off what Enter counted.
  void Leave(std::size_t bytes) { this->waiting_bytes -= bytes; }
  /// Returns whether the time to wait is over.
  bool Expired(TimePoint now) const {
    return now - this->started >= this->settings.longest;
  }

 private:
  StartupWaitSettings settings;
  TimePoint started;
  std::size_t waiting_bytes = 0;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_STARTUP_WAIT_H_
