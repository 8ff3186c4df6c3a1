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
#include "toucanwharf/instance/configuration_in_force.h"
#include "toucanwharf/instance/endpoint_list_log.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/store_sync_times.h"

namespace toucanwharf::instance {

/// Keeps the configuration and the list of endpoints in sync with the store.
/// Owned by Instance.
///
/// Load: if every instance read for itself, each would cost a call a second,
/// and all would read concurrently when the store returns. Therefore one reads
/// and its beacons confirm the result to the others; those that it cannot
/// reach, or that have waited too long, read for themselves. It reads rather
/// than watches: a pending watch confirms nothing, may have lost its connection
/// unnoticed, and misses changes whose history is compacted.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class StoreSync {
 public:
  using Store = typename A::Store;

  /// Precondition: all references outlive the object.
  StoreSync(http::Loop& event_loop, Store& object_store,
            InstanceState& shared_state, eventlog::Logger& log,
            EndpointListLog& list_log, ConfigurationInForce& in_force,
            std::function<void()> on_change, const StoreSyncTimes& sync_times,
            const gossip::InitialReadPolicy& at_start)
      : loop(event_loop),
        store(object_store),
        state(shared_state),
        logger(log),
        endpoint_log(list_log),
        configuration(in_force),
        changed(std::move(on_change)),
        times(sync_times),
        initial_read(at_start) {}

  /// Begins to read.
  void Start() {
    this->Poll();
    this->loop.Every(this->times.poll_period, [this] { this->Poll(); });
  }

 private:
  void Poll() {
    const TimePoint now = this->loop.Now();
    const bool large = this->state.peers.IsLargeFleet(now);
    const Duration period = this->Period(large);
    const auto age = this->state.freshness.Age(now);
    const bool may_begin = this->MayReadInitially(now);
    if (!this->reading_configuration && (age || may_begin) &&
        this->Due(age, period, this->configuration_requested, now)) {
      this->LogLocalRead("configuration", age, now);
      this->ReadConfiguration();
    }
    std::optional<Duration> list_age;
    if (const auto confirmed = this->state.endpoints.ConfirmedAt()) {
      list_age = now - *confirmed;
    }
    // While the store is unavailable, a single read at a time detects its
    // return.
    if (this->store_answers && !this->listing_endpoints &&
        (list_age || may_begin) &&
        this->Due(list_age, period, this->endpoints_requested, now)) {
      this->LogLocalRead("endpoints", list_age, now);
      this->ListEndpoints();
    }
  }

  /// Returns whether to read before the first confirmation.
  bool MayReadInitially(TimePoint now) const {
    std::optional<std::size_t> instances;
    if (this->state.instances_known) {
      instances = this->state.peers.InstanceCount(now);
    }
    return this->initial_read.MayRead(instances, now);
  }

  /// Returns how old the newest confirmation may be.
  Duration Period(bool large) const {
    if (this->state.leads) return this->times.ReaderPeriod(large);
    const bool is_backup_leader = large && this->state.is_backup_leader;
    return is_backup_leader ? this->times.backup_leader_confirmation
                            : this->times.max_confirmation_age;
  }

  bool Due(const std::optional<Duration>& age, Duration period,
           TimePoint requested_at, TimePoint now) const {
    const Duration pause = this->Pause(period, requested_at, now);
    if (now - requested_at < pause) return false;
    return !age || *age >= period;
  }

  /// Returns the delay after the read at \p requested_at, whose result is older
  /// than \p period.
  Duration Pause(Duration period, TimePoint requested_at, TimePoint now) const {
    const bool backs_off = !this->store_answers || this->no_configuration;
    if (backs_off) return this->Backoff(now);
    const store::EpochClock& epochs = this->state.epochs;
    const bool just_started = !epochs.Age(now);
    if (just_started) {
      const bool may_confirm =
          !epochs.IsSettled(requested_at) && epochs.IsSettled(now);
      return may_confirm ? Duration(0) : this->times.retry_period;
    }
    const bool large = this->state.peers.IsLargeFleet(now);
    const bool follows_leader = large && !this->state.leads;
    // The leader's first confirmation reaches the others before they read.
    const Duration lead = follows_leader ? period : Duration(0);
    if (epochs.IsSettled(requested_at)) return this->times.retry_period;
    if (epochs.IsSettled(now - lead)) return Duration(0);
    // What reads can't confirm yet is no reason for more of them.
    return follows_leader ? period : this->times.reader_period;
  }

