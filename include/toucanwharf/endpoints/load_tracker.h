#ifndef TOUCANWHARF_ENDPOINTS_LOAD_TRACKER_H_
#define TOUCANWHARF_ENDPOINTS_LOAD_TRACKER_H_

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
class LoadTracker {
 public:
  /// Counts \p load as under way.
  void AddInFlight(const gossip::EndpointLoad& load);
  /// Takes off what AddInFlight counted.
  void RemoveInFlight(const gossip::EndpointLoad& load);
  /// Returns this instance's own loads, without the idle.
  std::vector<gossip::EndpointLoad> Local() const;
  /// Replaces what the other instances have under way.
  void SetPeerLoads(const std::vector<gossip::EndpointLoad>& loads);
  /// The same, from what all instances together, this one included, have under
  /// way: the own part is taken off.
  void SetFleetLoads(const std::vector<gossip::EndpointLoad>& loads);
  /// Returns what all instances together have under way, without the idle.
  std::vector<gossip::EndpointLoad> All() const;
  /// Returns what all instances together have under way at \p endpoint.
  gossip::EndpointLoad Total(const std::string& endpoint) const;

  /// Takes \p count other instances as loaded like this one, where that is
  /// more than what is known of them; 0 to go by what is known.
  ///
  /// Failure guarded against: an instance that is cut off from the others goes
  /// on with what it last heard of their loads, from a calmer moment, and sends
  /// its requests to engines that are full. What callers send is spread over
  /// all instances alike, so its own part tells what the others' must be.
  void AssumeEqualPeerLoad(std::size_t count) { this->unheard = count; }

  /// Notes that \p endpoint refused a request, and keeps new work from it:
  /// for a moment and without telling the others if it is full, as far as is
  /// known, for longer and in all instances if not.
  ///
  /// Failure guarded against: an engine that is dead, or that says that it is
  /// well and isn't, refuses whatever comes, and each of 86 instances learns so
  /// by requests of its own, which cost their callers time and the endpoints'
  /// budget: 350 refusals by one dead engine in two seconds. Each refusal in a
  /// row doubles the pause.
  void OnRefusal(const std::string& endpoint, bool full, TimePoint now);
  /// Keeps new work from \p endpoint until \p until.
  void Suspect(const std::string& endpoint, TimePoint until);
  bool IsSuspected(const std::string& endpoint, TimePoint now) const;
  /// The same for an endpoint that answers nothing at all, as this instance has
  /// found, so that answers under way through it have stopped. Returns whether
  /// that is news.
  bool MarkUnresponsive(const std::string& endpoint, TimePoint until,
                        TimePoint now);
  /// The same by the word of another instance, which doesn't count beside an
  /// answer that this one got itself a moment ago.
  bool MarkReportedUnresponsive(const std::string& endpoint, TimePoint until,
                                TimePoint now);
  bool IsUnresponsive(const std::string& endpoint, TimePoint now) const;
  /// Notes that \p endpoint has answered this instance.
  void OnResponse(const std::string& endpoint, TimePoint now);
  /// Returns the suspicions that still hold. Of silent endpoints those that
  /// this instance has found, or \p heard_too.
  ///
  /// Failure guarded against: instances that pass on what they heard keep a
  /// suspicion alive among themselves, each message making it a little longer,
  /// and a whole fleet avoids an engine that has been back for seconds.
  std::vector<gossip::Suspicion> Suspicions(TimePoint now,
                                            bool heard_too) const;

  /// Notes a report of an engine; it goes before the store's list until
  /// \p until.
  void SetEngineStatus(const gossip::EngineStatus& fact, TimePoint until);
  /// Returns the report of \p endpoint that still counts, or null.
  const gossip::EngineStatus* FindEngineStatus(const Endpoint& endpoint,
                                               TimePoint now) const;

  /// Returns \p endpoint as the path finder sees it.
  placement::Engine ToEngine(const Endpoint& endpoint, TimePoint now) const;

 private:
  struct TimedFact {
    gossip::EngineStatus fact;
    TimePoint until;
  };
  struct Refusals {
    int in_row = 0;
    TimePoint paused_until;
  };
  using Loads = std::map<std::string, gossip::EndpointLoad>;

  Loads own;
  Loads peers;
  std::size_t unheard = 0;
  std::map<std::string, TimePoint> suspected;
  /// Silent endpoints, by whose word ever.
  std::map<std::string, TimePoint> silent_until;
  /// Those that this instance has found.
  std::map<std::string, TimePoint> found_silent_until;
  std::map<std::string, TimePoint> answered_at;
  /// Pauses that the other instances aren't told of.
  std::map<std::string, TimePoint> full_until;
  std::map<std::string, Refusals> refusals;
  std::map<std::string, TimedFact> facts;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_LOAD_BOOK_H_
