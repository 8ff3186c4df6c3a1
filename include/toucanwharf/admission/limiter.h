#ifndef TOUCANWHARF_ADMISSION_LIMITER_H_
#define TOUCANWHARF_ADMISSION_LIMITER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "toucanwharf/routing/endpoints.h"

/// \file
/// How many requests this router may have on each endpoint.
///
/// Pattern of load: saturation, seen by several routers through lagging
/// reports. Without a limit all waiting happens inside the endpoints, first
/// come first served, where neither shares nor deadlines count and a request
/// that waits on one endpoint can't use the slot that came free on another.
/// With a fixed limit of slots / routers, slots idle whenever routers don't
/// have equal work. This limit follows the reports: each router keeps its fair
/// part, and what an endpoint reports as free is claimed in parts that double
/// while it stays free and halve when a queue forms.
namespace toucanwharf::admission {

/// What a report says, and what this router had on the endpoint at that time.
struct LimitSample {
  std::uint32_t slots = 1;
  double running = 0;
  /// Requests waiting inside the endpoint.
  double queued = 0;
  /// KV memory that is free, in tokens, less what the waiting requests need.
  double memory_free = 1e9;
  /// This router's requests that the report counts, and their KV memory.
  std::uint32_t own = 0;
  double own_memory = 0;

  friend bool operator==(const LimitSample&, const LimitSample&) = default;
};

/// Thresholds, with the reason of each.
struct LimiterSettings {
  /// Routers that send to these endpoints, this one included.
  std::uint32_t routers = 1;
  /// Requests that may wait inside an endpoint for each router, so that a slot
  /// is taken again while the news of its release travels. One: a link's round
  /// trip is a few hundredths of the time that a request holds its slot.
  double backlog = 0;
  /// Part of a common request that must still fit into the memory limit.
  double memory_part = 0;
};

/// The limits of one router.
/// Thread safety: none; for one thread.
class Limiter {
 public:
  explicit Limiter(const LimiterSettings& chosen = {}) : settings(chosen) {}

  /// Sets how many routers share the endpoints. Precondition: \p routers > 0.
  void SetRouters(std::uint32_t routers);

  /// Returns how many routers share the endpoints.
  std::uint32_t Routers() const { return this->settings.routers; }

  /// Sets the part of each endpoint that this router is entitled to, 0 to 1;
  /// until then it is one of all routers' equal parts.
  void SetPartOfPool(double part);

  /// Learns of \p endpoint with \p slots; until it reports, this router's fair
  /// part is its limit.
  void Add(routing::Endpoint endpoint, std::uint32_t slots);

  /// Gives \p endpoint no room any more.
  void Remove(routing::Endpoint endpoint);

  /// Bars or frees \p endpoint (ejected, leaving, slow start) by the part of
  /// its limit that counts, 0 to 1.
  void SetPart(routing::Endpoint endpoint, double part);

  /// Adapts the limit to a report.
  void Reported(routing::Endpoint endpoint, const LimitSample& sample);

  /// Notes one request handed over that will take \p memory tokens of KV.
  void Started(routing::Endpoint endpoint, double memory);

  /// Notes the end of one request handed over before with the same \p memory.
  void Finished(routing::Endpoint endpoint, double memory);

  /// Notes that the endpoint refused for want of a slot. It gets nothing more
  /// until it reports again or ends one of this router's requests; asking on
  /// would spend a round trip and a retry on each of its next refusals.
  void Refused(routing::Endpoint endpoint);

  /// Returns whether \p endpoint may get one more request.
  bool HasRoom(routing::Endpoint endpoint) const;

  /// Returns all endpoints with room, in no order. Valid until the next call
  /// that isn't const.
  std::span<const routing::Endpoint> WithRoom() const { return this->room; }

  /// Returns the requests that \p endpoint may have from this router.
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
    double part = 1;
    double claim = 0;
    bool refused = false;
    /// Place in `room` plus one; 0 when not in it.
    std::size_t place = 0;
  };

  Entry& At(routing::Endpoint endpoint);
  const Entry& At(routing::Endpoint endpoint) const;
  double PartOfPool() const;
  double FairPart(const Entry& entry) const;
  static double Allowed(const Entry& entry);
  bool Fits(const Entry& entry) const;
  void Update(routing::Endpoint endpoint);

  LimiterSettings settings;
  std::optional<double> part_of_pool;
  std::vector<Entry> entries;
  std::vector<routing::Endpoint> room;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_LIMITER_H_
