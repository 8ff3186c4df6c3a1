#ifndef TOUCANWHARF_GOSSIP_BEACON_H_
#define TOUCANWHARF_GOSSIP_BEACON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/gossip/configuration_id.h"
#include "toucanwharf/gossip/key_range.h"
#include "toucanwharf/limits/demand_meter.h"
#include "toucanwharf/limits/stated_limits.h"
#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/quarantine/quarantine.h"
#include "toucanwharf/store/revision.h"
#include "toucanwharf/support/clock.h"

/// State exchange between instances: each sends its whole state, which is
/// small, several times a second, so that the next message makes up for a lost
/// one.
namespace toucanwharf::gossip {

/// What one instance has in flight at one endpoint.
struct EndpointLoad {
  std::string endpoint;
  double answers = 0;
  /// Tokens times layers.
  double token_layers = 0;
  /// Answers whose first stage is at the endpoint.
  double first_stage_answers = 0;

  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// Load of the whole fleet at one endpoint, as the leader reports it. The key
/// stands for the endpoint (see endpoints::EndpointKey), because ids would make
/// up most of the message.
struct KeyedLoad {
  std::uint32_t key = 0;
  double answers = 0;
  /// Encoded in whole thousands.
  double token_layers = 0;
  double first_stage_answers = 0;

  friend bool operator==(const KeyedLoad&, const KeyedLoad&) = default;
};

/// An endpoint that failed at an instance, and for how much longer it should be
/// avoided.
struct Suspicion {
  std::string endpoint;
  Duration remaining{0};
  /// True if the endpoint doesn't respond at all, false if it refuses requests.
  bool unresponsive = false;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// Status of an engine from the engine's own report to the holder of the
/// placement lease; newer than the store's list.
struct EngineStatus {
  std::string endpoint;
  std::uint64_t start_time_ms = 0;
  pipeline::LayerRange layers;
  double slowdown = 1;
  /// Tokens times layers that the engine reports for its answers, whichever
  /// instance sent them; 0 where the instances' own counts are newer than its
  /// report.
  double token_layers = 0;

  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

/// EngineStatus as the leader sends it to all instances.
struct KeyedEngineStatus {
  std::uint32_t key = 0;
  pipeline::LayerRange layers;
  /// Encoded in whole hundredths.
  double slowdown = 1;
  /// Encoded in whole thousands.
  double token_layers = 0;

  friend bool operator==(const KeyedEngineStatus&,
                         const KeyedEngineStatus&) = default;
};

/// One instance's state, addressed to one other.
struct Beacon {
  /// Changes with each start of the process.
  std::string instance;
  /// How long the process has run.
  Duration uptime{0};
  std::string failure_domain;
  /// Addresses for callers and for requests between instances, "IP:PORT".
  std::string callers_address;
  std::string control_address;
  /// Part of a core that the instance may use.
  double processor_share = 1;
  /// Whether callers may be sent to the instance.
  bool ready = false;
  /// Whether the instance was told to stop.
  bool stopping = false;
  /// Whether the instance holds the placement lease.
  bool leads = false;
  /// Whether it reaches endpoints, so that requests can be forwarded to it;
  /// nothing from a build that takes none.
  std::optional<bool> reaches_endpoints;
  /// The store's epoch, and how long ago it was first seen if known.
  std::uint64_t store_epoch = 0;
  std::optional<Duration> store_epoch_age;
  /// The configuration in force.
  ConfigurationId configuration;
  /// Age of the configuration's last confirmation when the beacon was made.
  std::optional<Duration> configuration_age;
  /// Store's revision of the list of endpoints.
  store::Revision endpoints_revision;
  /// Age of the last confirmation of that list.
  std::optional<Duration> endpoints_age;
  /// Sender's clock when the beacon was made; comparable only on the sender.
  std::int64_t stamp = 0;
  /// The newest stamp received from the addressee, 0 for none. It tells the
  /// addressee that the beacon was made after that moment of its own clock.
  std::int64_t echo = 0;
  /// Instance that the echoed stamp came from. The addressee may have
  /// restarted, with another clock, since it sent that stamp.
  std::string echo_of;
  std::vector<EndpointLoad> loads;
  /// Keys of the endpoints that fleet_loads and engine_statuses cover; they
  /// contain nothing about other endpoints.
  KeyRange covered_keys;
  /// From the leader or a backup leader only: what all instances together have
  /// in flight.
  std::vector<KeyedLoad> fleet_loads;
  std::vector<Suspicion> suspicions;
  /// Keys of endpoints that some instance can't reach and the sender knows to
  /// be alive.
  std::vector<std::uint32_t> alive;
  /// Limits that endpoints state, and the demand for the services.
  std::vector<limits::LimitReport> limits;
  std::vector<limits::ServiceDemand> demands;
  /// Requests that were at crashes of endpoints, seen by any instance.
  std::vector<quarantine::SuspectReport> suspects;
  /// From the leader only.
  std::vector<KeyedEngineStatus> engine_statuses;
  /// From the leader or a backup leader of a large fleet only: IPv4 addresses,
  /// in host byte order, of all instances to which callers may be sent.
  std::vector<std::uint32_t> ready_instances;
  /// From the leader of a large fleet only: datagram addresses of its backup
  /// leaders (see ChooseBackupLeaders).
  std::vector<std::string> backup_leaders;
  /// Datagram addresses of other instances that the sender knows.
  std::vector<std::string> peers;

  friend bool operator==(const Beacon&, const Beacon&) = default;
};

/// Trims \p beacon to the size of a datagram: drops the smallest of very many
/// loads, and those of very many suspicions that end soonest.
/// Thread safety: safe.
void TrimToDatagram(Beacon& beacon);

/// Returns \p beacon encoded as CBOR. Thread safety: safe.
std::string Encode(const Beacon& beacon);

/// A beacon for several receivers, of which all but the echo is encoded once.
/// Thread safety: safe once built.
class EncodedBeacon {
 public:
  explicit EncodedBeacon(const Beacon& beacon);
  /// Returns the bytes for the receiver that sent the stamp \p echo as the
  /// instance \p echo_of.
  std::string For(std::int64_t echo, const std::string& echo_of) const;

 private:
  std::string common;
};

/// Returns the beacon in \p bytes, or nothing if they aren't a valid one.
/// Thread safety: safe.
std::optional<Beacon> Decode(std::string_view bytes);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_BEACON_H_
