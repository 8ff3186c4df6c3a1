#ifndef TOUCANWHARF_INSTANCE_MECHANISMS_H_
#define TOUCANWHARF_INSTANCE_MECHANISMS_H_

#include <string>
#include <vector>

namespace toucanwharf::instance {

/// Parts of the router's policy that can be disabled one by one, to measure the
/// effect of each on a deployment. All are enabled in production.
struct Mechanisms {
  /// All engines of a stalled path are probed for liveness.
  bool engine_probes = true;
  /// An answer that lost an engine resumes on another path rather than changing
  /// its path.
  bool resume_first = true;
  /// Resumed answers start at engines drawn at random.
  bool spread_resumed = true;
  /// Requests that arrive right after a start wait for the configuration.
  bool startup_wait = true;
  /// Requests wait briefly for free capacity.
  bool capacity_queue = true;
  /// Spare engines hold copies of layers.
  bool standby_copies = true;
  /// Engines whose capacity is in use are costed as slower.
  bool price_congestion = true;
  /// An engine that refused a request receives no new ones for a while.
  bool refusal_pauses = true;
  /// Routers of a large fleet consider only two random first engines.
  bool entry_choices = true;
  /// Loads last reported by unresponsive peers are ignored.
  bool ignore_unresponsive_peers = true;
  /// An instance that can't reach endpoints forwards requests to one that can.
  bool forwarding = true;
  /// Such an instance isn't named to callers.
  bool withdrawal = true;
  /// Without a leader, the load of peers is estimated from their reports;
  /// otherwise each counts as loaded like this instance.
  bool reported_loads = true;
  /// Callers are also directed to peers that will be ready soon.
  bool early_advice = true;
  /// An instance whose keys are unconfirmed asks peers for a confirmation.
  bool quick_confirmation = true;
  /// The placement lease of a process that is known to have ended is taken over
  /// before its term is over.
  bool quick_takeover = true;
  /// Retry-After follows the capacity that is expected to come free.
  bool return_schedule = true;
  /// Requests wait for capacity by rank, customer and time limit; otherwise in
  /// order of arrival.
  bool rank_order = true;
  /// Engines are told the rank of a request.
  bool engine_ranks = true;

  friend bool operator==(const Mechanisms&, const Mechanisms&) = default;
};

/// The selected mechanisms, and the problems found in the names.
struct ParsedMechanisms {
  Mechanisms mechanisms;
  /// One text for each unknown name, with the list of the known ones.
  std::vector<std::string> problems;
};

/// Returns all mechanisms enabled except those in \p off, a list separated by
/// commas.
/// Thread safety: safe.
ParsedMechanisms WithoutMechanisms(const std::string& off);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_MECHANISMS_H_
