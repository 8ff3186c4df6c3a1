#ifndef TOUCANWHARF_INSTANCE_QUARANTINE_SYNC_H_
#define TOUCANWHARF_INSTANCE_QUARANTINE_SYNC_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/suspect_record.h"

namespace toucanwharf::instance {

/// Keeps the requests in quarantine in the store, so that they stay refused
/// when all instances restart, and so that operators can see them and lift the
/// quarantine by removing an object. Owned by Instance.
///
/// Load: every instance reads the collection once, at its start. Only requests
/// that are refused are written, by the instance that saw the crash or by the
/// leader, and only the leader reads again, while there are any.
///
/// Failure guarded against: the store returns from an older copy, and what it
/// lost or brought back counts as an operator's order. Objects that the copy
/// lacks are written again, and those that were removed since are removed
/// again.
/// Thread safety: only on the loop's thread.
template <Adapter A>
class QuarantineSync {
 public:
  using Store = typename A::Store;

  /// Precondition: all references outlive the object.
  QuarantineSync(http::Loop& event_loop, Store& object_store,
                 InstanceState& shared_state, eventlog::Logger& log,
                 std::string instance_name,
                 Duration period_of_leader = kFollowPeriod)
      : loop(event_loop),
        store(object_store),
        state(shared_state),
        logger(log),
        name(std::move(instance_name)),
        follow_period(period_of_leader) {}

  /// Reads the collection, and begins to follow it while this instance leads.
  void Start() {
    this->ReadInitially();
    this->loop.Every(this->follow_period, [this] { this->Follow(); });
  }

  /// Stores \p request if it is refused since its last crash.
  void OnCrash(const quarantine::Fingerprint& request) {
    if (this->IsRefused(request)) this->Write(request);
  }

  /// Removes \p request, which was answered, from the store.
  void OnCleared(const quarantine::Fingerprint& request) {
    if (this->stored.erase(request) > 0) this->Remove(request);
  }

 private:
  /// Removal of an object, in an epoch of the store.
  struct Removal {
    std::uint64_t epoch = 0;
    TimePoint at;
  };

  static constexpr Duration kFollowPeriod = std::chrono::seconds(10);
  static constexpr Duration kRetryDelay = std::chrono::seconds(1);

  static store::ObjectKey KeyOf(const quarantine::Fingerprint& request) {
    return {A::QuarantineCollection(), quarantine::ToText(request)};
  }

  bool IsRefused(const quarantine::Fingerprint& request) const {
    return this->state.quarantine.Judge(request, this->loop.Now()).has_value();
  }

  void ReadInitially() {
    this->Read([this](const std::optional<store::Listing>& listing) {
      if (listing) {
        this->state.quarantine_known = true;
        return;
      }
      this->loop.After(kRetryDelay, [this] { this->ReadInitially(); });
    });
  }

  /// Writes the refused requests that are not stored yet, and lifts the
  /// quarantine of those that an operator has removed.
  void Follow() {
    const bool idle = this->state.quarantine.Empty() && this->stored.empty();
    if (idle) return;
    this->ForgetRemovals();
    if (!this->state.leads) {
      this->ForgetExpired();
      return;
    }
    this->Read([this](const std::optional<store::Listing>& listing) {
      const bool outdated =
          listing && listing->revision.epoch < this->listed_epoch;
      if (!listing || outdated) return;
      if (!this->ForgetIfReturned(*listing)) this->LiftRemoved(*listing);
      this->RemoveEnded();
      this->WriteMissing();
    });
  }

  void Read(std::function<void(const std::optional<store::Listing>&)> done) {
    this->store.List(
        A::QuarantineCollection(),
        [this, done](const std::optional<store::Listing>& listing) {
          if (listing) this->Apply(*listing);
          done(listing);
        });
  }

  void Apply(const store::Listing& listing) {
    const TimePoint now = this->loop.Now();
    for (const store::Object& object : listing.objects) {
      const auto report = SuspectRecordFromText(object.key.name, object.value);
      if (!report) {
        this->Log("quarantine_unreadable", object.key.name);
        continue;
      }
      if (this->WasRemoved(report->suspect, listing.revision.epoch)) {
        this->store.Remove(object.key);
        continue;
      }
      if (!this->stored.insert(report->suspect).second) continue;
      if (this->state.quarantine.Merge(*report, now)) {
        this->Log("quarantine_read", object.key.name);
      }
    }
  }

  /// Forgets what is stored if \p listing is the first after the store's return
  /// from an older copy, so that what it lacks is written again. Returns
  /// whether it is.
  bool ForgetIfReturned(const store::Listing& listing) {
    const std::uint64_t epoch = listing.revision.epoch;
    const std::uint64_t previous = std::exchange(this->listed_epoch, epoch);
    if (previous == 0 || epoch <= previous) return false;
    std::set<std::string> names;
    for (const store::Object& object : listing.objects) {
      names.insert(object.key.name);
    }
    std::erase_if(this->stored, [&](const quarantine::Fingerprint& request) {
      return !names.contains(quarantine::ToText(request));
    });
    return true;
  }

