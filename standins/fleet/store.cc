#include "standins/fleet/store.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace toucanwharf::standins::fleet {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kPrefix = "/toucanwharf/objects/";
/// Objects per page; small, so that callers have to fetch several pages.
constexpr std::size_t kPageSize = 5;
/// Kinds whose writers, the operator and the endpoints, keep what they wrote.
constexpr std::array<const char*, 2> kKindsWrittenAgain = {"config", "servers"};
constexpr const char* kEraHeader = "Store-Era";

}  // namespace

Store::Store(http::Loop& event_loop, const std::vector<std::string>& addresses)
    : loop(event_loop), faults(addresses.size(), StoreFault::kNone) {
  for (std::size_t index = 0; index < addresses.size(); ++index) {
    auto server = http::Server::Listen(
        event_loop, addresses[index],
        [this, index](std::shared_ptr<http::Exchange> exchange) {
          this->Handle(index, std::move(exchange));
        });
    if (!server) throw std::runtime_error("the store cannot listen");
    this->servers.push_back(std::move(server.value()));
  }
}

void Store::Put(const std::string& kind, const std::string& name,
                const Json& spec) {
  this->kinds[kind][name] = Object{++this->revision, spec};
  this->written[kind][name] = spec;
}

void Store::PutText(const std::string& kind, const std::string& name,
                    const std::string& text) {
  const std::string stand_in =
      "text " + std::to_string(this->texts.size()) + " of another writer";
  this->texts[Json(stand_in).dump()] = text;
  this->Put(kind, name, stand_in);
}

std::string Store::ToText(const Json& body) const {
  std::string text = body.dump();
  for (const auto& [stand_in, written_text] : this->texts) {
    const std::size_t found = text.find(stand_in);
    if (found != std::string::npos) {
      text.replace(found, stand_in.size(), written_text);
    }
  }
  return text;
}

void Store::Remove(const std::string& kind, const std::string& name) {
  if (this->kinds[kind].erase(name) > 0) ++this->revision;
  this->written[kind][name] = Json();
}

Json Store::Spec(const std::string& kind, const std::string& name) const {
  const auto objects = this->kinds.find(kind);
  if (objects == this->kinds.end()) return Json();
  const auto found = objects->second.find(name);
  return found == objects->second.end() ? Json() : found->second.spec;
}

std::vector<std::string> Store::Names(const std::string& kind) const {
  std::vector<std::string> names;
  const auto objects = this->kinds.find(kind);
  if (objects == this->kinds.end()) return names;
  for (const auto& [name, object] : objects->second) names.push_back(name);
  return names;
}

void Store::ReturnFromCopy() {
  this->kinds = this->copy.kinds;
  this->revision = this->copy.revision;
  ++this->era;
}

void Store::WriteAgain() {
  for (const std::string kind : kKindsWrittenAgain) {
    const auto last = this->written[kind];
    for (const auto& [name, spec] : last) {
      if (this->Spec(kind, name) == spec) continue;
      if (spec.is_null()) {
        this->Remove(kind, name);
      } else {
        this->Put(kind, name, spec);
      }
    }
  }
}

void Store::WriteAgainAfter(Duration delay) {
  this->loop.After(delay, [this] { this->WriteAgain(); });
}

void Store::SetFault(std::size_t address, StoreFault fault) {
  this->faults.at(address) = fault;
}

void Store::Handle(std::size_t address,
                   std::shared_ptr<http::Exchange> exchange) {
  ++this->calls;
  http::ResponseHead head;
  head.headers.Add(kEraHeader, std::to_string(this->era));
  switch (this->faults[address]) {
    case StoreFault::kBusy:
      head.status = http::kUnavailable;
      exchange->Respond(head, "");
      return;
    case StoreFault::kReset:
      exchange->Abort();
      return;
    case StoreFault::kUnresponsive:
      this->unanswered.push_back(std::move(exchange));
      return;
    case StoreFault::kNone:
    case StoreFault::kLosesAnswers:
    case StoreFault::kSlowWrites:
      break;
  }
  const bool writes = exchange->Received().method != "GET";
  if (writes && this->faults[address] == StoreFault::kLosesAnswers) {
    this->Execute(exchange->Received());
    exchange->Abort();
    return;
  }
  if (writes && this->faults[address] == StoreFault::kSlowWrites) {
    this->loop.After(kWriteDelay,
                     [this, exchange] { this->Answer(*exchange); });
    return;
  }
  this->Answer(*exchange);
}

void Store::Answer(http::Exchange& exchange) {
  const Reply reply = this->Execute(exchange.Received());
  http::ResponseHead head;
  head.headers.Add(kEraHeader, std::to_string(this->era));
  head.status = reply.status;
  head.headers.Add("Content-Type", "application/json");
  exchange.Respond(head, this->ToText(reply.body));
}

Store::Reply Store::Execute(const http::Request& request) {
  const std::string_view path = http::PathOf(request.target);
  if (path.substr(0, kPrefix.size()) != kPrefix) return {http::kNotFound, {}};
  const std::string_view rest = path.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string kind(rest.substr(0, slash));
  const bool named = slash != std::string_view::npos;
  const std::string name(named ? rest.substr(slash + 1) : "");
  const Json body = Json::parse(request.body.Text(), nullptr, false);
  if (request.method == "POST") return this->Create(kind, body);
  if (request.method == "PUT") return this->Replace(kind, name, body);
  if (request.method == "DELETE") {
    this->Remove(kind, name);
    return {http::kOk, {}};
  }
  if (!named) {
    return this->List(kind, http::QueryValue(request.target, "after"));
  }
  const auto found = this->kinds[kind].find(name);
  if (found == this->kinds[kind].end()) return {http::kNotFound, {}};
  return {http::kOk, ToJson(name, found->second)};
}

Store::Reply Store::List(const std::string& kind,
                         const std::string& after) const {
  Json items = Json::array();
  bool more = false;
  const auto objects = this->kinds.find(kind);
  if (objects != this->kinds.end()) {
    auto next = objects->second.upper_bound(after);
    for (; next != objects->second.end() && items.size() < kPageSize; ++next) {
      items.push_back(ToJson(next->first, next->second));
    }
    more = next != objects->second.end();
  }
  return {http::kOk,
          {{"items", items}, {"has_more", more}, {"as_of", this->revision}}};
}

Store::Reply Store::Create(const std::string& kind, const Json& body) {
  const std::string name = body.at("metadata").at("name").get<std::string>();
  const auto found = this->kinds[kind].find(name);
  if (found != this->kinds[kind].end()) {
    return {http::kConflict, ToJson(name, found->second)};
  }
  this->Put(kind, name, body.at("spec"));
  return {http::kOk, ToJson(name, this->kinds[kind][name])};
}

Store::Reply Store::Replace(const std::string& kind, const std::string& name,
                            const Json& body) {
  const auto found = this->kinds[kind].find(name);
  if (found == this->kinds[kind].end()) return {http::kNotFound, {}};
  const Json& metadata = body.at("metadata");
  const bool stale = metadata.contains("revision") &&
                     metadata["revision"] != found->second.revision;
  if (stale) return {http::kConflict, ToJson(name, found->second)};
  this->Put(kind, name, body.at("spec"));
  return {http::kOk, ToJson(name, found->second)};
}

Json Store::ToJson(const std::string& name, const Object& object) {
  return {{"metadata", {{"name", name}, {"revision", object.revision}}},
          {"spec", object.spec}};
}

}  // namespace toucanwharf::standins::fleet
