#include "store.h"

#include <nlohmann/json.hpp>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kPageSize = 500;
const std::string kPrefix = "/toucanwharf/objects/";
const Headers kJson = {{"Content-Type", "application/json"},
                       {"Keep-Alive", "timeout=30"}};

std::string QueryValue(const Request& request, const std::string& name) {
  const std::string& target = request.target;
  std::size_t start = target.find('?');
  while (start != std::string::npos) {
    const std::size_t end = target.find('&', start + 1);
    const std::string pair = target.substr(
        start + 1, end == std::string::npos ? end : end - start - 1);
    if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    start = end;
  }
  return "";
}

/// Returns part \p index of the path behind the prefix.
std::string Part(const Request& request, int index) {
  std::string rest = request.Path().substr(kPrefix.size());
  for (int i = 0; i < index; ++i) {
    const std::size_t slash = rest.find('/');
    if (slash == std::string::npos) return "";
    rest = rest.substr(slash + 1);
  }
  return rest.substr(0, rest.find('/'));
}

/// Returns the revision that a write is conditional on, 0 if on none.
std::uint64_t Condition(const Request& request, const Json& body) {
  const std::string in_query = QueryValue(request, "revision");
  if (!in_query.empty()) return std::stoull(in_query);
  if (!body.is_object() || !body.contains("metadata")) return 0;
  return body["metadata"].value("revision", std::uint64_t{0});
}

}  // namespace

Store::Store(const std::string& address) {
  Serve(Listen(address), [this](const Request& request, Reply& reply) {
    this->Handle(request, reply);
  });
}

std::string Store::ToText(const std::string& name, const Object& object) {
  return R"({"metadata":{"name":)" + Json(name).dump() +
         ",\"revision\":" + std::to_string(object.revision) +
         ",\"create_rev\":" + std::to_string(object.create_rev) +
         ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
         ",\"status\":" + object.status + "}";
}

void Store::Put(const std::string& kind, const std::string& name,
                const std::string& spec) {
  const std::lock_guard lock(this->mutex);
  Object& object = this->kinds[kind][name];
  object.revision = ++this->revision;
  if (object.create_rev == 0) object.create_rev = object.revision;
  object.spec = spec;
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(this->mutex);
  if (this->kinds[kind].erase(name) > 0) ++this->revision;
}

void Store::Handle(const Request& request, Reply& reply) {
  if (!request.target.starts_with(kPrefix)) {
    reply.Respond(404, kJson, "{}");
    return;
  }
  const std::string name = Part(request, 1);
  if (request.method == "GET" && name.empty()) {
    this->List(request, reply);
    return;
  }
  const std::lock_guard lock(this->mutex);
  Objects& objects = this->kinds[Part(request, 0)];
  if (request.method == "POST") {
    this->Create(request, reply, objects);
    return;
  }
  const auto found = objects.find(name);
  if (found == objects.end()) {
    reply.Respond(404, kJson, "{}");
  } else if (request.method == "GET") {
    reply.Respond(200, kJson, ToText(name, found->second));
  } else if (request.method == "PUT") {
    this->Replace(request, reply, objects, name, Part(request, 2) == "status");
  } else {
    const std::uint64_t condition = Condition(request, Json());
    const bool holds = condition == 0 || condition == found->second.revision;
    const std::string text = ToText(name, found->second);
    if (holds) {
      objects.erase(found);
      ++this->revision;
    }
    reply.Respond(holds ? 200 : 409, kJson, text);
  }
}

void Store::List(const Request& request, Reply& reply) {
  if (!QueryValue(request, "watch").empty()) {
    const std::string wait = QueryValue(request, "wait_ms");
    SleepMs(wait.empty() ? 0 : std::stoll(wait));
    reply.Respond(
        200, kJson,
        "{\"events\":[],\"as_of\":" + QueryValue(request, "watch") + "}");
    return;
  }
  std::string items;
  bool has_more = false;
  std::uint64_t as_of = 0;
  {
    const std::lock_guard lock(this->mutex);
    as_of = this->revision;
    const Objects& objects = this->kinds[Part(request, 0)];
    std::size_t count = 0;
    for (auto next = objects.upper_bound(QueryValue(request, "after"));
         next != objects.end(); ++next) {
      has_more = ++count > kPageSize;
      if (has_more) break;
      if (!items.empty()) items += ",";
      items += ToText(next->first, next->second);
    }
  }
  reply.Respond(200, kJson,
                "{\"items\":[" + items +
                    "],\"has_more\":" + (has_more ? "true" : "false") +
                    ",\"as_of\":" + std::to_string(as_of) + "}");
}

void Store::Create(const Request& request, Reply& reply, Objects& objects) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata")) {
    reply.Respond(400, kJson, "{}");
    return;
  }
  const std::string name = body["metadata"].value("name", "");
  const auto found = objects.find(name);
  if (found != objects.end()) {
    reply.Respond(409, kJson, ToText(name, found->second));
    return;
  }
  Object& object = objects[name];
  object.revision = ++this->revision;
  object.create_rev = object.revision;
  if (body.contains("spec")) object.spec = body["spec"].dump();
  reply.Respond(201, kJson, ToText(name, object));
}

void Store::Replace(const Request& request, Reply& reply, Objects& objects,
                    const std::string& name, bool status) {
  Object& object = objects[name];
  const Json body = Json::parse(request.body, nullptr, false);
  const std::uint64_t condition = Condition(request, body);
  if (condition != 0 && condition != object.revision) {
    reply.Respond(409, kJson, ToText(name, object));
    return;
  }
  const char* member = status ? "status" : "spec";
  const std::string value =
      body.contains(member) ? body[member].dump() : "null";
  std::string& kept = status ? object.status : object.spec;
  if (kept != value) {
    kept = value;
    object.revision = ++this->revision;
  }
  reply.Respond(200, kJson, ToText(name, object));
}

}  // namespace review
