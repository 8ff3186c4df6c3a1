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

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/store/revision.h"
#include "toucanwharf/support/clock.h"

/// The known endpoints, from their registrations in the store.
namespace toucanwharf::endpoints {

enum class EndpointState { kReady, kDraining };

/// One endpoint as it registered itself.
struct Endpoint {
  std::string id;
  /// Start time in milliseconds since 1970. An endpoint with the same id and
  /// another start time has no state from before.
  std::uint64_t start_time_ms = 0;
  std::string service;
  /// "IP:PORT"; may have belonged to another endpoint before.
  std::string address;
  std::string failure_domain;
  /// Requests that it runs concurrently.
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  /// Kind of accelerator; empty for a plain service.
  std::string kind;
  /// Layers loaded; empty for none.
  pipeline::LayerRange layers;
  /// Orders started since its start.
  std::uint64_t sequence = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Returns a number that stands for this start of \p endpoint in messages
/// between instances; a restart under the same id has another one. The
/// probability that two of a thousand endpoints share a number is one in ten
/// thousand.
/// Thread safety: safe.
std::uint32_t EndpointKey(const Endpoint& endpoint);

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
      : outage_grace(grace), min_outage(min_outage_length) {}

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
  bool Replace(std::vector<Endpoint> listed, const store::Revision& revision,
               TimePoint read, TimePoint now);
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
  /// Returns the endpoint \p id, or null.
  const Endpoint* Find(const std::string& id) const;
  /// Returns the endpoint whose EndpointKey is \p key, or null.
  const Endpoint* FindByKey(std::uint32_t key) const;
  /// Calls \p visit for each endpoint of \p service that may get new work.
  void ForEachReady(const std::string& service,
                    const std::function<void(const Endpoint&)>& visit) const;
  /// Returns all endpoints, by id.
  const std::map<std::string, Endpoint>& All() const { return this->by_id; }

 private:
  using ById = std::map<std::string, Endpoint>;

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
  bool ApplyList(ById next, const ById& known, const store::Revision& revision);

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
  /// The list and the retained endpoints.
  ById by_id;
  /// Ids in by_id, by key.
  std::unordered_map<std::uint32_t, std::string> ids_by_key;
  std::set<std::string> retained;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_
