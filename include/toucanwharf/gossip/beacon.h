#ifndef TOUCANWHARF_GOSSIP_BEACON_H_
#define TOUCANWHARF_GOSSIP_BEACON_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/gossip/key_range.h"
#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/clock.h"

/// What instances tell each other: each sends its whole state, small, several
/// times a second, so that a lost message is made good by the next.
namespace toucanwharf::gossip {

/// What an instance has under way at one endpoint.
struct EndpointLoad {
  std::string endpoint;
  double answers = 0;
  /// Tokens times layers.
  double token_layers = 0;
  /// Answers whose path begins there.
  double first_stage_answers = 0;

  friend bool operator==(const EndpointLoad&, const EndpointLoad&) = default;
};

/// The same as the leader tells it of the whole fleet. The key stands for the
/// endpoint (see endpoints::EndpointKey): ids would be most of the message.
struct KeyedLoad {
  std::uint32_t key = 0;
  double answers = 0;
  /// In whole thousands.
  double token_layers = 0;
  double first_stage_answers = 0;

  friend bool operator==(const KeyedLoad&, const KeyedLoad&) = default;
};

/// An endpoint that an instance saw fail, and for how much longer it should be
/// avoided.
struct Suspicion {
  std::string endpoint;
  Duration remaining{0};
  /// Whether it answers nothing at all; otherwise it refuses requests.
  bool unresponsive = false;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// What the holder of the placement lease knows of an engine, from its own
/// report: newer than what the store lists.
struct EngineStatus {
  std::string endpoint;
  std::uint64_t start_time_ms = 0;
  pipeline::LayerRange layers;
  double slowdown = 1;
  /// Tokens times layers that its answers hold by its own word, whoever sent
  /// them; 0 where the instances' own counts are newer than its report.
  double token_layers = 0;

  friend bool operator==(const EngineStatus&, const EngineStatus&) = default;
};

/// The same as the leader tells it to all.
struct KeyedEngineStatus {
  std::uint32_t key = 0;
  pipeline::LayerRange layers;
  /// In whole hundredths.
  double slowdown = 1;
  /// In whole thousands.
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
  /// Where callers connect, and where instances ask each other, "IP:PORT".
  std::string callers_address;
  std::string control_address;
  /// Part of a core that the instance may use.
  double processor_share = 1;
  /// Whether callers may be sent there.
  bool ready = false;
  /// Whether it was told to stop.
  bool stopping = false;
  /// Whether it holds the placement lease.
  bool leads = false;
  /// Store's revision of the configuration in force, 0 for none.
  std::uint64_t configuration_revision = 0;
  /// Age of the proof that it is current, when the beacon was made.
  std::optional<Duration> configuration_age;
  /// Store's revision of the list of endpoints.
  std::uint64_t endpoints_revision = 0;
  /// Age of that list.
  std::optional<Duration> endpoints_age;
  /// Sender's clock when the beacon was made; means nothing to others.
  std::int64_t stamp = 0;
  /// The newest stamp that came from the receiver, 0 for none. The receiver
  /// knows by it that the beacon was made after that moment of its own clock.
  std::int64_t echo = 0;
  /// Instance that the echoed stamp came from. The receiver may have started
  /// anew, with another clock, since it sent that stamp.
  std::string echo_of;
  std::vector<EndpointLoad> loads;
  /// The endpoints that fleet_loads and engine_statuses are about: they say
  /// nothing of others.
  KeyRange covered_keys;
  /// From the leader, or its backup leader, only: what all instances together
  /// have under way.
  std::vector<KeyedLoad> fleet_loads;
  std::vector<Suspicion> suspicions;
  /// From the leader only.
  std::vector<KeyedEngineStatus> engine_statuses;
  /// From the leader of a large fleet, or its backup leader, only: IPv4
  /// addresses, in host byte order, of all instances to which callers may be
  /// sent.
  std::vector<std::uint32_t> ready_instances;
  /// From the leader of a large fleet only: datagram addresses of its backup
  /// leaders (see ChooseBackupLeaders).
  std::vector<std::string> backup_leaders;
  /// Datagram addresses of other instances that the sender knows.
  std::vector<std::string> peers;

  friend bool operator==(const Beacon&, const Beacon&) = default;
};

/// Leaves out of \p beacon what would make it larger than a datagram: the least
/// of very many loads, and of very many suspicions those that end soonest.
/// Thread safety: safe.
void TrimToDatagram(Beacon& beacon);

/// Returns \p beacon as bytes (CBOR). Thread safety: safe.
std::string Encode(const Beacon& beacon);

/// A beacon for several receivers: all but the echo is encoded once.
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

/// Returns the beacon in \p bytes, or nothing if they are none.
/// Thread safety: safe.
std::optional<Beacon> Decode(std::string_view bytes);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_BEACON_H_
