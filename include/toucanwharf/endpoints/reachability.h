#ifndef TOUCANWHARF_ENDPOINTS_REACHABILITY_H_
#define TOUCANWHARF_ENDPOINTS_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::endpoints {

/// How a new connection to an endpoint failed.
enum class ConnectionFailure {
  /// Not established, or reset before an answer.
  kNotConnected,
  /// Established, or in the making, and silent. An endpoint that was only slow
  /// goes on.
  kUnresponsive,
};

/// What it means that an endpoint refuses connections.
enum class RefusalMeaning {
  /// Nothing listens at its address: it has ended.
  kEnded,
  /// Unknown until this instance's own paths have been checked.
  kUnknownYet,
  /// Nothing: this instance's own links refuse connections to all endpoints.
  kNothing,
};

/// What this instance's own connections show about its paths to the endpoints:
/// which one it can't reach, and whether it can reach any.
///
/// Only new connections count: while a path is cut, established connections may
/// live on, or hang, long after new ones fail.
///
/// Failure guarded against: an instance whose own links are cut finds one
/// endpoint after the other dead, and tells the others, who avoid sound
/// endpoints. So the first failure puts this instance's own links in doubt: it
/// checks other endpoints, one after the other, until one answers. If none of
/// several does, the instance is isolated and its findings mean nothing.
/// Thread safety: none; for one thread.
class Reachability {
 public:
  /// Records that \p endpoint answered on a connection that was begun at
  /// \p connected_at. One from before a failure says nothing about the path
  /// since.
  void OnAnswered(const std::string& endpoint, TimePoint connected_at,
                  TimePoint now);
  /// Records that a new connection to \p endpoint failed; \p endpoints is how
  /// many there are, or a large number if none of them can be checked.
  void OnFailure(const std::string& endpoint, ConnectionFailure kind,
                 std::size_t endpoints, TimePoint now);
  /// Records that \p endpoint sent something on a connection of any age: if it
  /// was only unresponsive, that is over.
  void OnData(const std::string& endpoint);
  /// Forgets all failures, because no endpoint is left that could be checked
  /// and only requests can find out.
  void Reset();

  /// Returns whether \p endpoint can't be reached from here, as far as is
  /// known. For a while only: what fails isn't checked for ever.
  bool IsUnreachable(const std::string& endpoint, TimePoint now) const;
  /// Returns the endpoints that can't be reached from here.
  std::vector<std::string> Unreachable(TimePoint now) const;
  /// Returns whether any check may be due.
  bool HasFailures() const { return !this->failures.empty(); }
  /// Returns whether endpoints failed and none has answered since.
  bool InDoubt() const { return !this->failed_since_answer.empty(); }
  /// Returns whether this instance can't reach any endpoint.
  bool IsIsolated() const { return this->isolated; }
  /// Returns whether that has been so for \p length.
  bool IsIsolatedFor(Duration length, TimePoint now) const {
    return this->isolated && now - this->isolated_at >= length;
  }

  /// Returns what it means that an endpoint refuses connections, of which a
  /// failure was recorded.
  ///
  /// Failure guarded against: the links of an instance are reset, it takes all
  /// endpoints for ended, and the requests that it had sent there are
  /// quarantined in the whole fleet as if they crashed endpoints.
  RefusalMeaning MeaningOfRefusal() const;

  /// Returns which of \p candidates to check now, and counts it as being
  /// checked; nothing if no check is due. Each check ends with OnAnswered or
  /// OnFailure, and then OnCheckDone.
  std::optional<std::string> NextCheck(
      const std::vector<std::string>& candidates, TimePoint now,
      Random& random);
  void OnCheckDone() { this->checking = false; }

 private:
  struct Failure {
    TimePoint at;
    TimePoint checked_at;
    ConnectionFailure kind = ConnectionFailure::kNotConnected;
  };

  static bool Holds(const Failure& failure, TimePoint now);

  std::optional<std::string> ChooseCheck(
      const std::vector<std::string>& candidates, TimePoint now,
      Random& random);

  /// The last failure of each endpoint that hasn't answered since.
  std::map<std::string, Failure> failures;
  /// The endpoints that failed since any endpoint answered.
  std::set<std::string> failed_since_answer;
  /// How many of these were checks.
  std::size_t failed_checks = 0;
  std::string last_checked;
  TimePoint next_check_at;
  /// The first failure since any endpoint answered.
  TimePoint doubt_since;
  TimePoint isolated_at;
  bool checking = false;
  bool isolated = false;
  /// Whether a check has succeeded since the last that failed, while isolated.
  bool recovering = false;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_REACHABILITY_H_
