#ifndef TOUCANWHARF_ROUTING_EJECTION_H_
#define TOUCANWHARF_ROUTING_EJECTION_H_

#include <cstdint>
#include <vector>

#include "toucanwharf/routing/endpoints.h"
#include "toucanwharf/support/clock.h"

/// \file
/// Takes endpoints that fail out of the choice for a while and brings them
/// back slowly.
///
/// Pattern of load: one endpoint fails fast. It looks idle, so that choice by
/// load sends it ever more requests, each of which fails (a black hole).
/// Ejecting without a cap is as bad: when the fault is the router's own link,
/// all endpoints seem to fail and the router would refuse everything.
namespace toucanwharf::routing {

/// Thresholds, with the reason of each.
struct EjectionSettings {
  /// Failures in a row that eject. Five don't happen by chance at the error
  /// rates of a healthy endpoint (0.1^5), and a dead one reaches them within
  /// a second of traffic.
  std::uint32_t failures_in_a_row = 5;
  /// Share of the endpoints that may be out at once. A third: what remains
  /// carries the load at the two thirds that fleets are sized for.
  double max_share = 1.0 / 3;
  /// When this share of the endpoints in use fails within `window`, the fault
  /// is taken to be here: independent endpoints don't fail half at a time.
  double self_share = 0.5;
  /// Fewest endpoints in use for that judgement; of two, one is half.
  std::uint32_t self_least = 4;
  Duration window = std::chrono::seconds(10);
  /// First time out; doubled for each return that fails again, so that an
  /// endpoint that flaps costs ever less.
  Duration base_time = std::chrono::seconds(5);
  Duration max_time = std::chrono::seconds(60);
  /// Time over which a new or returning endpoint gets up to its full share:
  /// cold caches and connections make its first answers slow.
  Duration slow_start = std::chrono::seconds(10);
  /// Successes after a return that forget earlier ejections (hysteresis): a
  /// single lucky probe must not reset the doubling.
  std::uint32_t successes_to_forget = 20;
};

/// Which endpoints may get work, and how much of their share.
/// Thread safety: none; for one thread.
class Ejection {
 public:
  explicit Ejection(const EjectionSettings& chosen = {}) : settings(chosen) {}

  /// Learns of \p endpoint. \p fresh says that it has just joined and starts
  /// slowly; what a starting router finds in place is not fresh, or the router
  /// would hold back its own first ten seconds of traffic.
  void Add(TimePoint now, Endpoint endpoint, bool fresh);

  /// Forgets \p endpoint. Without effect when it is unknown.
  void Remove(Endpoint endpoint);

  /// Notes an answer of \p endpoint.
  void Succeeded(TimePoint now, Endpoint endpoint);

  /// Notes a failure that speaks against \p endpoint (no refusals for load).
  /// Returns true when this ejected it.
  bool Failed(TimePoint now, Endpoint endpoint);

  /// Returns whether \p endpoint may get work.
  bool Usable(TimePoint now, Endpoint endpoint) const;

  /// Returns the part of its full share that \p endpoint should get, above 0
  /// and up to 1; 0 when it is ejected or unknown.
  double Ramp(TimePoint now, Endpoint endpoint) const;

  /// Returns whether so many endpoints fail that this router's own link is the
  /// likely fault. While it holds nothing is ejected.
  bool SuspectsSelf(TimePoint now) const;

  /// Returns how many endpoints are out.
  std::size_t EjectedCount(TimePoint now) const;

 private:
  struct Entry {
    bool known = false;
    bool ramped = false;
    bool used = false;
    bool failed = false;
    TimePoint added;
    TimePoint out_until;
    TimePoint last_used;
    TimePoint last_failure;
    std::uint32_t in_a_row = 0;
    std::uint32_t ejections = 0;
    std::uint32_t successes = 0;
  };

  Entry& Use(TimePoint now, Endpoint endpoint);
  bool MayEject(TimePoint now) const;
  void Eject(TimePoint now, Entry& entry);
  void ReinstateAll(TimePoint now);

  EjectionSettings settings;
  std::vector<Entry> entries;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_EJECTION_H_
