#include "toucanwharf/daemon/directory.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "toucanwharf/support/json.h"
#include "toucanwharf/support/json_text.h"

namespace toucanwharf::daemon {
namespace {

using Json = nlohmann::json;

constexpr Duration kInstancesPollPeriod = std::chrono::seconds(1);
// Loads change with every batch, the status only with orders and failures.
// Requesting the status in every fourth poll still detects a leaving engine
// within 2 s (I5).
constexpr Duration kEnginePollPeriod = std::chrono::milliseconds(500);
constexpr std::uint64_t kPollsPerStatus = 4;
constexpr Duration kPollTimeout = std::chrono::seconds(2);
constexpr int kOk = 200;
constexpr double kMaxNumber = 1e15;
constexpr double kMicrosPerSecond = 1e6;

/// Reads a number, whole or not, of an engine's report. Clamps implausible
/// values, since an out-of-range conversion is undefined.
std::uint64_t NumberOf(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number()) return 0;
  const double value = found->get<double>();
  return static_cast<std::uint64_t>(std::clamp(value, 0.0, kMaxNumber));
}

std::optional<Role> RoleOf(const std::string& name) {
  if (name == "router") return Role::kRouter;
  if (name == "engine") return Role::kEngine;
  if (name == "service") return Role::kService;
  return std::nullopt;
}

std::optional<Instance> InstanceOf(const Json& line) {
  if (!line.is_object()) return std::nullopt;
  const auto role = RoleOf(TextMember(line, "role"));
  if (!role) return std::nullopt;
  Instance instance;
  instance.id = TextMember(line, "id");
  instance.address = TextMember(line, "address");
  instance.role = *role;
  instance.service = TextMember(line, "service");
  instance.failure_domain = TextMember(line, "failure_domain");
  instance.leaving = TextMember(line, "state") == "leaving";
  instance.peer_address = TextMember(line, "peer_address");
  instance.admin_address = TextMember(line, "admin_address");
  if (instance.id.empty() || instance.address.empty()) return std::nullopt;
  return instance;
}

}  // namespace

std::vector<Instance> ParseInstances(std::string_view body) {
  std::vector<Instance> instances;
  const Json parsed = ParseJson(body);
  if (!parsed.is_object()) return instances;
  const auto lines = parsed.find("instances");
  if (lines == parsed.end() || !lines->is_array()) return instances;
  for (const Json& line : *lines) {
    auto instance = InstanceOf(line);
    if (instance) instances.push_back(std::move(*instance));
  }
  return instances;
}

bool ParseEngineStatus(std::string_view body, pipeline::EndpointView& view) {
  const Json parsed = ParseJson(body);
  if (!parsed.is_object()) return false;
  const auto layers = parsed.find("layers");
  if (layers == parsed.end() || !layers->is_object()) return false;
  view.model = TextMember(parsed, "model");
  view.version = TextMember(parsed, "version");
  view.layers.begin = static_cast<std::uint32_t>(NumberOf(*layers, "begin"));
  view.layers.end = static_cast<std::uint32_t>(NumberOf(*layers, "end"));
  view.layer_time = Duration(NumberOf(parsed, "layer_micros"));
  view.state = TextMember(parsed, "state") == "leaving"
                   ? pipeline::EndpointState::kLeaving
                   : pipeline::EndpointState::kLive;
  view.adapters.clear();
  const auto adapters = parsed.find("adapters");
  if (adapters != parsed.end() && adapters->is_array()) {
    for (const Json& adapter : *adapters) {
      if (adapter.is_string()) {
        view.adapters.push_back(adapter.get<std::string>());
      }
    }
  }
  return view.layers.begin < view.layers.end;
}

bool ParseEngineLoad(std::string_view body, pipeline::EndpointView& view) {
  const Json parsed = ParseJson(body);
  if (!parsed.is_object()) return false;
  const double queued = static_cast<double>(NumberOf(parsed, "queued_tokens"));
  const double speed =
      static_cast<double>(NumberOf(parsed, "tokens_per_second"));
  if (speed <= 0) return false;
  view.expected_wait =
      Duration(static_cast<std::int64_t>(queued / speed * kMicrosPerSecond));
  return true;
}

std::uint32_t ParseEngineSlots(std::string_view body) {
  const Json parsed = ParseJson(body);
  if (!parsed.is_object()) return 1;
  const std::uint64_t slots = NumberOf(parsed, "slots");
  return std::max(static_cast<std::uint32_t>(slots), 1U);
}

EngineLoad ParseLoadReport(std::string_view body) {
  EngineLoad load;
  const Json parsed = ParseJson(body);
  if (!parsed.is_object()) return load;
  load.running = static_cast<std::uint32_t>(NumberOf(parsed, "running"));
  load.queued_tokens = static_cast<double>(NumberOf(parsed, "queued_tokens"));
  load.kv_tokens_free = static_cast<double>(NumberOf(parsed, "kv_tokens_free"));
  load.age = std::chrono::milliseconds(NumberOf(parsed, "as_of_ms_ago"));
  return load;
}

