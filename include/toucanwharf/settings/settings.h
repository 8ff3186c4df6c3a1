#ifndef TOUCANWHARF_SETTINGS_SETTINGS_H_
#define TOUCANWHARF_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "toucanwharf/schema/schema.h"
#include "toucanwharf/support/clock.h"

/// The settings of one toucanwharfd.
namespace toucanwharf::settings {

/// One address per listener, each "ip:port" or "[ipv6]:port".
struct Addresses {
  /// For callers of models and services.
  std::string callers;
  /// For operators.
  std::string admin;
  /// For the other routers.
  std::string peers;

  friend auto operator<=>(const Addresses&, const Addresses&) = default;
};

struct Timeouts {
  /// A connection attempt is given up after this.
  Duration connect{std::chrono::milliseconds(500)};
  /// A stream without progress for so long is suspected.
  Duration progress{std::chrono::milliseconds(1000)};
  /// An answer is given up after this.
  Duration answer{std::chrono::seconds(120)};
  /// Callers may keep an answer of `/v1/entries` for so long; a drain serves
  /// at least as long.
  Duration entries_ttl{std::chrono::seconds(15)};
  /// A drain waits at most so long for answers in progress.
  Duration drain{std::chrono::seconds(180)};

  friend auto operator<=>(const Timeouts&, const Timeouts&) = default;
};

struct Limits {
  /// Bytes that the body of one request may have.
  std::uint64_t body_bytes = 1048576;
  /// Open connections of callers.
  std::uint32_t connections = 12000;
  /// Requests that may wait for an endpoint.
  std::uint32_t waiting_requests = 4096;
  /// Events that the time line keeps.
  std::uint32_t timeline_events = 8192;

  friend auto operator<=>(const Limits&, const Limits&) = default;
};

struct Settings {
  /// Id of this instance, unique among all.
  std::string instance;
  std::string failure_domain;
  std::string region;
  /// Where this instance listens.
  Addresses listen;
  /// Where others reach it.
  Addresses advertise;
  /// The platform's object API, "ip:port".
  std::string platform_address;
  /// Bearer key of operators.
  std::string admin_key;
  /// Key that routers show each other.
  std::string peer_key;
  Timeouts timeouts;
  Limits limits;

  friend auto operator<=>(const Settings&, const Settings&) = default;
};

/// Parses and checks settings; every problem is returned at once. Any bytes are
/// allowed. Opens nothing. What the problems show of keys is hidden.
/// Thread safety: safe.
schema::Checked<Settings> ParseSettings(std::string_view text);

}  // namespace toucanwharf::settings

#endif  // TOUCANWHARF_SETTINGS_SETTINGS_H_
