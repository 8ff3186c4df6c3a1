#ifndef TOUCANWHARF_LIMITS_RATE_SHARE_H_
#define TOUCANWHARF_LIMITS_RATE_SHARE_H_

#include <cstdint>
#include <vector>

namespace toucanwharf::limits {

/// An instance that sends to an endpoint.
struct Sharer {
  /// Stands for the instance; the same after a restart.
  std::uint64_t id = 0;
  /// Requests per second that it has for the endpoint's service.
  double demand = 0;

  friend bool operator==(const Sharer&, const Sharer&) = default;
};

/// Returns how many requests per second the sharer with the id \p self may send
/// to \p endpoint, which takes \p per_second from all \p sharers together.
///
/// Load: the callers of a fleet press on an endpoint in need. Its limit is
/// divided by demand, so that it is used wherever callers connect. Only so many
/// instances get a part that one request of each, beyond the rate, does no
/// harm; which ones, each finds out by itself from the same list (weighted
/// rendezvous hashing), and for each endpoint others do.
///
/// Instances that have other lists for a moment get other parts; a part that is
/// new begins without saved requests (see Pacer).
/// Precondition: \p sharers contains \p self. Thread safety: safe.
double RateShare(std::uint32_t endpoint, double per_second,
                 const std::vector<Sharer>& sharers, std::uint64_t self);

}  // namespace toucanwharf::limits

#endif  // TOUCANWHARF_LIMITS_RATE_SHARE_H_
