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
#include "toucanwharf/support/clock.h"

/// Which endpoints there are, from what they register in the store.
namespace toucanwharf::endpoints {

enum class EndpointState { kReady, kDraining };

/// One endpoint as it registered itself.
struct Endpoint {
  std::string id;
  /// When it started, in milliseconds since 1970; the same id with another
  /// start knows nothing of before.
  std::uint64_t start_time_ms = 0;
  std::string service;
  /// "IP:PORT"; may have belonged to another endpoint before.
  std::string address;
  std::string failure_domain;
  /// Requests that it runs at once.
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  /// Kind of accelerator; empty for a plain service.
  std::string kind;
  /// Layers loaded; empty for none.
  pipeline::LayerRange layers;
  /// Orders begun since its start.
  std::uint64_t sequence = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Returns a number that stands for \p endpoint, and no other life of the same
/// id, in messages between instances. Two of a thousand endpoints share one
/// with a chance of a ten-thousandth. Thread safety: safe.
std::uint32_t EndpointKey(const Endpoint& endpoint);

/// What one instance knows of the endpoints, for another.
struct EndpointListSnapshot {
  /// The store's list.
  std::vector<Endpoint> endpoints;
  /// Endpoints that are kept though the list lacks them.
  std::vector<Endpoint> retained;
  /// For how much longer.
  Duration retained_for{0};
  /// Store's revision of the list that last changed anything.
  std::uint64_t revision = 0;

  friend bool operator==(const EndpointListSnapshot&,
                         const EndpointListSnapshot&) = default;
};

/// The endpoints in use.
///
/// Failure guarded against: while the store is away the entries of endpoints
/// run out, and when it returns its list is empty for a moment. A router that
/// believed that list would refuse everything. The guard: entries that are
/// missing right after an outage are kept for a grace period, in which every
/// endpoint that lives registers again. An entry that says that its endpoint
/// drains is believed at once (I5).
///
/// The grace period counts from the first proof that the store answers again,
/// whoever got it. An instance for which others read has no list of its own to
/// count from: from its first one after the outage it would count anew, and
/// keep an endpoint that left long after the store's return (I5). It ends with
/// the first proof from after it, which may be a peer's word that the list is
/// still the same; until then what is missing here may be back.
///
/// Reads that fail here are no outage: the connection may have gone silent, or
/// the own link be crowded, while the store answers others. Had that begun the
/// grace period, an endpoint whose entry was removed in it would be used past
/// the bound (I5). Entries run out only when the store has been away for
/// several heartbeats, so two of its answers, to whomever, that are closer than
/// that leave nothing to wait for.
/// Thread safety: none; for one thread.
class EndpointTable {
 public:
  /// \p grace is how long after the store's return an entry may be missing;
  /// \p shortest is how long the store must be away for entries to run out.
  EndpointTable(Duration grace, Duration shortest)
      : outage_grace(grace), shortest_outage(shortest) {}

  /// Notes that the store did not answer this instance.
  void OnStoreUnavailable(TimePoint now) { this->away_since = now; }
  /// Notes that the store answered a read that some instance began at \p read,
  /// whatever it showed.
  void OnStoreAnswered(TimePoint read, TimePoint now);
  /// Notes that the store answered a read of the list that began at \p read,
  /// this instance's or a peer's, and that the list known here is as new. Drops
  /// the endpoints that were kept if the grace period was over at \p read.
  /// Returns whether that dropped any.
  bool Confirm(TimePoint read, TimePoint now);
  /// Takes the whole list, read from the store at \p revision by a read that
  /// began at \p read. A list older than one taken before is ignored. Returns
  /// whether anything changed.
  bool Replace(std::vector<Endpoint> listed, std::uint64_t revision,
               TimePoint read, TimePoint now);
  /// The same for what a peer knows. Its grace period goes on here, unless one
  /// of this instance's own runs.
  bool Adopt(EndpointListSnapshot list, TimePoint now);

  /// Returns what is known, for a peer.
  EndpointListSnapshot Share(TimePoint now) const;
  /// Returns the newest moment at which what is known was proved current.
  std::optional<TimePoint> ConfirmedAt() const { return this->confirmed_at; }
  /// Returns the store's revision of the list, 0 before the first.
  std::uint64_t Revision() const { return this->last_revision; }
  /// Returns the revision of the list that last changed anything.
  std::uint64_t ChangedRevision() const { return this->changed_revision; }
  /// Returns how many endpoints are kept though the newest list lacks them.
  std::size_t RetainedCount() const { return this->kept.size(); }
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

  /// Returns whether the store has answered nobody for so long that entries may
  /// have run out.
  bool OutageGoesOn() const {
    return this->away_since &&
           (!this->answered_at ||
            *this->away_since - *this->answered_at >= this->shortest_outage);
  }
  /// Returns whether entries may be missing of endpoints that live.
  bool KeepsMissing() const {
    return this->OutageGoesOn() ||
           this->confirmed_at.value_or(TimePoint{}) < this->kept_until;
  }
  /// Puts \p next into use.
  void SetInUse(ById next);
  /// Notes that the list known here is the store's of \p read.
  void NoteRead(TimePoint read, TimePoint now);
  /// Puts \p next, the list of \p revision, into use, with those of \p known
  /// that it lacks where they are to be kept. Returns whether anything changed.
  bool Use(ById next, const ById& known, std::uint64_t revision);

  Duration outage_grace;
  Duration shortest_outage;
  /// When the store last didn't answer, until it is proved to answer again.
  std::optional<TimePoint> away_since;
  TimePoint kept_until;
  /// When the read began that the store is known to have answered last.
  std::optional<TimePoint> answered_at;
  std::optional<TimePoint> confirmed_at;
  std::uint64_t last_revision = 0;
  std::uint64_t changed_revision = 0;
  /// The newest list.
  ById listed;
  /// The list and what is kept beside it.
  ById by_id;
  /// Ids of these by key.
  std::unordered_map<std::uint32_t, std::string> ids_by_key;
  std::set<std::string> kept;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_
