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

/// Tracks what is in flight at each endpoint, which endpoints are suspected to
/// be dead, and the last status of each engine.
/// Thread safety: none; for one thread.
class LoadTracker {
 public:
  /// Adds \p load to what this instance has in flight.
  void AddInFlight(const gossip::EndpointLoad& load);
  /// Removes what AddInFlight added.
  void RemoveInFlight(const gossip::EndpointLoad& load);
  /// Returns this instance's loads, without idle endpoints.
  std::vector<gossip::EndpointLoad> Local() const;
  /// Replaces what the other instances have in flight.
  void SetPeerLoads(const std::vector<gossip::EndpointLoad>& loads);
  /// The same, from what all instances together, this one included, have in
  /// flight: this instance's part is subtracted.
  void SetFleetLoads(const std::vector<gossip::EndpointLoad>& loads);
  /// Returns what all instances together have in flight, without idle
  /// endpoints.
  std::vector<gossip::EndpointLoad> All() const;
  /// Returns what all instances together have in flight at \p endpoint.
  gossip::EndpointLoad Total(const std::string& endpoint) const;

  /// Assumes that \p count other instances are loaded like this one, where that
  /// is more than their known load; 0 to use the known load.
  ///
  /// Failure guarded against: an instance that is cut off from the others goes
  /// on with their last reported loads, from a moment of less load, and sends
  /// its requests to engines that are full. Callers spread their requests
  /// evenly over all instances, so the local load is an estimate of the
  /// others'.
  void AssumeEqualPeerLoad(std::size_t count) { this->assumed_peers = count; }

  /// Sets whether engines' reports show answers beside those that instances
  /// know of, rather than the same ones.
  ///
  /// Failure guarded against: after all instances restarted, engines hold
  /// answers of the processes that ended, which no instance counts; the larger
  /// of both numbers would leave out one of them, and engines refuse.
  void AddReportsToLoads(bool add) { this->reports_add = add; }
  /// Returns how many answers this instance has in flight.
  double LocalAnswers() const;

  /// Records that \p endpoint refused a request, and keeps new work from it: if
  /// it is known to be full, for a short time and at this instance only;
  /// otherwise for longer and at all instances.
  ///
  /// Failure guarded against: an engine that is dead, or that wrongly reports
  /// itself as healthy, refuses every request, and each of 86 instances detects
  /// that with requests of its own, which cost their callers time and the
  /// endpoints' budget: 350 refusals by one dead engine in two seconds. Each
  /// consecutive refusal doubles the pause.
  void OnRefusal(const std::string& endpoint, bool full, TimePoint now);
  /// Keeps new work from \p endpoint until \p until.
  void Suspect(const std::string& endpoint, TimePoint until);
  bool IsSuspected(const std::string& endpoint, TimePoint now) const;
  /// The same for an endpoint that this instance found not to respond at all,
  /// so that answers in flight through it have stalled. Returns whether the
  /// endpoint was not yet known as unresponsive.
  bool MarkUnresponsive(const std::string& endpoint, TimePoint until,
                        TimePoint now);
  /// The same for an endpoint that another instance reports as unresponsive.
  /// Ignored if this instance got a response from it a moment ago.
  bool MarkReportedUnresponsive(const std::string& endpoint, TimePoint until,
                                TimePoint now);
  bool IsUnresponsive(const std::string& endpoint, TimePoint now) const;
  /// Forgets which endpoints were found unresponsive, because this instance's
  /// own links were at fault.
  void ForgetUnresponsive();
  /// The same for one endpoint that others prove to be alive.
  void ForgetUnresponsive(const std::string& endpoint);
  /// Returns whether \p endpoint has responded to this instance at \p since or
  /// later.
  bool HasRespondedSince(const std::string& endpoint, TimePoint since) const;
  /// Records that \p endpoint has responded to this instance.
  void OnResponse(const std::string& endpoint, TimePoint now);
  /// Returns the suspicions that still hold: of unresponsive endpoints those
  /// that this instance found, and with \p include_reported also those that
  /// others reported.
  ///
  /// Failure guarded against: instances that pass on reports of others keep a
  /// suspicion alive among themselves, each message making it a little longer,
  /// and a whole fleet avoids an engine that has been back for seconds.
  std::vector<gossip::Suspicion> Suspicions(TimePoint now,
                                            bool include_reported) const;

  /// Records an engine's reported status, which takes precedence over the
  /// store's list until \p until.
  void SetEngineStatus(const gossip::EngineStatus& status, TimePoint until);
  /// Returns the reported status of \p endpoint that is still valid, or null.
  const gossip::EngineStatus* FindEngineStatus(const Endpoint& endpoint,
                                               TimePoint now) const;

  /// Returns \p endpoint as input of the path finder.
  placement::Engine ToEngine(const Endpoint& endpoint, TimePoint now) const;

 private:
  struct TimedStatus {
    gossip::EngineStatus status;
    TimePoint until;
  };
  struct Refusals {
    int consecutive = 0;
    TimePoint paused_until;
  };
  using Loads = std::map<std::string, gossip::EndpointLoad>;

  Loads local;
  Loads peers;
  std::size_t assumed_peers = 0;
  bool reports_add = false;
  std::map<std::string, TimePoint> suspected;
  /// Unresponsive endpoints, found by any instance.
  std::map<std::string, TimePoint> unresponsive_until;
  /// Unresponsive endpoints that this instance found.
  std::map<std::string, TimePoint> found_unresponsive_until;
  std::map<std::string, TimePoint> answered_at;
  /// Pauses that are not announced to other instances.
  std::map<std::string, TimePoint> full_until;
  std::map<std::string, Refusals> refusals;
  std::map<std::string, TimedStatus> statuses;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_LOAD_TRACKER_H_
