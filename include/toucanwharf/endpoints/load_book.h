#ifndef TOUCANWHARF_ENDPOINTS_LOAD_BOOK_H_
#define TOUCANWHARF_ENDPOINTS_LOAD_BOOK_H_

#include <map>
#include <string>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/gossip/beacon.h"
#include "toucanwharf/placement/path_finder.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::endpoints {

/// What is under way at each endpoint, which endpoints are suspected to be
/// dead, and what engines last said of themselves.
/// Thread safety: none; for one thread.
class LoadBook {
 public:
  /// Counts \p load as under way.
  void Began(const gossip::EndpointLoad& load);
  /// Takes off what Began counted.
  void Ended(const gossip::EndpointLoad& load);
  /// Returns this instance's own loads, without the idle.
  std::vector<gossip::EndpointLoad> Own() const;
  /// Replaces what the other instances have under way.
  void SetPeers(const std::vector<gossip::EndpointLoad>& loads);
  /// The same, from what all instances together, this one included, have under
  /// way: the own part is taken off.
  void SetFleet(const std::vector<gossip::EndpointLoad>& loads);
  /// Returns what all instances together have under way, without the idle.
  std::vector<gossip::EndpointLoad> All() const;
  /// Returns what all instances together have under way at \p endpoint.
  gossip::EndpointLoad Total(const std::string& endpoint) const;

  /// Keeps new work from \p endpoint until \p until.
  void Suspect(const std::string& endpoint, TimePoint until);
  bool Suspected(const std::string& endpoint, TimePoint now) const;
  /// Returns the suspicions that still hold.
  std::vector<gossip::Suspicion> Suspicions(TimePoint now) const;

  /// Notes a report of an engine; it goes before the store's list until
  /// \p until.
  void SetFact(const gossip::EngineFact& fact, TimePoint until);
  /// Returns the report of \p endpoint that still counts, or null.
  const gossip::EngineFact* Fact(const Endpoint& endpoint, TimePoint now) const;

  /// Returns \p endpoint as the path finder sees it.
  placement::Engine ToEngine(const Endpoint& endpoint, TimePoint now) const;

 private:
  struct TimedFact {
    gossip::EngineFact fact;
    TimePoint until;
  };
  using Loads = std::map<std::string, gossip::EndpointLoad>;

  Loads own;
  Loads peers;
  std::map<std::string, TimePoint> suspected;
  std::map<std::string, TimedFact> facts;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_LOAD_BOOK_H_
