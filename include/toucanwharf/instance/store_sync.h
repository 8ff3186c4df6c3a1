#ifndef TOUCANWHARF_INSTANCE_STORE_SYNC_H_
#define TOUCANWHARF_INSTANCE_STORE_SYNC_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/gossip/initial_read_policy.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/endpoint_list_log.h"
#include "toucanwharf/instance/instance_state.h"

namespace toucanwharf::instance {

/// Times of the reads, with the reason of each.
struct StoreSyncTimes {
  /// \p configuration is how soon a change must be in force everywhere.
  explicit StoreSyncTimes(Duration configuration)
      : reader_period(configuration * 13 / 40),
        reader_period_large(configuration / 8),
        backup_leader_confirmation(configuration * 3 / 10),
        oldest_proof(configuration * 6 / 10) {}

  /// Returns how often the instance that places layers reads, which vouches to
  /// \p others.
  Duration ReaderPeriod(bool large) const {
    return large ? this->reader_period_large : this->reader_period;
  }
  /// Returns after how long without an answer of the store an instance that
  /// hears the leader asks again, one of \p instances: all of them together ask
  /// forty times a second, however many there are, while the leader asks on and
  /// tells them of the store's return.
  Duration FollowerBackoff(std::size_t instances) const {
    return this->follower_turn * static_cast<std::int64_t>(instances);
  }

  /// The instance that places layers reads this often, and vouches to the
  /// others.
  Duration reader_period;
  /// The same in a large fleet, whose others hear of it twice a second: two of
  /// its messages in a row may be lost before they read for themselves.
  Duration reader_period_large;
  /// A backup leader whose newest proof is older than this reads: the leader
  /// has probably gone, and the others go by the backup leader's word before
  /// their own proofs get too old.
  Duration backup_leader_confirmation;
  Duration follower_turn = std::chrono::milliseconds(25);
  /// An instance whose newest proof is older than this reads for itself. The
  /// reader's period and the beacons both ways stay below it; with the read it
  /// stays below the bound also when the reader dies.
  Duration oldest_proof;
  /// Between looks at the clock, and between tries while the store is away.
  Duration look_period = std::chrono::milliseconds(100);
  Duration away_period = std::chrono::milliseconds(300);
};

/// Keeps the configuration and the list of endpoints as the store has them.
///
/// Load that it answers: every instance reading for itself costs a call each
/// second for each instance, and all of them at once when the store returns.
/// One reads and tells the others; those that it can't reach, or that have
/// waited too long, read for themselves. Reads rather than watches: a watch
/// that waits proves nothing, may have lost its connection without a sign, and
/// misses changes whose history is gone.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class StoreSync {
 public:
  using Store = typename A::Store;

  /// Precondition: all references outlive the object.
  StoreSync(http::Loop& event_loop, Store& object_store,
            InstanceState& shared_state, eventlog::Logger& log,
            EndpointListLog& list_log, std::function<void()> on_change,
            const StoreSyncTimes& chosen,
            const gossip::InitialReadPolicy& at_start)
      : loop(event_loop),
        store(object_store),
        state(shared_state),
        logger(log),
        lists(list_log),
        changed(std::move(on_change)),
        times(chosen),
        first_read(at_start) {}

  /// Begins to read.
  void Start() {
    this->Look();
    this->loop.Every(this->times.look_period, [this] { this->Look(); });
  }

  /// Puts \p text of the store's \p revision into force unless what is in
  /// force is as new. A text that is no configuration is dropped.
  void Adopt(std::uint64_t revision, const std::string& text) {
    if (revision <= this->state.configuration_revision) return;
    const TimePoint now = this->loop.Now();
    eventlog::Fields fields;
    fields.Count("revision", static_cast<std::int64_t>(revision));
    auto read = A::ToConfiguration(text);
    if (!read) {
      this->logger.Write(eventlog::Level::kNotable, "configuration_unreadable",
                         fields, now);
      return;
    }
    fields.Count("version", static_cast<std::int64_t>(read->version));
    this->state.table =
        std::make_shared<const routes::RouteTable>(std::move(*read));
    this->state.configuration_revision = revision;
    this->state.configuration_text = text;
    this->logger.Write(eventlog::Level::kNotable, "configuration_in_force",
                       fields, now);
    this->changed();
  }

 private:
  void Look() {
    const TimePoint now = this->loop.Now();
    const bool large = this->state.peers.IsLargeFleet(now);
    const Duration period = this->Period(large);
    const auto age = this->state.freshness.Age(now);
    const bool may_begin = this->MayReadFirst(now);
    if (!this->reading_configuration && (age || may_begin) &&
        this->Due(age, period, this->configuration_asked, now)) {
      this->LogOwnRead("configuration", age, now);
      this->ReadConfiguration();
    }
    std::optional<Duration> list_age;
    if (const auto confirmed = this->state.endpoints.ConfirmedAt()) {
      list_age = now - *confirmed;
    }
    // While the store is away one question at a time looks for its return.
    if (this->store_answers && !this->listing_endpoints &&
        (list_age || may_begin) &&
        this->Due(list_age, period, this->endpoints_asked, now)) {
      this->LogOwnRead("endpoints", list_age, now);
      this->ListEndpoints();
    }
  }

  /// Returns whether to read what was never proved here.
  bool MayReadFirst(TimePoint now) const {
    std::optional<std::size_t> instances;
    if (this->state.knows_instances) {
      instances = this->state.peers.InstanceCount(now);
    }
    return this->first_read.MayRead(instances, now);
  }

