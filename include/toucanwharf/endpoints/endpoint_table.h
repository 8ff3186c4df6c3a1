#ifndef TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_
#define TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "toucanwharf/endpoints/departures.h"
#include "toucanwharf/endpoints/endpoint.h"
#include "toucanwharf/store/revision.h"
#include "toucanwharf/support/clock.h"

/// The known endpoints, from their registrations in the store.
namespace toucanwharf::endpoints {

/// One instance's endpoints, for another instance.
struct EndpointListSnapshot {
  /// The store's list.
  std::vector<Endpoint> endpoints;
  /// Endpoints that are retained though the list lacks them.
  std::vector<Endpoint> retained;
  /// How much longer they are retained.
  Duration retained_for{0};
  /// Store's revision of the list that last changed anything.
  store::Revision revision;

  friend bool operator==(const EndpointListSnapshot&,
                         const EndpointListSnapshot&) = default;
};

/// The endpoints in use.
///
/// Failure guarded against: while the store is unavailable the entries of
/// endpoints expire, and when it returns its list is empty for a moment. A
/// router that applied that list would refuse everything. Entries that are
/// missing right after an outage are therefore retained for a grace period, in
/// which every live endpoint registers again. An entry that says that its
/// endpoint drains takes effect immediately (I5).
///
/// The grace period starts at the first confirmation that the store answers
/// again, whichever instance got it. An instance for which others read would
/// otherwise start it with its first list after the outage, and retain an
/// endpoint that left long after the store's return (I5). The period ends with
/// the first confirmation from after it, which may be a peer's report that the
/// list is unchanged; until then what is missing here may be back.
///
/// The store may also return from an older copy of itself, and begin a new
/// epoch. The copy lacks the endpoints that registered after it was made: they
/// are retained in the same way. What it has of endpoints that have drained or
/// gone since is corrected by what is known of them (see Departures).
///
/// Failed reads of this instance alone are no outage: its connection may hang
/// or its own link be congested while the store answers others. If such a
/// failure started the grace period, an endpoint whose entry was removed during
/// it would be used past the bound (I5). Entries expire only when the store has
/// been unavailable for several heartbeats, so if two of its answers, to any
/// instances, are closer than that, there is nothing to wait for.
/// Thread safety: none; for one thread.
class EndpointTable {
 public:
  /// \p grace is how long after the store's return an entry may be missing;
  /// \p min_outage_length is how long the store must be unavailable for entries
  /// to expire.
  EndpointTable(Duration grace, Duration min_outage_length)
      : outage_grace(grace),
        min_outage(min_outage_length),
        departures(min_outage_length * kHoldInOutages) {}

  /// Records that the store has returned from an older copy, as first seen at
  /// \p returned by any instance.
  void OnStoreReturned(TimePoint returned);

  /// Records that the store did not answer this instance.
  void OnStoreUnavailable(TimePoint now) { this->last_unavailable_at = now; }
  /// Records that the store answered a read that some instance began at
  /// \p read, whatever the result.
  void OnStoreAnswered(TimePoint read, TimePoint now);
  /// Records that the store answered a read of the list that began at \p read,
  /// of this instance or a peer, and that the list known here is as new. Drops
  /// the retained endpoints if the grace period was over at \p read. Returns
  /// whether that dropped any.
  bool Confirm(TimePoint read, TimePoint now);
  /// Applies the whole list, read from the store at \p revision by a read that
  /// began at \p read. Ignores a list older than one applied before. Returns
  /// whether anything changed.
  bool Replace(std::vector<Endpoint> newest_list,
               const store::Revision& revision, TimePoint read, TimePoint now);
  /// The same for a peer's snapshot. Its grace period continues here, unless
  /// one of this instance's own is running.
  bool Adopt(EndpointListSnapshot list, TimePoint now);

  /// Returns a snapshot for a peer.
  EndpointListSnapshot Share(TimePoint now) const;
  /// Returns the newest moment at which the list was confirmed to be current.
  std::optional<TimePoint> ConfirmedAt() const { return this->confirmed_at; }
  /// Returns the store's revision of the list, not set before the first.
  const store::Revision& Revision() const { return this->last_revision; }
  /// Returns the revision of the list that last changed anything.
  const store::Revision& ChangedRevision() const {
    return this->changed_revision;
  }
  /// Returns how many endpoints are retained though the newest list lacks them.
  std::size_t RetainedCount() const { return this->retained.size(); }
  /// Returns how many entries of the newest list are corrected by what is known
  /// from before the store's return.
  std::size_t CorrectedCount() const { return this->corrected; }
  /// Returns the endpoint \p id, or null.
  const Endpoint* Find(const std::string& id) const;
  /// Returns the endpoint whose EndpointKey is \p key, or null.
  const Endpoint* FindByKey(std::uint32_t key) const;
  /// Calls \p visit for each endpoint of \p service that may get new work.
  void ForEachReady(const std::string& service,
                    const std::function<void(const Endpoint&)>& visit) const;
  /// Returns all endpoints, by id.
  const EndpointsById& All() const { return this->by_id; }

 private:
  using ById = EndpointsById;

  /// Entries expire after three heartbeats, an outage counts from two.
  static constexpr int kHoldInOutages = 2;

  /// Returns whether the store has answered no instance for so long that
  /// entries may have expired.
  bool IsOutageInProgress() const {
    return this->last_unavailable_at &&
           (!this->answered_at ||
            *this->last_unavailable_at - *this->answered_at >=
                this->min_outage);
  }
  /// Returns whether entries of live endpoints may be missing.
  bool RetainsMissing() const {
    return this->IsOutageInProgress() ||
           this->confirmed_at.value_or(TimePoint{}) < this->retain_until;
  }
  /// Replaces the endpoints in use by \p next.
  void SetInUse(ById next);
  /// Records that the list known here was the store's at \p read.
  void RecordRead(TimePoint read, TimePoint now);
  /// Replaces the endpoints in use by \p next, the list of \p revision, and
  /// those of \p known that it lacks and that are to be retained. Returns
  /// whether anything changed.
  bool ApplyList(ById next, const ById& known, const store::Revision& revision,
                 TimePoint now);
  /// Computes the endpoints in use anew from the newest list and from those of
  /// \p known that are to be retained. Returns whether they changed.
  bool UpdateInUse(const ById& known, TimePoint now);

  Duration outage_grace;
  Duration min_outage;
  /// When the store last didn't answer; unset once it is confirmed to answer
  /// again.
  std::optional<TimePoint> last_unavailable_at;
  TimePoint retain_until;
  /// Start of the latest read that the store is known to have answered.
  std::optional<TimePoint> answered_at;
  std::optional<TimePoint> confirmed_at;
  store::Revision last_revision;
  store::Revision changed_revision;
  /// The newest list.
  ById listed;
  Departures departures;
  std::size_t corrected = 0;
  /// The corrected list and the retained endpoints.
  ById by_id;
  /// Ids in by_id, by key.
  std::unordered_map<std::uint32_t, std::string> ids_by_key;
  std::set<std::string> retained;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_
