#include "standins/platform/api.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace toucanwharf::standins {
namespace {

constexpr std::uint64_t kMaxWaitMs = 60000;
constexpr std::chrono::milliseconds kOutagePollInterval{20};

HttpReply Error(int status, const std::string& message) {
  return JsonReply(status, {{"error", message}});
}

std::optional<std::uint64_t> IfVersion(const nlohmann::json& body) {
  const auto found = body.find("if_version");
  if (found == body.end() || !found->is_number_unsigned()) return std::nullopt;
  return found->get<std::uint64_t>();
}

std::string EventText(const StoreEvent& event) {
  return std::string("{\"type\":\"") + (event.put ? "put" : "delete") +
         "\",\"object\":" + event.object->Text() + "}";
}

HttpReply TextReply(std::string body) {
  HttpReply reply;
  reply.body = std::move(body);
  return reply;
}

}  // namespace

void PlatformApi::SetListLag(std::chrono::milliseconds lag) {
  this->faults.Set({{"list_lag_ms", lag.count()}});
  this->instances.SetLag(lag);
}

HttpReply PlatformApi::Handle(const HttpRequest& request) {
  if (auto reply = this->Control(request)) return *std::move(reply);
  std::this_thread::sleep_for(this->faults.Delay());
  const std::vector<std::string> parts =
      absl::StrSplit(request.path.substr(1), absl::MaxSplits('/', 2));
  if (parts[0] == "instances") {
    this->faults.Count("instances");
    if (this->faults.Outage()) return this->Unavailable();
    return JsonReply(200, this->instances.Visible());
  }
  if (parts[0] == "watch" && parts.size() == 2) {
    this->faults.Count("watch");
    return this->Watch(request, parts[1]);
  }
  if (parts[0] == "objects" && parts.size() >= 2) {
    return this->Object(request, parts[1], parts.size() > 2 ? parts[2] : "");
  }
  return Error(404, "no such call");
}

std::optional<HttpReply> PlatformApi::Control(const HttpRequest& request) {
  if (request.path == "/counters") {
    return JsonReply(200, this->faults.Counters());
  }
  if (request.path == "/faults") {
    const nlohmann::json body = request.Json();
    if (body.is_object()) {
      this->faults.Set(body);
      const nlohmann::json switches = this->faults.Get();
      this->instances.SetLag(
          std::chrono::milliseconds(switches.at("list_lag_ms").get<int>()));
      this->store.WakeWatches();
    }
    return JsonReply(200, this->faults.Get());
  }
  if (request.path == "/instances" && request.method == "POST") {
    const nlohmann::json body = request.Json();
    if (!body.is_object() || !body.contains("id")) {
      return Error(400, "an instance with an id is needed");
    }
    this->instances.Put(body);
    return JsonReply(200, body);
  }
  constexpr std::string_view kInstance = "/instances/";
  if (request.path.starts_with(kInstance) && request.method == "DELETE") {
    this->instances.Remove(request.path.substr(kInstance.size()));
    return JsonReply(200, nlohmann::json::object());
  }
  return std::nullopt;
}

HttpReply PlatformApi::Unavailable() {
  if (!this->faults.Unresponsive()) return Error(503, "outage");
  const auto start = std::chrono::steady_clock::now();
  const std::chrono::milliseconds max_wait(kMaxWaitMs);
  while (this->faults.Outage() &&
         std::chrono::steady_clock::now() - start < max_wait) {
    std::this_thread::sleep_for(kOutagePollInterval);
  }
  return DropReply();
}

HttpReply PlatformApi::Object(const HttpRequest& request,
                              const std::string& collection,
                              const std::string& name) {
  const bool list = name.empty();
  const std::string& method = request.method;
  this->faults.Count(method == "PUT"      ? "put"
                     : method == "DELETE" ? "delete"
                     : list               ? "list"
                                          : "get");
  if (this->faults.Outage()) return this->Unavailable();
  if (method == "GET") {
    return list ? this->List(collection) : this->Get(collection, name);
  }
  if (method == "PUT" && !list) return this->Put(request, collection, name);
  if (method == "DELETE" && !list) {
    return this->Delete(request, collection, name);
  }
  return Error(405, "GET, PUT or DELETE");
}

HttpReply PlatformApi::Get(const std::string& collection,
                           const std::string& name) {
  const ObjectPtr object =
      this->store.Get(collection, name, this->faults.ConsumeStaleRead());
  if (object == nullptr) return Error(404, "no such object");
  return TextReply(object->Text());
}

HttpReply PlatformApi::List(const std::string& collection) {
  const ListResult list =
      this->store.List(collection, this->faults.ConsumeStaleRead());
  std::vector<std::string> items;
  for (const ObjectPtr& object : list.items) items.push_back(object->Text());
  return TextReply("{\"revision\":" + std::to_string(list.revision) +
                   ",\"items\":[" + absl::StrJoin(items, ",") + "]}");
}

HttpReply PlatformApi::Put(const HttpRequest& request,
                           const std::string& collection,
                           const std::string& name) {
  const nlohmann::json body = request.Json();
  if (!body.is_object() || !body.contains("value") ||
      !body.value("writer", nlohmann::json()).is_string()) {
    return Error(400, "writer and value are needed");
  }
  StoredObject object;
  object.collection = collection;
  object.name = name;
  object.writer = body.at("writer").get<std::string>();
  object.value = body.at("value").dump();
  if (object.value.size() > kValueLimit) {
    return Error(413, "the value is over 1048576 bytes");
  }
  return this->WriteReply(this->store.Put(std::move(object), IfVersion(body)));
}

HttpReply PlatformApi::Delete(const HttpRequest& request,
                              const std::string& collection,
                              const std::string& name) {
  std::optional<std::uint64_t> condition;
  if (request.query.contains("if_version")) {
    condition = request.Number("if_version", 0);
  }
  return this->WriteReply(this->store.Delete(collection, name, condition));
}

HttpReply PlatformApi::WriteReply(const WriteResult& result) {
  if (this->faults.ConsumeLostAnswer()) return DropReply();
  if (result.missing) return Error(404, "no such object");
  return JsonReply(result.done ? 200 : 409, {{"version", result.version}});
}

HttpReply PlatformApi::Watch(const HttpRequest& request,
                             const std::string& collection) {
  if (this->faults.Outage()) return this->Unavailable();
  const std::uint64_t wait = std::min(request.Number("wait_ms", 0), kMaxWaitMs);
  const WatchResult result = this->store.Watch(
      collection, request.Number("after", 0), std::chrono::milliseconds(wait),
      [this] { return this->faults.Outage(); });
  if (this->faults.Outage()) return this->Unavailable();
  if (result.too_old) return Error(410, "list again");
  std::vector<std::string> events;
  for (const StoreEvent& event : result.events) {
    events.push_back(EventText(event));
  }
  return TextReply("{\"revision\":" + std::to_string(result.revision) +
                   ",\"events\":[" + absl::StrJoin(events, ",") + "]}");
}

}  // namespace toucanwharf::standins
