#ifndef TOUCANWHARF_LIMITS_PACER_H_
#define TOUCANWHARF_LIMITS_PACER_H_

#include <cstdint>
#include <map>
#include <set>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::limits {

/// Token buckets of the endpoints to which this instance may send only so much.
/// A bucket begins empty: right after a limit was stated, a start of a process
/// or a change of the parts, nothing is sent that another instance may have
/// sent as well.
/// Thread safety: none; for one thread.
class Pacer {
 public:
  /// Sets the requests per second for \p endpoint, 0 for none.
  void SetRate(std::uint32_t endpoint, double per_second, TimePoint now);
  /// Ends the limits of all endpoints except \p limited.
  void RetainOnly(const std::set<std::uint32_t>& limited);
  bool Empty() const { return this->buckets.empty(); }
  /// Returns whether a request may be sent to \p endpoint now; always for one
  /// without a limit.
  bool MaySend(std::uint32_t endpoint, TimePoint now) const;
  /// Returns how long until then; a long time if there is no part.
  Duration Wait(std::uint32_t endpoint, TimePoint now) const;
  /// Records that a request is sent to \p endpoint.
  void OnSend(std::uint32_t endpoint, TimePoint now);

 private:
  struct Bucket {
    double per_second = 0;
    double tokens = 0;
    TimePoint filled;
  };

  static double TokensOf(const Bucket& bucket, TimePoint now);

  std::map<std::uint32_t, Bucket> buckets;
};

}  // namespace toucanwharf::limits

#endif  // TOUCANWHARF_LIMITS_PACER_H_
