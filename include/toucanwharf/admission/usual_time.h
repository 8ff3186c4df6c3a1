#ifndef TOUCANWHARF_ADMISSION_USUAL_TIME_H_
#define TOUCANWHARF_ADMISSION_USUAL_TIME_H_

#include <cstdint>
#include <map>
#include <string>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::admission {

/// Learns for each route how much time callers state with their first attempt,
/// and tells from that how long ago the first attempt of a retry began.
///
/// Load: callers that were refused or lost their answers come back among new
/// ones. Their attempts have ids of their own; only the time that they have
/// left, which is the usual time less what has passed, shows a retry.
/// Thread safety: none; for one thread.
class UsualTime {
 public:
  /// Records that a caller of \p route states that it has \p stated left.
  /// Returns how long ago its first attempt began, 0 for a first attempt.
  Duration RecordAttempt(const std::string& route, Duration stated,
                         TimePoint now);

 private:
  using Counts = std::map<std::int64_t, int>;
  struct Window {
    TimePoint begin;
    Counts current;
    Counts previous;
  };

  static std::int64_t UsualOf(const Window& window);
  void ForgetUnusedRoutes(TimePoint now);

  std::map<std::string, Window> routes;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_USUAL_TIME_H_
