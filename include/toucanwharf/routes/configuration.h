#ifndef TOUCANWHARF_ROUTES_CONFIGURATION_H_
#define TOUCANWHARF_ROUTES_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/support/clock.h"

/// Configuration of requests that are passed on unchanged: routes, services and
/// customers, as immutable values, and lookups on them.
namespace toucanwharf::routes {

/// How often a request may run.
enum class RequestKind {
  /// Idempotent: may run more than once.
  kIdempotent,
  /// May run at most once (I4).
  kNonIdempotent,
  /// A stream of events; runs once unless the route can be resumed.
  kStream,
};

/// A service of a route, and its weight among the route's services.
struct ServiceShare {
  std::string service;
  std::uint32_t weight = 1;

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Maximum time until the end of the answer.
  Duration timeout{std::chrono::seconds(20)};
  /// Objective for the time to the answer, or to a stream's first event: within
  /// it an answer is worth most.
  Duration objective{std::chrono::milliseconds(500)};
  /// Maximum pause between two events of a stream with which its answer still
  /// counts as on time.
  Duration pause_objective{std::chrono::milliseconds(200)};
  /// 0 is the most urgent.
  std::optional<int> priority;
  std::vector<ServiceShare> services;
  /// Maximum number of endpoints that one request may be sent to.
  int max_attempts = 1;
  /// Requests need no key.
  bool open = false;
  /// A stream may resume at another endpoint after the last event that was sent
  /// to the caller.
  bool resumable = false;

  /// Returns whether a request that may have run may be sent again.
  bool Repeatable() const {
    return this->kind == RequestKind::kIdempotent ||
           (this->kind == RequestKind::kStream && this->resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

struct Service {
  std::string name;
  /// Connections that one endpoint accepts from all callers together.
  std::uint32_t max_connections = 0;
  /// Set for model engines.
  std::optional<placement::EngineModel> engine;

  friend bool operator==(const Service&, const Service&) = default;
};

struct Customer {
  std::string name;
  std::vector<std::string> keys;
  /// Overrides the route's priority.
  std::optional<int> priority;

  friend bool operator==(const Customer&, const Customer&) = default;
};

/// Bounds on the size of a caller's requests and on its idle time.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4ULL * 1024 * 1024;
  Duration header_timeout{std::chrono::seconds(3)};
  Duration idle_timeout{std::chrono::seconds(15)};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// The complete configuration of one version.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  std::vector<Customer> customers;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

}  // namespace toucanwharf::routes

#endif  // TOUCANWHARF_ROUTES_CONFIGURATION_H_
