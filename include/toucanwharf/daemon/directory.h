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
  std::vector<Instance> Of(Role role) const;

  /// Returns the live instances of the plain service \p name, by id.
  std::vector<Instance> ServiceInstances(const std::string& name) const;

  /// Returns whether the platform's list was read at least once.
  bool Loaded() const { return this->loaded; }

  /// Sets what is called after each change of the set of instances.
  void OnChange(std::function<void()> callback) {
    this->on_change = std::move(callback);
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
  std::function<void()> on_change;
  bool loaded = false;
  std::uint64_t polls = 0;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_DIRECTORY_H_
