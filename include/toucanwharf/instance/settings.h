#ifndef TOUCANWHARF_INSTANCE_SETTINGS_H_
#define TOUCANWHARF_INSTANCE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/attempts/arrival_budget.h"
#include "toucanwharf/instance/mechanisms.h"
#include "toucanwharf/support/clock.h"

/// One router process in front of endpoints that register in a store: it
/// proxies requests, tells callers where to connect, and places layers.
namespace toucanwharf::instance {

/// Bounds that the deployment guarantees.
struct Bounds {
  /// A revoked key runs nothing after this long.
  Duration revocation{std::chrono::seconds(5)};
  /// Whether that also holds while the store is unreachable.
  bool strict_revocation = true;
  /// A new configuration is in force after this long.
  Duration configuration{std::chrono::seconds(2)};
  /// A draining endpoint receives no new requests after this long.
  Duration drain{std::chrono::seconds(2)};
  /// Time from the signal to stop until the kill.
  Duration grace{std::chrono::seconds(8)};
  /// Maximum time that callers may cache entry advice.
  Duration advice{std::chrono::seconds(5)};

  friend bool operator==(const Bounds&, const Bounds&) = default;
};

/// What a process may use of its machine.
struct MachineResources {
  /// Memory, in bytes; nothing for all that the system has.
  std::optional<std::uint64_t> memory_bytes;
  /// Descriptors; nothing for as many as the system lets the process open.
  std::optional<std::uint64_t> descriptors;

  friend bool operator==(const MachineResources&,
                         const MachineResources&) = default;
};

/// Settings of a process, read at its start.
struct InstanceSettings {
  std::string name;
  std::string failure_domain;
  /// Addresses to listen on, "IP:PORT".
  std::string callers_address;
  std::string ready_address;
  std::string control_address;
  std::string directory_address;
  std::string datagram_address;
  /// Control addresses of some instances; may be outdated.
  std::vector<std::string> seeds;
  std::string store_address;
  /// Address of this host that calls to endpoints, the store and other
  /// instances come from; empty lets the system choose.
  std::string source_ip;
  /// Period at which an endpoint rewrites its entry in the store.
  Duration endpoint_heartbeat{std::chrono::milliseconds(1200)};
  /// Share of a core that the process may use.
  double processor_share = 1;
  MachineResources machine;
  Bounds bounds;
  attempts::ArrivalBudgetSettings budget;
  Mechanisms mechanisms;

  friend bool operator==(const InstanceSettings&,
                         const InstanceSettings&) = default;
};

/// Names of the header fields that callers, endpoints and the router use.
struct HeaderNames {
  std::string request_id;
  /// Remaining time in milliseconds.
  std::string deadline;
  /// Prompt tokens and maximum output tokens, separated by a comma.
  std::string token_counts;
  /// The parts of the prompt in order, each as ID:TOKENS, separated by commas;
  /// the last is the request's own.
  std::string prompt_parts;
  /// A caller's estimate of the output tokens.
  std::string length_hint;
  /// The rank of a request, for model engines.
  std::string rank;
  std::string customer;
  /// Id of the endpoint that the request is intended for.
  std::string expected_endpoint;
  /// Set by an endpoint that did not run the request.
  std::string not_run;
  /// Address of the endpoint that caused a refusal.
  std::string at_fault;
  /// The endpoints of a path.
  std::string path;
  std::string authorization;
  /// Scheme name before the key in the authorization.
  std::string key_scheme;
  std::string last_event_id;
  /// Requests per second that an endpoint in need takes from all instances.
  std::string limit;
  /// Set in all its answers by an endpoint that leaves.
  std::string leaving;
  /// When to come back, in seconds; of refusals of endpoints and our own.
  std::string retry_after;

  friend bool operator==(const HeaderNames&, const HeaderNames&) = default;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_SETTINGS_H_