Directory::Directory(transport::EventLoop& loop, transport::HttpClient& client,
                     Metrics& metrics, std::string platform_address,
                     const std::string& local_domain)
    : loop(loop),
      client(client),
      metrics(metrics),
      platform_address(std::move(platform_address)),
      engines(local_domain, pipeline::LinkCosts{}) {}

void Directory::Start() {
  this->FetchInstances();
  this->PollEngines();
}

std::vector<Instance> Directory::InstancesWithRole(Role role) const {
  std::vector<Instance> found;
  for (const auto& [id, instance] : this->instances) {
    if (instance.role == role) found.push_back(instance);
  }
  return found;
}

std::vector<Instance> Directory::ServiceInstances(
    const std::string& name) const {
  std::vector<Instance> found;
  for (const auto& [id, instance] : this->instances) {
    if (instance.role != Role::kService || instance.service != name) continue;
    if (!instance.leaving) found.push_back(instance);
  }
  return found;
}

void Directory::FetchInstances() {
  transport::HttpCall call;
  call.url = "http://" + this->platform_address + "/instances";
  call.total_timeout = kPollTimeout;
  this->metrics.Count("toucanwharf_platform_calls_total{call=\"instances\"}");
  const auto on_done = [this](const transport::HttpOutcome& outcome) {
    if (outcome.end == transport::CallEnd::kAnswered && outcome.status == kOk) {
      this->ApplyInstances(outcome.body);
    } else {
      // The last list stays in use: during an outage of the platform the
      // endpoints still run (I2).
      this->metrics.Count(
          "toucanwharf_platform_errors_total{call=\"instances\"}");
    }
    this->loop.After(kInstancesPollPeriod, [this] { this->FetchInstances(); });
  };
  this->client.Start(std::move(call), {nullptr, on_done});
}

void Directory::ApplyInstances(std::string_view body) {
  std::map<std::string, Instance> listed;
  for (Instance& instance : ParseInstances(body)) {
    listed.emplace(instance.id, std::move(instance));
  }
  std::vector<std::string> removed;
  for (const auto& [id, instance] : this->instances) {
    if (!listed.contains(id)) removed.push_back(id);
  }
  for (const std::string& id : removed) this->RemoveInstance(id);
  this->instances = std::move(listed);
  for (const auto& [id, instance] : this->instances) {
    if (instance.role != Role::kEngine) continue;
    const auto known = this->views.find(id);
    if (known == this->views.end()) {
      this->PollEngine(id, /*with_status=*/true);
      continue;
    }
    if (instance.leaving &&
        known->second.state == pipeline::EndpointState::kLive) {
      known->second.state = pipeline::EndpointState::kLeaving;
      this->engines.Update(known->second);
      if (this->observers.on_removed) this->observers.on_removed(id);
    }
  }
}

void Directory::RemoveInstance(const std::string& id) {
  this->instances.erase(id);
  this->views.erase(id);
  this->engines.Remove(id);
  if (this->observers.on_removed) this->observers.on_removed(id);
}

void Directory::PollEngines() {
  ++this->polls;
  const bool with_status = this->polls % kPollsPerStatus == 0;
  for (const auto& [id, view] : this->views) this->PollEngine(id, with_status);
  this->loop.After(kEnginePollPeriod, [this] { this->PollEngines(); });
}

void Directory::PollEngine(const std::string& id, bool with_status) {
  const auto instance = this->instances.find(id);
  if (instance == this->instances.end()) return;
  transport::HttpCall call;
  call.url = "http://" + instance->second.address +
             (with_status ? "/v1/status" : "/v1/load");
  call.total_timeout = kPollTimeout;
  call.max_body_bytes = transport::kMaxReportBytes;
  const auto on_done = [this, id,
                        with_status](const transport::HttpOutcome& outcome) {
    if (outcome.end != transport::CallEnd::kAnswered) {
      this->metrics.Count("toucanwharf_engine_poll_errors_total");
      return;
    }
    if (outcome.status != kOk) return;
    if (with_status) {
      this->ApplyStatus(id, outcome);
    } else {
      this->ApplyLoad(id, outcome);
    }
  };
  this->client.Start(std::move(call), {nullptr, on_done});
}

void Directory::ApplyStatus(const std::string& id,
                            const transport::HttpOutcome& outcome) {
  const auto instance = this->instances.find(id);
  if (instance == this->instances.end()) return;
  pipeline::EndpointView view;
  const auto known = this->views.find(id);
  if (known != this->views.end()) view = known->second;
  view.id = id;
  view.address = instance->second.address;
  view.failure_domain = instance->second.failure_domain;
  if (!ParseEngineStatus(outcome.body, view)) return;
  if (instance->second.leaving) view.state = pipeline::EndpointState::kLeaving;
  this->views[id] = view;
  this->engines.Update(view);
  if (this->observers.on_status) {
    this->observers.on_status(view, ParseEngineSlots(outcome.body));
  }
}

void Directory::ApplyLoad(const std::string& id,
                          const transport::HttpOutcome& outcome) {
  const auto known = this->views.find(id);
  if (known == this->views.end()) return;
  if (!ParseEngineLoad(outcome.body, known->second)) return;
  this->engines.Update(known->second);
  if (this->observers.on_load) {
    this->observers.on_load(id, ParseLoadReport(outcome.body));
  }
}

}  // namespace toucanwharf::daemon
