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

/// Follows the configuration in the store, competes for the lease `acceptance`
/// and, while it holds the lease, reviews and publishes the records that
/// operators write (I7).
/// Thread safety: none; for the loop's thread.
class ConfigService {
 public:
  /// \p instance is the id of this instance, \p incarnation identifies this
  /// process.
  /// Precondition: the references outlive the service.
  ConfigService(transport::EventLoop& loop, Client& client,
                std::string instance, const std::string& incarnation);

  /// Starts following the configuration and competing for the lease.
  /// Precondition: called once.
  void Start();

  /// Returns the catalog in force; empty with generation 0 before the first.
  const records::Catalog& Catalog() const { return this->catalog; }
  /// Sets the callback for each new generation.
  void OnChange(std::function<void()> callback) {
    this->on_change = std::move(callback);
  }
  /// Sets the source of the ids of live routers: a record waits until this
  /// instance and all of them that reported can read its schema. Without a
  /// source, only this instance counts.
  void SetLiveRouters(std::function<std::vector<std::string>()> source) {
    this->live_routers = std::move(source);
  }

  /// Returns the encoded update for a peer at generation \p have, or nothing if
  /// it is up to date.
  std::optional<std::string> UpdateFor(std::uint64_t have) const;
  /// Applies a peer's encoded update. Returns whether a new generation is in
  /// force.
  bool OnPeerUpdate(const std::string& text);

  /// Returns whether this instance currently holds the lease.
  bool HoldsLease() const { return this->lease.MayAct(this->loop.Now()); }
  /// Releases the lease before a planned stop.
  void ReleaseLease() { this->lease.Release(); }

 private:
  void ReadHead();
  void WatchHead(const store::Revision& after);
  void ApplyEvents(const WatchAnswer& answer);
  void FetchNext();
  void OnAdopted();
  /// Reports to the lease holder which generation this router has in force.
  ///
  /// Guards against concurrent reports that are applied out of order, and
  /// against the loss of the only one: the older generation would stay in the
  /// store, and the status would list this router as behind although it isn't
  /// ("in force on 5 of 6"). So one report is in flight at a time, and it is
  /// repeated until the newest generation is known to be written.
  void ReportInForce();

  void Tick();
  void TickLease();
  void TickMirror();
  void TickPublish();
  void TickStatuses();
  void PerformPublishCall(const control::LeaseCall& call);
  void ApplyHead(const std::optional<store::Object>& head);
  void OnStatuses(const store::Listing& listing);
  void RecordStatuses(const control::Review& review, std::uint64_t generation);
  control::SchemaReaders Readers() const;

  transport::EventLoop& loop;
  Client& client;
  std::string instance;
  std::string incarnation;
  control::ConfigFollower follower;
  control::Lease lease;
  control::Publisher publisher;
  store::Mirror records_mirror;
  bool mirror_call_in_flight = false;
  bool read_in_flight = false;
  bool status_list_in_flight = false;
  bool report_in_flight = false;
  TimePoint next_status_time;
  /// Generation and schemas that a router reported.
  struct RouterReport {
    std::uint64_t generation = 0;
    std::set<std::string> schemas;
  };
  std::map<std::string, RouterReport> reports;
  struct RecordedStatus {
    control::RecordStatus status;
    std::uint64_t generation = 0;
  };
  std::map<std::string, RecordedStatus> statuses;
  std::function<void()> on_change;
  std::function<std::vector<std::string>()> live_routers;
  records::Catalog catalog;
};

}  // namespace toucanwharf::platform

#endif  // TOUCANWHARF_PLATFORM_CONFIG_SERVICE_H_
