#ifndef TOUCANWHARF_ROUTING_EJECTION_H_
#define TOUCANWHARF_ROUTING_EJECTION_H_

#include <cstdint>
#include <vector>

#include "toucanwharf/routing/endpoints.h"
#include "toucanwharf/support/clock.h"

/// \file
/// Temporarily ejects failing endpoints and reinstates them gradually.
///
/// Load: one endpoint fails fast. It looks idle, so that choice by load sends
/// it ever more requests, each of which fails (a black hole). Ejecting without
/// a cap is as bad: if the router's own link is faulty, all endpoints seem to
/// fail and the router would refuse everything.
namespace toucanwharf::routing {

/// Thresholds of the ejection.
struct EjectionSettings {
  /// Consecutive failures that eject. Five don't happen by chance at the error
  /// rates of a healthy endpoint (0.1^5), and a dead one reaches them within a
  /// second of traffic.
  std::uint32_t consecutive_failures = 5;
  /// Maximum share of endpoints ejected at the same time. A third: the rest
  /// carries the load at the two thirds utilization that fleets are sized for.
  double max_share = 1.0 / 3;
  /// If this share of the endpoints in use fails within `window`, the fault is
  /// assumed to be local: independent endpoints don't fail half at a time.
  double local_fault_share = 0.5;
  /// Minimum number of endpoints in use to suspect a local fault; of two, one
  /// is already half.
  std::uint32_t local_fault_min_endpoints = 4;
  Duration window = std::chrono::seconds(10);
  /// First ejection time; doubled for each return that fails again, so that a
  /// flapping endpoint costs ever less.
  Duration base_ejection_time = std::chrono::seconds(5);
  Duration max_ejection_time = std::chrono::seconds(60);
  /// Time over which a new or returning endpoint reaches its full share: cold
  /// caches and connections delay its first answers.
  Duration slow_start = std::chrono::seconds(10);
  /// Consecutive successes after a return that reset the ejection count
  /// (hysteresis): a single success by chance must not reset the doubling.
  std::uint32_t successes_to_reset = 20;
};

/// Tracks which endpoints may get work, and what fraction of their share.
/// Thread safety: none; for one thread.
class Ejection {
 public:
  explicit Ejection(const EjectionSettings& chosen = {}) : settings(chosen) {}

  /// Adds \p endpoint. \p fresh: it has just joined and starts slowly.
  /// Endpoints that a starting router finds in place are not fresh, or the
  /// router would throttle its own first ten seconds of traffic.
  void Add(TimePoint now, Endpoint endpoint, bool fresh);

  /// Forgets \p endpoint. No effect if it is unknown.
  void Remove(Endpoint endpoint);

  /// Records a successful answer of \p endpoint.
  void Succeeded(TimePoint now, Endpoint endpoint);

  /// Records a failure of \p endpoint itself (no refusals for load). Returns
  /// true if this ejected it.
  bool Failed(TimePoint now, Endpoint endpoint);

  /// Returns whether \p endpoint may get work.
  bool Usable(TimePoint now, Endpoint endpoint) const;

  /// Returns the fraction of its full share that \p endpoint should get, above
  /// 0 and up to 1; 0 if it is ejected or unknown.
  double Ramp(TimePoint now, Endpoint endpoint) const;

  /// Returns whether so many endpoints fail that a fault of this router's own
  /// link is likely. Nothing is ejected while this holds.
  bool SuspectsLocalFault(TimePoint now) const;

  /// Returns how many endpoints are ejected.
  std::size_t EjectedCount(TimePoint now) const;

 private:
  struct Entry {
    bool known = false;
    bool slow_starting = false;
    bool used = false;
    bool failed = false;
    TimePoint added;
    TimePoint ejected_until;
    TimePoint last_used;
    TimePoint last_failure;
    std::uint32_t failure_run = 0;
    std::uint32_t ejections = 0;
    std::uint32_t successes = 0;
  };

  Entry& RecordUse(TimePoint now, Endpoint endpoint);
  bool MayEject(TimePoint now) const;
  void Eject(TimePoint now, Entry& entry);
  void ReinstateAll(TimePoint now);

  EjectionSettings settings;
  std::vector<Entry> entries;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_EJECTION_H_
