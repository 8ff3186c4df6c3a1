#ifndef TOUCANWHARF_INSTANCE_PLACEMENT_LEASE_H_
#define TOUCANWHARF_INSTANCE_PLACEMENT_LEASE_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>

#include "toucanwharf/control/lease.h"
#include "toucanwharf/gossip/election_policy.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {

/// Acquires and renews the placement lease in the store. Any instance may hold
/// it; another takes over when its holder is lost. Owned by PlacementDriver.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class PlacementLease {
 public:
  using Store = typename A::Store;

  /// Precondition: all references outlive the lease.
  PlacementLease(http::Loop& event_loop, Store& object_store,
                 InstanceState& shared_state, const InstanceSettings& settings)
      : loop(event_loop),
        store(object_store),
        state(shared_state),
        processor_share(settings.processor_share),
        callers_address(settings.callers_address),
        election_policy(settings.processor_share, event_loop.Now()),
        lease(MakeLeaseSettings(shared_state.instance, settings),
              HashText(shared_state.instance)) {}

  /// Returns whether this instance holds the lease at \p now.
  bool MayAct(TimePoint now) const { return this->lease.MayAct(now); }
  std::uint64_t Fence() const { return this->lease.Fence(); }

  /// Releases the lease, so that another instance takes over immediately.
  void Release() {
    this->lease.Release();
    this->state.leads = false;
    this->Poll();
  }

  /// Makes the next call for the lease, if one is due.
  void Poll() {
    const TimePoint now = this->loop.Now();
    // The epoch may be known from another call, or from a peer.
    if (const auto& epoch = this->state.epochs.Epoch()) {
      this->lease.OnEpoch(*epoch, now);
    }
    // A backup leader polls the lease continuously: a challenger has to see it
    // unchanged for a whole term, and has then already done so when the leader
    // is lost.
    const bool may_attempt =
        this->state.is_backup_leader ||
        this->election_policy.MayAttempt(!this->AnotherLeads(now),
                                         this->CandidatesAhead(now), now);
    // The release of a lease must complete, whoever else leads by now.
    const bool stopping = this->state.stopping_since.has_value();
    const bool yields = this->YieldIfIsolated(now);
    if (!this->state.leads && !may_attempt && !stopping && !yields) return;
    if (now < this->pause_until) return;
    auto call = this->lease.Poll(now);
    if (!call) return;
    if (const auto* key = std::get_if<store::ObjectKey>(&*call)) {
      this->store.Read(*key, [this](const store::ReadAnswer& answer) {
        this->RecordAnswer(answer.status != store::ReadStatus::kUnknown);
        this->lease.OnRead(answer, this->loop.Now());
        this->Poll();
      });
      return;
    }
    this->store.Write(
        std::get<store::Write>(*call),
        [this](const store::WriteAnswer& answer) {
          this->RecordAnswer(answer.status != store::WriteStatus::kUnknown);
          this->lease.OnWrite(answer, this->loop.Now());
          if (answer.status != store::WriteStatus::kWritten) {
            this->Poll();
          }
        });
  }

 private:
  /// Releases the lease while other instances reach endpoints and this one
  /// doesn't. Returns whether that is so.
  ///
  /// Failure guarded against: the holder can't reach any engine, gives orders
  /// that nobody gets, and nobody else may.
  bool YieldIfIsolated(TimePoint now) {
    const bool yields = this->state.paths.IsIsolatedFor(kYieldAfter, now) &&
                        this->state.OnlyOthersReachEndpoints(now);
    if (std::exchange(this->yielding, yields) == yields) return yields;
    if (yields) {
      this->lease.Release();
    } else if (!this->state.stopping_since) {
      this->lease.Compete();
    }
    return yields;
  }

  /// A new holder asks all engines anew; a link that comes and goes isn't worth
  /// it.
  static constexpr Duration kYieldAfter = std::chrono::milliseconds(700);
  /// Between calls after one without an answer.
  static constexpr Duration kPause = std::chrono::milliseconds(600);
  /// Per instance of a large fleet: all together make forty calls a second.
  static constexpr Duration kPausePerInstance = std::chrono::milliseconds(25);

  static control::LeaseSettings MakeLeaseSettings(
      const std::string& holder, const InstanceSettings& instance) {
    control::LeaseSettings settings;
    settings.role = "placement";
    settings.holder = holder;
    if (instance.mechanisms.quick_takeover) settings.node = instance.name;
    // The next layout of a cover replaces an engine that died, and must come
    // within seconds even if the leader died with the engine.
    settings.term = std::chrono::milliseconds(3000);
    settings.margin = std::chrono::milliseconds(300);
    settings.renewal = std::chrono::milliseconds(1200);
    return settings;
  }

  /// A known leader makes it unnecessary to poll the lease.
  bool AnotherLeads(TimePoint now) const {
    return !this->state.peers.Leader(now).empty();
  }

  /// Returns how many instances attempt the lease before this one. The backup
  /// leaders go first, since they receive the same beacons as the leader; the
  /// others follow seconds later.
  std::size_t CandidatesAhead(TimePoint now) const {
    constexpr std::size_t kBehindBackupLeaders = 24;
    const std::size_t ahead = this->state.peers.CandidatesAhead(
        this->processor_share, this->callers_address, now);
    const bool backup_leaders_first = this->state.ready_list.IsCurrent(now);
    return backup_leaders_first ? ahead + kBehindBackupLeaders : ahead;
  }

  /// An unavailable store refuses within a millisecond; retrying immediately
  /// would cause thousands of calls in an outage, from every instance that
  /// attempts to lead.
  void RecordAnswer(bool answered) {
    if (answered) return;
    const TimePoint now = this->loop.Now();
    const gossip::PeerTable& known = this->state.peers;
    const bool shares_attempts =
        known.IsLargeFleet(now) && !this->state.is_backup_leader;
    const Duration pause =
        shares_attempts
            ? kPausePerInstance *
                  static_cast<std::int64_t>(known.InstanceCount(now))
            : kPause;
    this->pause_until = now + std::max(pause, kPause);
  }

  http::Loop& loop;
  Store& store;
  InstanceState& state;
  double processor_share;
  std::string callers_address;
  gossip::ElectionPolicy election_policy;
  control::Lease lease;
  TimePoint pause_until;
  bool yielding = false;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_PLACEMENT_LEASE_H_
