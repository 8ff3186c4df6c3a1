#ifndef TOUCANWHARF_MEMBERSHIP_MEMBERSHIP_H_
#define TOUCANWHARF_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/membership/values.h"
#include "toucanwharf/membership/view.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::membership {

/// Failure detection and gossip of one member, as a state machine: it takes
/// time, messages and answers, and returns the probes to send.
///
/// Load: each member sends one probe a period and gets one on average, whatever
/// the size of the group. All-to-all heartbeats would grow with the square: 420
/// members at two a second would receive 840 messages a second each.
///
/// Thread safety: none; for one thread.
class Membership {
 public:
  /// Starts the member \p own. Its incarnation should be higher than before a
  /// restart with the same id (such as the wall clock); if it isn't, the first
  /// contact corrects that.
  Membership(const Settings& limits, const Member& own, Random random_source);

  /// Runs what is due at \p now; to be called a few times a period.
  /// Precondition: \p now doesn't go back.
  std::vector<Probe> Tick(TimePoint now);
  /// Handles a probe and returns the answer to send back.
  Message OnProbe(const Message& message, TimePoint now);
  /// Handles the answer to probe \p id, direct or indirect. The contents of
  /// answers to unknown or overdue probes are applied as well.
  void OnAnswer(std::uint64_t id, const Message& message, TimePoint now);
  /// Sets the platform's list of instances, which only provides addresses to
  /// probe: an entry never makes a member alive, because the list may be older
  /// than what the member or its peers reported since.
  void OnList(const std::vector<Seed>& list);
  /// Announces that this member drains (I5).
  void Leave() { this->view.Leave(); }
  /// Publishes an item of this member; see View::Publish.
  bool Publish(ItemKind kind, const std::string& key,
               const std::string& value) {
    return this->view.Publish(kind, key, value);
  }

  /// Returns the members that are not dead, itself included, by id.
  std::vector<Member> Present() const;
  /// Returns the current state of all members and items.
  const View& CurrentView() const { return this->view; }

 private:
  struct Pending {
    std::string target;
    std::string address;
    TimePoint started;
    bool indirect_probes_sent = false;
    /// Sent to a member that does not count as present; its failure is no
    /// evidence.
    bool seed = false;
  };

  void CheckPending(TimePoint now, std::vector<Probe>& probes);
  void SendIndirectProbes(std::uint64_t id, Pending& pending,
                          std::vector<Probe>& probes);
  void StartPeriod(TimePoint now, std::vector<Probe>& probes);
  void ProbeNext(TimePoint now, std::vector<Probe>& probes);
  void ProbeSeed(TimePoint now, std::vector<Probe>& probes);
  void Send(const std::string& target, const std::string& address, bool seed,
            TimePoint now, std::vector<Probe>& probes);
  void Receive(const Message& message, TimePoint now);
  void MarkSuspect(const std::string& id, TimePoint now);
  void DropProbesAfterPause(TimePoint now);
  std::vector<std::string> Targets() const;
  std::vector<std::string> Neighbours() const;
  Duration SuspicionTimeout() const;
  Duration WithHealthPenalty(Duration length) const;

  Settings settings;
  View view;
  Random random;
  std::uint64_t next_probe = 0;
  std::map<std::uint64_t, Pending> pending;
  std::vector<std::string> round;
  std::vector<Seed> seeds;
  std::optional<TimePoint> last_tick;
  TimePoint next_period;
  std::uint64_t periods = 0;
  /// Indications that this member itself is slow or badly connected, 0 to
  /// kMaxHealthPenalty; lengthens its timeouts.
  std::uint32_t health_penalty = 0;
  bool compare_tables = true;
};

/// Returns the ids of the \p count members that watch endpoint \p endpoint, the
/// first one publishing, by rendezvous hashing: when a member joins or leaves,
/// only the endpoints move that it watched or will watch. Each endpoint is
/// polled by a few routers, not by all: 420 routers polling 800 runners once a
/// second would be 336,000 calls a second.
std::vector<std::string> WatchersOf(const std::string& endpoint,
                                    const std::vector<Member>& present,
                                    std::size_t count);

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_MEMBERSHIP_MEMBERSHIP_H_