  void ForgetRemovals() {
    const TimePoint now = this->loop.Now();
    std::erase_if(this->removed, [now](const auto& entry) {
      return now - entry.second.at > store::kMaxCopyAge;
    });
  }

  void Remove(const quarantine::Fingerprint& request) {
    this->removed[request] = {this->state.epochs.Epoch().value_or(0),
                              this->loop.Now()};
    this->store.Remove(KeyOf(request));
  }

  /// Returns whether the object of \p request was removed before \p epoch.
  bool WasRemoved(const quarantine::Fingerprint& request,
                  std::uint64_t epoch) const {
    const auto found = this->removed.find(request);
    return found != this->removed.end() && found->second.epoch < epoch;
  }

  void LiftRemoved(const store::Listing& listing) {
    std::set<std::string> names;
    for (const store::Object& object : listing.objects) {
      names.insert(object.key.name);
    }
    std::erase_if(this->stored, [&](const quarantine::Fingerprint& request) {
      const std::string text = quarantine::ToText(request);
      if (names.contains(text) || this->writing.contains(request)) return false;
      if (this->state.quarantine.OnSuccess(request, this->loop.Now())) {
        this->Log("quarantine_lifted", text);
      }
      this->removed[request] = {listing.revision.epoch, this->loop.Now()};
      return true;
    });
  }

  /// Forgets objects that the leader has removed long ago.
  void ForgetExpired() {
    const TimePoint now = this->loop.Now();
    std::erase_if(this->stored, [&](const quarantine::Fingerprint& request) {
      return this->state.quarantine.ReportOf(request, now).crashes.empty();
    });
  }

  /// Removes the objects of requests whose crashes are forgotten or refuted;
  /// the instance that refuted them may not know of the object.
  void RemoveEnded() {
    const TimePoint now = this->loop.Now();
    std::erase_if(this->stored, [&](const quarantine::Fingerprint& request) {
      const auto report = this->state.quarantine.ReportOf(request, now);
      const bool ended = std::all_of(
          report.crashes.begin(), report.crashes.end(),
          [](const quarantine::CrashReport& crash) { return crash.refuted; });
      if (ended) this->Remove(request);
      return ended;
    });
  }

  void WriteMissing() {
    for (const auto& report :
         this->state.quarantine.Reports(this->loop.Now())) {
      const bool missing = !this->stored.contains(report.suspect);
      if (missing && this->IsRefused(report.suspect)) {
        this->Write(report.suspect);
      }
    }
  }

  void Write(const quarantine::Fingerprint& request) {
    if (!this->writing.insert(request).second) return;
    this->removed.erase(request);
    this->WriteOver(request, {});
  }

  /// Writes \p request over the object of \p version, if that is set.
  void WriteOver(const quarantine::Fingerprint& request,
                 const store::Revision& version) {
    store::Write write;
    write.key = KeyOf(request);
    write.writer = this->state.instance;
    write.if_version = version;
    write.value = SuspectRecordToText(
        this->state.quarantine.ReportOf(request, this->loop.Now()), this->name);
    this->store.Write(write, [this, request, version](const auto& answer) {
      this->OnWritten(request, version, answer);
    });
  }

  void OnWritten(const quarantine::Fingerprint& request,
                 const store::Revision& version,
                 const store::WriteAnswer& answer) {
    const bool conflict = answer.status == store::WriteStatus::kConflict;
    if (conflict && !version.IsSet() && answer.version.IsSet()) {
      // An object with earlier crashes. After a second conflict it is one that
      // another instance has just written.
      this->WriteOver(request, answer.version);
      return;
    }
    this->writing.erase(request);
    if (answer.status != store::WriteStatus::kUnknown) {
      this->stored.insert(request);
      return;
    }
    this->Log("quarantine_not_written", quarantine::ToText(request));
    this->loop.After(kRetryDelay, [this, request] { this->OnCrash(request); });
  }

  void Log(std::string_view event, const std::string& content) {
    this->logger.Write(eventlog::Level::kNotable, event,
                       eventlog::Fields().Text("content", content),
                       this->loop.Now());
  }

  http::Loop& loop;
  Store& store;
  InstanceState& state;
  eventlog::Logger& logger;
  std::string name;
  Duration follow_period;
  /// Requests that are known to be in the store.
  std::set<quarantine::Fingerprint> stored;
  /// Requests with a write in flight.
  std::set<quarantine::Fingerprint> writing;
  /// Objects that were removed lately.
  std::map<quarantine::Fingerprint, Removal> removed;
  /// Epoch of the newest listing, 0 before the first.
  std::uint64_t listed_epoch = 0;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_QUARANTINE_SYNC_H_
