#ifndef TOUCANWHARF_SETTINGS_SETTINGS_H_
#define TOUCANWHARF_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "toucanwharf/schema/schema.h"
#include "toucanwharf/support/clock.h"

/// Settings of one toucanwharfd process.
namespace toucanwharf::settings {

/// One address per listener, each "ip:port" or "[ipv6]:port".
struct Addresses {
  /// Serves callers of models and services.
  std::string callers;
  /// Serves operators.
  std::string admin;
  /// Serves other routers.
  std::string peers;

  friend auto operator<=>(const Addresses&, const Addresses&) = default;
};

struct Timeouts {
  /// Timeout of a connection attempt.
  Duration connect{std::chrono::milliseconds(500)};
  /// A stream without progress for this long is suspected to have stalled.
  Duration progress{std::chrono::milliseconds(1000)};
  /// Timeout of an answer.
  Duration answer{std::chrono::seconds(120)};
  /// How long callers may cache a response of `/v1/entries`; a drain keeps
  /// serving at least this long.
  Duration entries_ttl{std::chrono::seconds(15)};
  /// Longest time that a drain waits for answers in progress.
  Duration drain{std::chrono::seconds(180)};

  friend auto operator<=>(const Timeouts&, const Timeouts&) = default;
};

struct Limits {
  /// Largest body of a request, in bytes.
  std::uint64_t body_bytes = 1048576;
  /// Memory that the process may use, in megabytes of 10^6 bytes; 0 for all
  /// that the machine has.
  std::uint64_t memory_mb = 0;
  /// Most open connections of callers.
  std::uint32_t connections = 12000;
  /// Most requests that wait for an endpoint.
  std::uint32_t waiting_requests = 4096;
  /// Most events that the timeline retains.
  std::uint32_t timeline_events = 8192;

  friend auto operator<=>(const Limits&, const Limits&) = default;
};

struct Settings {
  /// Id of this instance, unique among all instances.
  std::string instance;
  std::string failure_domain;
  std::string region;
  /// Addresses on which this instance listens.
  Addresses listen;
  /// Addresses at which others reach it.
  Addresses advertise;
  /// The platform's object API, "ip:port".
  std::string platform_address;
  /// Bearer key that operators present.
  std::string admin_key;
  /// Key with which routers seal messages to each other.
  std::string peer_key;
  Timeouts timeouts;
  Limits limits;

  friend auto operator<=>(const Settings&, const Settings&) = default;
};

/// Parses and checks settings; returns all problems together. Any bytes are
/// allowed. Does no I/O. Problems never contain the values of keys.
/// Thread safety: safe.
schema::Checked<Settings> ParseSettings(std::string_view text);

}  // namespace toucanwharf::settings

#endif  // TOUCANWHARF_SETTINGS_SETTINGS_H_
