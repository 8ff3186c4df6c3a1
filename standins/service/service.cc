#include "standins/service/service.h"

#include <chrono>
#include <thread>
#include <utility>

#include "standins/token_model.h"

namespace toucanwharf::standins {
namespace {

constexpr const char* kBeforeReading = "close_before_reading";
constexpr const char* kBeforeRun = "close_before_run";
constexpr const char* kAfterRun = "close_after_run";
constexpr const char* kRefuse = "refuse";

bool IsControl(const HttpRequest& request) {
  return request.path == "/faults" || request.path == "/_runs" ||
         request.path == "/healthz";
}

std::string KeyOf(const HttpRequest& request) {
  const auto found = request.headers.find("idempotency-key");
  return found == request.headers.end() ? "" : found->second;
}

}  // namespace

PlainService::PlainService(std::string service_name, std::string instance_id)
    : name(std::move(service_name)), instance(std::move(instance_id)) {}

bool PlainService::ConsumeFault(const std::string& fault) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->faults.find(fault);
  if (found == this->faults.end() || found->second == 0) return false;
  --found->second;
  return true;
}

bool PlainService::CheckHeaders(const HttpRequest& request) {
  return IsControl(request) || !this->ConsumeFault(kBeforeReading);
}

HttpReply PlainService::Handle(const HttpRequest& request) {
  if (request.path == "/healthz") return JsonReply(200, {{"state", "live"}});
  if (request.path == "/faults") return this->SetFaults(request.Json());
  if (request.path == "/_runs") return this->Runs(request);
  if (this->ConsumeFault(kBeforeRun)) return DropReply();
  if (this->ConsumeFault(kRefuse)) {
    HttpReply reply = JsonReply(503, {{"error", "busy"}, {"ran", "no"}});
    reply.headers["Toucanwharf-Ran"] = "no";
    return reply;
  }
  HttpReply reply = this->Run(request);
  return this->ConsumeFault(kAfterRun) ? DropReply() : reply;
}

HttpReply PlainService::SetFaults(const nlohmann::json& body) {
  const std::lock_guard lock(this->mutex);
  if (body.is_object()) {
    this->delay_ms = body.value("delay_ms", this->delay_ms);
    for (const char* fault : {kBeforeReading, kBeforeRun, kAfterRun, kRefuse}) {
      this->faults[fault] = body.value(fault, this->faults[fault]);
    }
  }
  nlohmann::json switches = this->faults;
  switches["delay_ms"] = this->delay_ms;
  return JsonReply(200, switches);
}

HttpReply PlainService::Runs(const HttpRequest& request) {
  const std::lock_guard lock(this->mutex);
  if (request.query.contains("key")) {
    const auto found = this->runs_by_key.find(request.query.at("key"));
    const bool known = found != this->runs_by_key.end();
    return JsonReply(200, {{"key", request.query.at("key")},
                           {"runs", known ? found->second : 0}});
  }
  nlohmann::json repeated = nlohmann::json::array();
  for (const auto& [key, runs] : this->runs_by_key) {
    if (runs > 1) repeated.push_back(key);
  }
  return JsonReply(200, {{"total", this->total},
                         {"keys", this->runs_by_key.size()},
                         {"doubled", repeated},
                         {"by_call", this->runs_by_call}});
}

HttpReply PlainService::Run(const HttpRequest& request) {
  std::uint64_t wait_ms = 0;
  std::uint64_t sequence = 0;
  const std::string key = KeyOf(request);
  {
    const std::lock_guard lock(this->mutex);
    sequence = ++this->total;
    ++this->runs_by_call[request.method + " " + request.path];
    if (!key.empty()) ++this->runs_by_key[key];
    wait_ms = this->delay_ms;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(wait_ms));
  nlohmann::json reply = {{"service", this->name}, {"path", request.path}};
  if (request.method == "GET") {
    // The same for every call and instance, since reads are idempotent.
    reply["certificate"] = std::to_string(HashText(request.path));
    return JsonReply(200, reply);
  }
  reply["entry"] = sequence;
  reply["instance"] = this->instance;
  reply["key"] = key;
  reply["body"] = request.body;
  return JsonReply(200, reply);
}

}  // namespace toucanwharf::standins
