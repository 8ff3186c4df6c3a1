#ifndef TOUCANWHARF_INSTANCE_INSTANCE_STATE_H_
#define TOUCANWHARF_INSTANCE_INSTANCE_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/endpoints/endpoint_table.h"
#include "toucanwharf/endpoints/load_tracker.h"
#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/gossip/ready_instance_list.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/routes/freshness.h"
#include "toucanwharf/routes/route_table.h"

namespace toucanwharf::instance {

/// What one process believes about the world, read by all its parts.
/// Thread safety: none; for the loop's thread.
struct InstanceState {
  explicit InstanceState(const InstanceSettings& settings,
                         std::string instance_id);

  /// Changes with each start.
  std::string instance;
  /// The configuration in force, or null before the first.
  std::shared_ptr<const routes::RouteTable> table;
  /// Store's revision and text of it.
  std::uint64_t configuration_revision = 0;
  std::string configuration_text;
  routes::Freshness freshness;
  endpoints::EndpointTable endpoints;
  endpoints::LoadTracker loads;
  gossip::PeerTable peers;
  gossip::ReadyInstanceList ready_list;
  /// Datagram addresses of the leader's backup leaders, in a large fleet, as
  /// the leader last named them; and whether this instance is one of them.
  std::vector<std::string> backup_leaders;
  bool is_backup_leader = false;
  /// Whether this process was told to stop, and when.
  std::optional<TimePoint> stopping_since;
  /// Whether it holds the placement lease.
  bool leads = false;
  /// Whether the list of instances was read from the store.
  bool knows_instances = false;

  /// Returns whether requests can be judged: the configuration and the list of
  /// endpoints are known, and keys may be admitted.
  bool KnowEnough(TimePoint now) const;
  /// Returns whether callers may be sent here.
  bool Ready(TimePoint now) const;
  /// Returns where callers may connect to other instances. Ports are the same
  /// on all instances; \p callers and \p datagrams are this one's addresses.
  std::vector<std::string> ReadyPeers(TimePoint now, const std::string& callers,
                                      const std::string& datagrams) const;
  /// Returns whether keys may be admitted.
  bool KeysHold(TimePoint now) const;

  bool strict_revocation;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_INSTANCE_STATE_H_
