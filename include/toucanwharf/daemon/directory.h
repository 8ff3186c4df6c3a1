#ifndef TOUCANWHARF_DAEMON_DIRECTORY_H_
#define TOUCANWHARF_DAEMON_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/pipeline/planner.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::daemon {

/// Kind of process that an instance in the platform's list runs.
enum class Role { kRouter, kEngine, kService };

/// One instance in the platform's list.
struct Instance {
  std::string id;
  std::string address;
  Role role = Role::kEngine;
  /// Only for services: the name of the service's record.
  std::string service;
  std::string failure_domain;
  bool leaving = false;
  /// Only for routers: where the other routers and the operators reach it.
  std::string peer_address;
  std::string admin_address;

  friend bool operator==(const Instance&, const Instance&) = default;
};

/// Reads the body of `GET /instances`; invalid elements are skipped.
/// Thread safety: safe.
std::vector<Instance> ParseInstances(std::string_view body);

/// Reads the body of an engine's `GET /v1/status` into \p view. Returns false
/// when it describes no usable engine.
/// Thread safety: safe.
bool ParseEngineStatus(std::string_view body, pipeline::EndpointView& view);

/// Reads the expected wait from the body of an engine's `GET /v1/load` into
/// \p view. Returns false when it has none.
/// Thread safety: safe.
bool ParseEngineLoad(std::string_view body, pipeline::EndpointView& view);

/// Load as reported by an engine.
struct EngineLoad {
  std::uint32_t running = 0;
  double queued_tokens = 0;
  double kv_tokens_free = 0;
  /// Age of the figures when the engine sent them.
  Duration age{0};

  friend bool operator==(const EngineLoad&, const EngineLoad&) = default;
};

/// Callbacks for changes of the engines. Used by admission.
struct EngineObservers {
  /// A status arrived: the layers that the engine holds, and its concurrency
  /// in answers.
  std::function<void(const pipeline::EndpointView&, std::uint32_t slots)>
      on_status;
  std::function<void(const std::string& id, const EngineLoad&)> on_load;
  std::function<void(const std::string& id)> on_removed;
};

/// Reads the number of slots from an engine's `GET /v1/status`, at least 1.
/// Thread safety: safe.
std::uint32_t ParseEngineSlots(std::string_view body);

/// Reads the load from the body of an engine's `GET /v1/load`.
/// Thread safety: safe.
EngineLoad ParseLoadReport(std::string_view body);

/// All instances that this router knows, and the layers that the engines among
/// them hold.
///
/// Polls the platform's list and the engines. The list lags, so the status that
/// an engine reports takes precedence over it.
/// Thread safety: none; for the loop's thread.
class Directory {
 public:
  /// Precondition: all references outlive the directory.
  Directory(transport::EventLoop& loop, transport::HttpClient& client,
            Metrics& metrics, std::string platform_address,
            const std::string& local_domain);

  /// Starts polling the platform and the engines. Precondition: called once.
  void Start();

  /// Returns the index of engines that plans are chosen from.
  pipeline::PlanIndex& Engines() { return this->engines; }
  const pipeline::PlanIndex& Engines() const { return this->engines; }

  /// Returns the instances of \p role, live and leaving, by id.
  std::vector<Instance> InstancesWithRole(Role role) const;

  /// Returns the live instances of the plain service \p name, by id.
  std::vector<Instance> ServiceInstances(const std::string& name) const;

  /// Sets the observers of the engines. Precondition: before Start().
  void SetObservers(EngineObservers new_observers) {
    this->observers = std::move(new_observers);
  }

 private:
  void FetchInstances();
  void ApplyInstances(std::string_view body);
  void RemoveInstance(const std::string& id);
  void PollEngine(const std::string& id, bool with_status);
  void ApplyStatus(const std::string& id,
                   const transport::HttpOutcome& outcome);
  void ApplyLoad(const std::string& id, const transport::HttpOutcome& outcome);
  void PollEngines();

  transport::EventLoop& loop;
  transport::HttpClient& client;
  Metrics& metrics;
  std::string platform_address;
  std::map<std::string, Instance> instances;
  std::map<std::string, pipeline::EndpointView> views;
  pipeline::PlanIndex engines;
  EngineObservers observers;
  std::uint64_t polls = 0;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_DIRECTORY_H_