  /// Logs that this instance reads for itself although it is not the leader.
  void LogLocalRead(std::string_view subject,
                    const std::optional<Duration>& age, TimePoint now) {
    if (this->state.leads) return;
    eventlog::Fields fields;
    fields.Text("what", subject);
    if (age) fields.Millis("proof_age_ms", *age);
    this->logger.Write(eventlog::Level::kRoutine, "own_read", fields, now);
  }

  /// Returns the delay before the next attempt. It grows with each failure up
  /// to a bound that lets a change come into force in time after the store's
  /// return. In a large fleet, followers that receive the leader's beacons
  /// leave most of the attempts to the leader; so do all instances at a first
  /// start, when the operator has not written a configuration yet.
  Duration Backoff(TimePoint now) const {
    constexpr int kMaxDoublings = 2;
    const Duration base = this->times.retry_period *
                          (1 << std::min(this->failures, kMaxDoublings));
    if (!this->state.peers.IsLargeFleet(now) || this->state.leads) return base;
    // If the leader or a backup leader has read recently, the store is
    // available, and only this instance's reads fail: it must keep trying, or
    // it would use endpoints that have departed (I5).
    const auto confirmation_age = this->state.peers.CoordinatorConfirmationAge(
        this->state.backup_leaders, now);
    const bool outage = confirmation_age &&
                        *confirmation_age > this->times.reader_period_large * 3;
    // A process without a configuration uses no endpoints. If all have just
    // started and the store cannot serve them concurrently, hundreds of retries
    // would keep it from serving any; an instance that gets an answer announces
    // it to the others.
    const bool has_configuration = this->state.route_table != nullptr;
    if (has_configuration && !outage) return base;
    return std::max(base, this->times.FollowerBackoff(
                              this->state.peers.InstanceCount(now)));
  }

  void ReadConfiguration() {
    const TimePoint begun = this->loop.Now();
    this->configuration_requested = begun;
    this->reading_configuration = true;
    this->store.Read(A::ConfigurationKey(),
                     [this, begun](const store::ReadAnswer& answer) {
                       this->OnConfiguration(answer, begun);
                     });
  }

  void OnConfiguration(const store::ReadAnswer& answer, TimePoint begun) {
    this->reading_configuration = false;
    const bool answered = answer.status != store::ReadStatus::kUnknown;
    this->RecordStoreAnswer(answered);
    this->no_configuration = answer.status == store::ReadStatus::kMissing;
    if (!answered) return;
    if (this->no_configuration) return;
    this->configuration.OnRead(answer.object, begun, this->loop.Now());
  }

  void ListEndpoints() {
    const TimePoint begun = this->loop.Now();
    this->endpoints_requested = begun;
    this->listing_endpoints = true;
    this->store.List(A::EndpointCollection(),
                     [this, begun](const std::optional<store::Listing>& list) {
                       this->OnEndpoints(list, begun);
                     });
  }

  void OnEndpoints(const std::optional<store::Listing>& list, TimePoint begun) {
    this->listing_endpoints = false;
    this->RecordStoreAnswer(list.has_value());
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
    if (list->revision < this->state.endpoints.Revision()) {
      ++this->state.older_store_answers;
    }
    const bool new_list = this->state.endpoints.Replace(
        std::move(read), list->revision, begun, now);
    this->endpoint_log.OnList(this->state.endpoints, ListCause::kStore,
                              new_list, unreadable, now);
    if (new_list) this->changed();
  }

  void RecordStoreAnswer(bool answered) {
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
  EndpointListLog& endpoint_log;
  ConfigurationInForce& configuration;
  std::function<void()> changed;
  StoreSyncTimes times;
  gossip::InitialReadPolicy initial_read;
  /// Far in the past, so that the first reads start immediately.
  TimePoint configuration_requested{Duration(-1'000'000'000)};
  TimePoint endpoints_requested{Duration(-1'000'000'000)};
  /// Whether a read is in progress. A second concurrent one would compete with
  /// it for bandwidth.
  bool reading_configuration = false;
  bool listing_endpoints = false;
  bool store_answers = true;
  /// The operator has not written a configuration yet.
  bool no_configuration = false;
  int failures = 0;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_STORE_SYNC_H_
