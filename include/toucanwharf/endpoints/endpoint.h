#ifndef TOUCANWHARF_ENDPOINTS_ENDPOINT_H_
#define TOUCANWHARF_ENDPOINTS_ENDPOINT_H_

#include <cstdint>
#include <string>

#include "toucanwharf/pipeline/plan.h"

namespace toucanwharf::endpoints {

enum class EndpointState { kReady, kDraining };

/// One endpoint as it registered itself.
struct Endpoint {
  std::string id;
  /// Start time in milliseconds since 1970. An endpoint with the same id and
  /// another start time has no state from before.
  std::uint64_t start_time_ms = 0;
  std::string service;
  /// "IP:PORT"; may have belonged to another endpoint before.
  std::string address;
  std::string failure_domain;
  /// Requests that it runs concurrently.
  std::uint32_t slots = 1;
  EndpointState state = EndpointState::kReady;
  /// Kind of accelerator; empty for a plain service.
  std::string kind;
  /// Layers loaded; empty for none.
  pipeline::LayerRange layers;
  /// Orders started since its start.
  std::uint64_t sequence = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Returns a number that stands for this start of \p endpoint in messages
/// between instances; a restart under the same id has another one. The
/// probability that two of a thousand endpoints share a number is one in ten
/// thousand.
/// Thread safety: safe.
std::uint32_t EndpointKey(const Endpoint& endpoint);

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_ENDPOINT_H_
