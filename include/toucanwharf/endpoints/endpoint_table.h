#ifndef TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_
#define TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
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
  std::uint64_t born = 0;
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

/// The endpoints in use.
///
/// Failure guarded against: while the store is away the entries of endpoints
/// run out, and when it returns its list is empty for a moment. A router that
/// believed that list would refuse everything. The guard: entries that are
/// missing right after an outage are kept for a grace period, in which every
/// endpoint that lives registers again. An entry that says that its endpoint
/// drains is believed at once (I5).
/// Thread safety: none; for one thread.
class EndpointTable {
 public:
  /// \p grace is how long after the store's return an entry may be missing.
  explicit EndpointTable(Duration grace) : outage_grace(grace) {}

  /// Notes that the store did not answer.
  void OnStoreAway() { this->away = true; }
  /// Takes the whole list, read from the store at \p revision. A list older
  /// than one taken before is ignored. Returns whether anything changed.
  bool Replace(std::vector<Endpoint> listed, std::uint64_t revision,
               TimePoint now);

  /// Returns the store's revision of the list, 0 before the first.
  std::uint64_t Revision() const { return this->last_revision; }
  /// Returns the revision of the list that last changed anything.
  std::uint64_t ChangedAt() const { return this->changed_revision; }
  /// Returns how many endpoints are kept though the newest list lacks them.
  std::size_t Kept() const { return this->kept; }
  /// Returns the endpoint \p id, or null.
  const Endpoint* Find(const std::string& id) const;
  /// Calls \p visit for each endpoint of \p service that may get new work.
  void ForEachReady(const std::string& service,
                    const std::function<void(const Endpoint&)>& visit) const;
  /// Returns all endpoints, by id.
  const std::map<std::string, Endpoint>& All() const { return this->by_id; }

 private:
  Duration outage_grace;
  bool away = false;
  TimePoint missing_kept_until;
  std::uint64_t last_revision = 0;
  std::uint64_t changed_revision = 0;
  std::map<std::string, Endpoint> by_id;
  std::size_t kept = 0;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_ENDPOINT_TABLE_H_