  /// Returns how old the newest proof may be.
  Duration Period(bool large) const {
    if (this->state.leads) return this->times.ReaderPeriod(large);
    const bool is_backup_leader = large && this->state.is_backup_leader;
    return is_backup_leader ? this->times.backup_leader_confirmation
                            : this->times.oldest_proof;
  }

  bool Due(const std::optional<Duration>& age, Duration period, TimePoint asked,
           TimePoint now) const {
    const bool waits = !this->store_answers || this->no_configuration;
    const Duration pause = waits ? this->Backoff(now) : this->times.away_period;
    if (now - asked < pause) return false;
    return !age || *age >= period;
  }

  /// Writes that this instance has to read for itself though another reads.
  void LogOwnRead(std::string_view what, const std::optional<Duration>& age,
                  TimePoint now) {
    if (this->state.leads) return;
    eventlog::Fields fields;
    fields.Text("what", what);
    if (age) fields.Millis("proof_age_ms", *age);
    this->logger.Write(eventlog::Level::kRoutine, "own_read", fields, now);
  }

  /// Grows with each failure up to a bound that leaves a change enough time to
  /// be in force in time after the store's return. In a large fleet those that
  /// hear the leader leave most of the asking to it, and so do all at a first
  /// start, when the operator has written nothing yet.
  Duration Backoff(TimePoint now) const {
    constexpr int kMostDoublings = 2;
    const Duration own = this->times.away_period *
                         (1 << std::min(this->failures, kMostDoublings));
    if (!this->state.peers.IsLargeFleet(now) || this->state.leads) return own;
    // Where the leader or a backup leader has read lately, the store is up, and
    // only this instance's reads fail: it must go on, or it would use endpoints
    // that have left (I5).
    const auto coordinators = this->state.peers.CoordinatorConfirmationAge(
        this->state.backup_leaders, now);
    const bool outage =
        coordinators && *coordinators > this->times.reader_period_large * 3;
    // A process that has no configuration yet uses no endpoints. Where all have
    // just started and the store can't serve them at once, hundreds that ask on
    // would keep it from serving any; whoever gets an answer tells the others.
    const bool serves = this->state.configuration_revision > 0;
    if (serves && !outage) return own;
    return std::max(
        own, this->times.FollowerBackoff(this->state.peers.InstanceCount(now)));
  }

  void ReadConfiguration() {
    const TimePoint begun = this->loop.Now();
    this->configuration_asked = begun;
    this->reading_configuration = true;
    this->store.Read(A::ConfigurationKey(),
                     [this, begun](const store::ReadAnswer& answer) {
                       this->OnConfiguration(answer, begun);
                     });
  }

  void OnConfiguration(const store::ReadAnswer& answer, TimePoint begun) {
    this->reading_configuration = false;
    this->NoteStore(answer.status != store::ReadStatus::kUnknown);
    this->no_configuration = answer.status == store::ReadStatus::kMissing;
    if (answer.status != store::ReadStatus::kFound) return;
    // An answer that was overtaken by a newer one proves nothing of now.
    if (answer.object.version < this->state.configuration_revision) return;
    this->Adopt(answer.object.version, answer.object.value);
    if (this->state.configuration_revision == answer.object.version) {
      this->state.freshness.Confirm(begun);
    }
  }

  void ListEndpoints() {
    const TimePoint begun = this->loop.Now();
    this->endpoints_asked = begun;
    this->listing_endpoints = true;
    this->store.List(A::EndpointCollection(),
                     [this, begun](const std::optional<store::Listing>& list) {
                       this->OnEndpoints(list, begun);
                     });
  }

  void OnEndpoints(const std::optional<store::Listing>& list, TimePoint begun) {
    this->listing_endpoints = false;
    this->NoteStore(list.has_value());
    if (!list) return;
    std::vector<endpoints::Endpoint> read;
    std::int64_t unreadable = 0;
    for (const store::Object& object : list->objects) {
      auto endpoint = A::ToEndpoint(object);
      if (endpoint) {
        read.push_back(std::move(*endpoint));
      } else {
        ++unreadable;
      }
    }
    const TimePoint now = this->loop.Now();
    const bool new_list = this->state.endpoints.Replace(
        std::move(read), list->revision, begun, now);
    this->lists.OnList(this->state.endpoints, ListCause::kStore, new_list,
                       unreadable, now);
    if (new_list) this->changed();
  }

  void NoteStore(bool answered) {
    if (!answered) this->state.endpoints.OnStoreUnavailable(this->loop.Now());
    this->failures = answered ? 0 : this->failures + 1;
    if (std::exchange(this->store_answers, answered) == answered) return;
    this->logger.Write(eventlog::Level::kNotable,
                       answered ? "store_regained" : "store_lost",
                       eventlog::Fields(), this->loop.Now());
  }

  http::Loop& loop;
  Store& store;
  InstanceState& state;
  eventlog::Logger& logger;
  EndpointListLog& lists;
  std::function<void()> changed;
  StoreSyncTimes times;
  gossip::InitialReadPolicy first_read;
  /// Long ago: the first reads needn't wait.
  TimePoint configuration_asked{Duration(-1'000'000'000)};
  TimePoint endpoints_asked{Duration(-1'000'000'000)};
  /// A read is under way. A second one beside it would take the bytes that the
  /// first waits for.
  bool reading_configuration = false;
  bool listing_endpoints = false;
  bool store_answers = true;
  /// The operator has not written any yet.
  bool no_configuration = false;
  int failures = 0;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_STORE_SYNC_H_
