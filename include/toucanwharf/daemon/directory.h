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

/// What kind of process an instance of the platform's list runs.
enum class Role { kRouter, kEngine, kService };

/// One line of the platform's list.
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

/// Reads the body of `GET /instances`; lines that make no sense are left out.
/// Thread safety: safe.
std::vector<Instance> ParseInstances(std::string_view body);

/// Reads an engine's `GET /v1/status` into \p view; false when it makes none.
/// Thread safety: safe.
bool ParseEngineStatus(std::string_view body, pipeline::EndpointView& view);

/// Reads an engine's `GET /v1/load` into \p view; false when it makes none.
/// Thread safety: safe.
bool ParseEngineLoad(std::string_view body, pipeline::EndpointView& view);

/// An engine's word on its load.
struct EngineLoad {
  std::uint32_t running = 0;
  double queued_tokens = 0;
  double kv_tokens_free = 0;
  /// How old the figures were when the engine sent them.
  Duration age{0};

  friend bool operator==(const EngineLoad&, const EngineLoad&) = default;
};

/// What follows the engines, besides the plans: admission.
struct EngineObservers {
  /// A status came: what the engine holds, and how many answers it runs at
  /// once.
  std::function<void(const pipeline::EndpointView&, std::uint32_t slots)>
      on_status;
  std::function<void(const std::string& id, const EngineLoad&)> on_load;
  std::function<void(const std::string& id)> on_gone;
};

/// Reads the number of slots from an engine's `GET /v1/status`, at least 1.
/// Thread safety: safe.
std::uint32_t ParseEngineSlots(std::string_view body);

/// Reads the load from an engine's `GET /v1/load`.
/// Thread safety: safe.
EngineLoad ParseLoadReport(std::string_view body);

/// All instances that this router knows, and what the engines among them hold.
///
/// The platform's list lags, so that an engine's own word, which comes with
/// its status, goes before it.
/// Thread safety: none; for the loop's thread.
class Directory {
 public:
  /// Precondition: all references outlive the directory.
  Directory(transport::EventLoop& loop, transport::HttpClient& client,
            Metrics& metrics, std::string platform_address,
            const std::string& own_domain);

  /// Begins to ask the platform and the engines, again and again.
  /// Precondition: called once.
  void Start();

  /// Returns the engines that plans are made of.
  pipeline::PlanIndex& Engines() { return this->engines; }
  const pipeline::PlanIndex& Engines() const { return this->engines; }

  /// Returns the instances of \p role, live and leaving, by id.
  std::vector<Instance> InstancesWithRole(Role role) const;

  /// Returns the live instances of the plain service \p name, by id.
  std::vector<Instance> ServiceInstances(const std::string& name) const;

  /// Sets who is told about the engines. Precondition: before Start().
  void SetObservers(EngineObservers new_watchers) {
    this->watchers = std::move(new_watchers);
  }

 private:
  void AskForList();
  void TakeList(std::string_view body);
  void Forget(const std::string& id);
  void AskEngine(const std::string& id, bool with_status);
  void TakeStatus(const std::string& id, const transport::HttpOutcome& outcome);
  void TakeLoad(const std::string& id, const transport::HttpOutcome& outcome);
  void PollEngines();

  transport::EventLoop& loop;
  transport::HttpClient& client;
  Metrics& metrics;
  std::string platform_address;
  std::map<std::string, Instance> instances;
  std::map<std::string, pipeline::EndpointView> views;
  pipeline::PlanIndex engines;
  EngineObservers watchers;
  std::uint64_t polls = 0;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_DIRECTORY_H_
