#ifndef TOUCANWHARF_ADMISSION_LIMITER_H_
#define TOUCANWHARF_ADMISSION_LIMITER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "toucanwharf/routing/endpoints.h"

/// \file
/// Limits how many requests this router has on each endpoint.
///
/// Load: saturation, seen by several routers through lagging reports. Without a
/// limit all waiting happens inside the endpoints, first come first served,
/// where neither shares nor deadlines count and a request that waits on one
/// endpoint can't use a slot released on another. With a fixed limit of slots /
/// routers, slots idle whenever routers have unequal work. This limit follows
/// the reports: each router keeps its fair share, and claims a fraction of what
/// an endpoint reports as free, which doubles while slots stay free and halves
/// when a queue forms.
namespace toucanwharf::admission {

/// A load report, and this router's load on the endpoint when it was made.
struct LimitSample {
  std::uint32_t slots = 1;
  double running = 0;
  /// Requests waiting inside the endpoint.
  double queued = 0;
  /// Free KV memory in tokens, less what the queued requests need.
  double memory_free = 1e9;
  /// This router's requests that the report counts, and their KV memory.
  std::uint32_t in_flight = 0;
  double in_flight_memory = 0;

  friend bool operator==(const LimitSample&, const LimitSample&) = default;
};

/// Thresholds of the limits.
struct LimiterSettings {
  /// Routers that send to these endpoints, including this one.
  std::uint32_t routers = 1;
  /// Requests that may wait inside an endpoint for each router, so that a slot
  /// is reused before the report of its release arrives. One would do, as a
  /// link's round trip is a few hundredths of the time that a request holds its
  /// slot.
  double backlog = 0;
  /// Fraction of a mean request that must still fit into the memory limit.
  double memory_part = 0;
};

/// Per-endpoint concurrency limits of one router.
/// Thread safety: none; for one thread.
class Limiter {
 public:
  explicit Limiter(const LimiterSettings& chosen = {}) : settings(chosen) {}

  /// Sets how many routers share the endpoints. Precondition: \p routers > 0.
  void SetRouters(std::uint32_t routers);

  /// Returns how many routers share the endpoints.
  std::uint32_t Routers() const { return this->settings.routers; }

  /// Sets the fraction of each endpoint that this router is entitled to, 0 to
  /// 1. The default is an equal share per router.
  void SetPoolShare(double share);

  /// Adds \p endpoint with \p slots; until it reports, this router's fair share
  /// is its limit.
  void Add(routing::Endpoint endpoint, std::uint32_t slots);

  /// Stops admitting requests to \p endpoint.
  void Remove(routing::Endpoint endpoint);

  /// Scales the limit of \p endpoint by \p factor, 0 to 1 (ejection, drain,
  /// slow start).
  void SetLimitFactor(routing::Endpoint endpoint, double factor);

  /// Adapts the limit to a load report.
  void Reported(routing::Endpoint endpoint, const LimitSample& sample);

  /// Records the start of a request that will take \p memory tokens of KV.
  void Started(routing::Endpoint endpoint, double memory);

  /// Records the end of a request that was started with the same \p memory.
  void Finished(routing::Endpoint endpoint, double memory);

  /// Records that the endpoint refused for lack of a slot. It gets no more work
  /// until it reports again or ends one of this router's requests; further
  /// requests would each spend a round trip and a retry on another refusal.
  void Refused(routing::Endpoint endpoint);

  /// Returns whether \p endpoint may get one more request.
  bool HasRoom(routing::Endpoint endpoint) const;

  /// Returns all endpoints with free capacity, in no order. Valid until the
  /// next call that isn't const.
  std::span<const routing::Endpoint> Available() const {
    return this->available;
  }

  /// Returns the maximum number of this router's requests on \p endpoint.
  double LimitOf(routing::Endpoint endpoint) const;

 private:
  struct Entry {
    bool known = false;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    double limit = 0;
    double memory = 0;
    double memory_limit = 1e18;
    double mean_memory = 0;
    double limit_factor = 1;
    double claim = 0;
    bool refused = false;
    /// Index in `available` plus one; 0 if not in it.
    std::size_t available_index = 0;
  };

  Entry& At(routing::Endpoint endpoint);
  const Entry& At(routing::Endpoint endpoint) const;
  double PoolShare() const;
  double FairShare(const Entry& entry) const;
  static double EffectiveLimit(const Entry& entry);
  bool AdmitsOneMore(const Entry& entry) const;
  void Update(routing::Endpoint endpoint);

  LimiterSettings settings;
  std::optional<double> pool_share;
  std::vector<Entry> entries;
  std::vector<routing::Endpoint> available;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_LIMITER_H_
