#ifndef TOUCANWHARF_PLATFORM_CONFIG_SERVICE_H_
#define TOUCANWHARF_PLATFORM_CONFIG_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/control/config_follower.h"
#include "toucanwharf/control/lease.h"
#include "toucanwharf/control/publisher.h"
#include "toucanwharf/control/review.h"
#include "toucanwharf/platform/client.h"
#include "toucanwharf/records/records.h"
#include "toucanwharf/store/mirror.h"

namespace toucanwharf::platform {

/// Keeps this instance's configuration in force, takes part in the lease
/// `acceptance`, and while it holds that, accepts what operators write (I7).
/// Thread safety: none; for the loop's thread.
class ConfigService {
 public:
  /// \p instance names the instance, \p incarnation this process of it.
  /// Precondition: the references outlive the service.
  ConfigService(transport::EventLoop& loop, Client& client,
                std::string instance, const std::string& incarnation);

  /// Begins to follow and to take part. Precondition: called once.
  void Start();

  /// Returns the catalog in force; generation 0 and empty before the first.
  const records::Catalog& Catalog() const { return this->catalog; }
  /// Sets what is called after each new generation.
  void OnChange(std::function<void()> callback) {
    this->on_change = std::move(callback);
  }
  /// Sets who answers which routers are live, by instance id: a record waits
  /// for all of them to read its schema. Without it only those that reported.
  void SetLiveRouters(std::function<std::vector<std::string>()> source) {
    this->live_routers = std::move(source);
  }

  /// Returns what a peer at generation \p have lacks, as text for it, or
  /// nothing.
  std::optional<std::string> UpdateFor(std::uint64_t have) const;
  /// Takes a peer's text. Returns whether a new generation is in force.
  bool OnPeerUpdate(const std::string& text);

  /// Returns whether this instance holds the lease now.
  bool HoldsLease() const { return this->lease.MayAct(this->loop.Now()); }
  /// Gives the lease back; for a planned stop.
  void ReleaseLease() { this->lease.Release(); }

 private:
  void FollowHead();
  void FollowWatch(std::uint64_t after);
  void TakeEvents(const WatchAnswer& answer);
  void Fetch();
  void Adopted();
  /// Tells the holder of the lease what this router has in force.
  ///
  /// Failure guarded against: two reports that are under way at once land in
  /// either order, or the only one is lost. The older generation then stands
  /// for good, and the status says that this router is behind, although it
  /// isn't (seen as "in force on 5 of 6"). The guard: one report at a time, and
  /// another one until the newest generation surely stands.
  void Report();

  void Tick();
  void TickLease();
  void TickMirror();
  void TickPublish();
  void TickStatuses();
  void CarryPublish(const control::LeaseCall& call);
  void TakeHead(const std::optional<store::Object>& head);
  void TakeStatuses(const store::Listing& listing);
  void NoteStatuses(const control::Review& review, std::uint64_t generation);
  control::SchemaReaders Readers() const;

  transport::EventLoop& loop;
  Client& client;
  std::string instance;
  std::string incarnation;
  control::ConfigFollower follower;
  control::Lease lease;
  control::Publisher publisher;
  store::Mirror records_mirror;
  bool mirror_waits = false;
  bool fetching = false;
  bool statuses_wait = false;
  bool reporting = false;
  TimePoint next_statuses;
  /// What the routers report of themselves: generation and schemas.
  struct RouterReport {
    std::uint64_t generation = 0;
    std::set<std::string> schemas;
  };
  std::map<std::string, RouterReport> reports;
  struct NotedStatus {
    control::RecordStatus status;
    std::uint64_t generation = 0;
  };
  std::map<std::string, NotedStatus> statuses;
  std::function<void()> on_change;
  std::function<std::vector<std::string>()> live_routers;
  records::Catalog catalog;
};

}  // namespace toucanwharf::platform

#endif  // TOUCANWHARF_PLATFORM_CONFIG_SERVICE_H_
