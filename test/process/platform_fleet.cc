#include "test/process/platform_fleet.h"

#include <stdlib.h>  // NOLINT(modernize-deprecated-headers): mkdtemp is POSIX

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <stdexcept>
#include <utility>

namespace toucanwharf::process_test {
namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr const char* kModelService = "model-service";
constexpr const char* kPlainService = "plain-service";
constexpr const char* kSecondModelService = "second-model-service";
constexpr const char* kDomains[] = {"domain-a", "domain-b"};
/// Four engines hold the cover of a domain, one is a spare.
constexpr int kEnginesPerDomain = 5;
constexpr int kPlainEndpoints = 2;
constexpr int kDefaultGraceSeconds = 8;
constexpr const char* kEndpointIpPrefix = "127.0.2.";

int PortOf(const std::string& address) {
  return std::stoi(address.substr(address.rfind(':') + 1));
}

int FreePort() { return PortOf(FreeAddress()); }

Json RouteJson(const char* prefix, const char* kind, const char* service,
               bool open) {
  return {{"name", std::string("route") + prefix},
          {"host", PlatformFleet::kHost},
          {"path_prefix", prefix},
          {"kind", kind},
          {"timeout_ms", 5000},
          {"slo_ms", 500},
          {"priority", 1},
          {"service", service},
          {"max_attempts", std::string(kind) == "unsafe" ? 1 : 2},
          {"public", open},
          {"resumable", std::string(kind) == "stream"}};
}

/// An engine can hold three layers with capacity for the expected load, and six
/// with capacity for little.
Json EngineJson() {
  return {
      {"slots", 64},
      {"kv_token_bytes", 100000},
      {"stride", 1},
      {"models", {{{"name", "model"}, {"load_s", 1.0}}}},
      {"step_ms", 1.0},
      {"per_seq_ms", 0.005},
      {"context_per_k", 0.006},
      {"read_per_s", 100000.0},
      {"chunk", 512},
      {"loads_at_once", 6},
      {"delays", Json::array()},
      {"usual", {{"prompt", 100}, {"answer", 100}}},
      {"layers", PlatformFleet::kLayers},
      {"layer_mb", 100.0},
      {"kinds",
       {{{"name", "big"}, {"mb", 1000.0}, {"pace", 1.0}, {"read_x", 1.0}}}}};
}

}  // namespace

PlatformFleet::PlatformFleet(std::size_t count, bool second_model,
                             bool store_links, const ArrivalBound& arrivals,
                             const MachineLimits& machine)
    : has_second_model(second_model),
      arrival_bound(arrivals),
      machine_limits(machine),
      ports{FreePort(), FreePort(), FreePort(),
            FreePort(), FreePort(), FreePort()} {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "toucanwharf-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a directory for settings");
  }
  this->directory = pattern;
  for (std::size_t index = 0; index < count; ++index) {
    this->store_addresses.push_back(FreeAddress());
  }
  this->loop = std::make_unique<http::Loop>();
  this->store = std::make_unique<standins::fleet::Store>(*this->loop,
                                                         this->store_addresses);
  this->endpoints = std::make_unique<standins::fleet::Endpoints>(
      *this->loop, *this->store, kLayers);
  this->links = std::make_unique<standins::fleet::LinkFilter>(
      *this->loop, kEndpointIpPrefix);
  for (std::size_t index = 0; store_links && index < count; ++index) {
    std::string& address = this->store_addresses[index];
    auto relay = std::make_unique<standins::Relay>(PortOf(address));
    address = "127.0.0.1:" + std::to_string(relay->Start(0));
    this->store_relays.push_back(relay.release());
  }
  this->AddEndpoints();
  this->thread = std::thread([this] { this->loop->Run(); });
  this->Configure({kKey, kOtherKey});
  this->routers.resize(count);
  for (std::size_t index = 0; index < count; ++index) this->StartRouter(index);
  const bool ready = Eventually(
      [this, count] {
        for (std::size_t index = 0; index < count; ++index) {
          const bool named = this->Advice(index).size() == count;
          if (!named || !this->Ready(index)) return false;
        }
        return this->Stream(0, "first-look").answer.status == http::kOk;
      },
      15000);
  if (ready) return;
  // No destructor runs for an object whose constructor throws.
  this->Shutdown();
  throw std::runtime_error("the fleet did not get ready; logs in " +
                           this->directory);
}

void PlatformFleet::Shutdown() {
  this->routers.clear();
  this->loop->Stop();
  this->thread.join();
}

PlatformFleet::~PlatformFleet() {
  this->Shutdown();
  this->endpoints.reset();
  this->links.reset();
  this->store.reset();
  this->loop.reset();
  std::filesystem::remove_all(this->directory);
}

void PlatformFleet::AddEndpoints() {
  int number = 0;
  const auto address = [this, &number] {
    return kEndpointIpPrefix + std::to_string(++number) + ":" +
           std::to_string(this->ports.service);
  };
  for (const char* domain : kDomains) {
    for (int i = 0; i < kEnginesPerDomain; ++i) {
      this->endpoints->Add({std::string(domain) + "-" + std::to_string(i),
                            kModelService, address(), domain, "big"});
    }
  }
  for (int i = 0; this->has_second_model && i < kEnginesPerDomain; ++i) {
    this->endpoints->Add({"other-" + std::to_string(i), kSecondModelService,
                          address(), kDomains[0], "big"});
  }
  for (int i = 0; i < kPlainEndpoints; ++i) {
    this->endpoints->Add({"plain-" + std::to_string(i), kPlainService,
                          address(), kDomains[i], ""});
  }
}

void PlatformFleet::RunOnLoop(const std::function<void()>& act) {
  std::promise<void> done;
  this->loop->Post([&] {
    act();
    done.set_value();
  });
  done.get_future().get();
}

void PlatformFleet::CutLinks(std::size_t index, standins::fleet::LinkFault how,
                             const std::vector<std::string>& ids) {
  this->RunOnLoop([&] {
    std::vector<std::string> targets;
    for (const std::string& id : ids) {
      const std::string address = this->endpoints->AddressOf(id);
      targets.push_back(address.substr(0, address.find(':')));
    }
    this->links->Cut(this->RouterIp(index), how, targets);
  });
}

void PlatformFleet::HealLinks(std::size_t index) {
  this->RunOnLoop([&] { this->links->Heal(this->RouterIp(index)); });
}

std::vector<std::string> PlatformFleet::EngineIds() {
  std::vector<std::string> ids;
  for (const char* domain : kDomains) {
    for (int i = 0; i < kEnginesPerDomain; ++i) {
      ids.push_back(std::string(domain) + "-" + std::to_string(i));
    }
  }
  return ids;
}

std::vector<std::string> PlatformFleet::PlainIds() {
  std::vector<std::string> ids;
  for (int i = 0; i < kPlainEndpoints; ++i) {
    ids.push_back("plain-" + std::to_string(i));
  }
  return ids;
}

void PlatformFleet::Reconfigure() { this->Configure(this->configured_keys); }

void PlatformFleet::Configure(const std::vector<std::string>& keys) {
  this->configured_keys = keys;
  // Versions differ in a route and in the time after which idle connections of
  // callers are closed.
  const std::string added = "/added-" + std::to_string(this->version) + "/";
  const std::uint64_t idle_ms = 4000 + 1000 * (this->version % 3);
  Json customers = Json::array();
  for (const std::string& key : keys) {
    customers.push_back({{"name", "holder-of-" + key}, {"api_keys", {key}}});
  }
  Json limits = {{"idle_timeout_ms", idle_ms}};
  if (this->machine_limits.max_body_bytes > 0) {
    limits["max_body_bytes"] = this->machine_limits.max_body_bytes;
  }
  const Json configuration = {
      {"version", ++this->version},
      {"routes",
       {RouteJson("/read/", "safe", kPlainService, false),
        RouteJson("/sign/", "unsafe", kPlainService, false),
        RouteJson("/open/", "safe", kPlainService, true),
        RouteJson("/chat/", "stream", kModelService, false),
        RouteJson("/other/", "stream", kSecondModelService, false),
        RouteJson(added.c_str(), "safe", kPlainService, false)}},
      {"services",
       {{{"name", kPlainService}, {"max_conns", 64}},
        {{"name", kModelService}, {"max_conns", 64}, {"engine", EngineJson()}},
        {{"name", kSecondModelService},
         {"max_conns", 64},
         {"engine", EngineJson()}}}},
      {"limits", limits},
      {"tenants", customers}};
  this->RunOnLoop([&] { this->store->Put("config", "main", configuration); });
}

void PlatformFleet::ReturnStore(std::chrono::milliseconds away) {
  const auto set_all = [this](standins::fleet::StoreFault fault) {
    for (std::size_t index = 0; index < this->routers.size(); ++index) {
      this->store->SetFault(index, fault);
    }
  };
  this->RunOnLoop([&] { set_all(standins::fleet::StoreFault::kReset); });
  std::this_thread::sleep_for(away);
  this->RunOnLoop([&] {
    this->store->ReturnFromCopy();
    set_all(standins::fleet::StoreFault::kNone);
  });
}

std::string PlatformFleet::RouterIp(std::size_t index) const {
  return "127.0.1." + std::to_string(index + 1);
}

std::string PlatformFleet::CallersAddress(std::size_t index) const {
  return this->AddressOf(index, Listener::kCallers);
}

std::string PlatformFleet::AddressOf(std::size_t index,
                                     Listener listener) const {
  const std::map<Listener, int> known = {
      {Listener::kCallers, this->ports.callers},
      {Listener::kReady, this->ports.ready},
      {Listener::kControl, this->ports.control},
      {Listener::kDirectory, this->ports.directory}};
  return this->RouterIp(index) + ":" + std::to_string(known.at(listener));
}

std::string PlatformFleet::WriteSettings(std::size_t index) const {
  const std::string ip = this->RouterIp(index);
  const std::string path =
      this->directory + "/router-" + std::to_string(index) + ".conf";
  const auto listen = [&](int port) { return ip + ":" + std::to_string(port); };
  std::ofstream file(path);
  file << "node_name=router-" << index << "\n"
       << "zone=" << kDomains[index % 2] << "\n"
       << "ip=" << ip << "\n"
       << "calls_from=" << ip << "\n"
       << "listen.front=" << listen(this->ports.callers) << "\n"
       << "listen.ready=" << listen(this->ports.ready) << "\n"
       << "listen.control=" << listen(this->ports.control) << "\n"
       << "listen.directory=" << listen(this->ports.directory) << "\n"
       << "port_range=" << this->ports.datagrams << "\n"
       << "provider.addr=" << this->store_addresses[index] << "\n"
       << "bounds.strict_revoke=true\nbounds.revoke_ms=2500\n"
       << "bounds.config_ms=2000\nbounds.drain_ms=2000\n"
       << "bounds.grace_s="
       << (this->machine_limits.grace_seconds > 0
               ? this->machine_limits.grace_seconds
               : kDefaultGraceSeconds)
       << "\nbounds.budget_window_s=10\n"
       << "bounds.budget_ratio=" << this->arrival_bound.ratio << "\n"
       << "bounds.budget_slack=" << this->arrival_bound.slack << "\n"
       << "a.field.to.come=ignored\n";
  if (this->machine_limits.memory_mb > 0) {
    file << "limits.memory_mb=" << this->machine_limits.memory_mb << "\n";
  }
  if (this->machine_limits.max_descriptors > 0) {
    file << "limits.max_fds=" << this->machine_limits.max_descriptors << "\n";
  }
  return path;
}

void PlatformFleet::StartRouter(std::size_t index) {
  setenv("TOUCANWHARF_BOOT", this->WriteSettings(index).c_str(), 1);
  // The previous process may still hold the addresses.
  this->routers.at(index).reset();
  this->routers.at(index) = std::make_unique<Process>(
      "toucanwharfd", std::vector<std::string>{"--platform"},
      this->LogOf(index), Process::OutputTo::kLog);
}

std::string PlatformFleet::LogOf(std::size_t index) const {
  return this->directory + "/router-" + std::to_string(index) + ".log";
}

Answer PlatformFleet::Plain(std::size_t index, const std::string& path,
                            const std::string& id, const std::string& key,
                            const std::string& body) {
  Call call;
  call.method = path.starts_with("/sign/") ? "POST" : "GET";
  call.url = this->CallersAddress(index) + path;
  call.headers = {std::string("Host: ") + kHost, "X-Request-Id: " + id,
                  "X-Deadline-Ms: 4000"};
  if (!key.empty()) call.headers.push_back("Authorization: Token " + key);
  call.body = body;
  if (call.method == "POST" && body.empty()) call.body = "the body of " + id;
  return Send(call);
}

EventStream PlatformFleet::Stream(std::size_t index, const std::string& id,
                                  const std::string& path,
                                  std::size_t disconnect_after,
                                  const std::string& body,
                                  const std::string& parts) {
  EventStream stream;
  std::string text;
  auto last = Clock::now();
  Call call;
  call.method = "POST";
  call.url = this->CallersAddress(index) + path;
  call.headers = {std::string("Host: ") + kHost, "X-Request-Id: " + id,
                  "X-Deadline-Ms: 5000", "X-Token-Counts: 100,100",
                  std::string("Authorization: Token ") + kKey};
  if (!parts.empty()) call.headers.push_back("X-Prompt-Prefix: " + parts);
  call.body = body;
  call.on_data = [&](const std::string& bytes) {
    text += bytes;
    const auto now = Clock::now();
    const auto pause =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - last);
    if (!stream.ids.empty()) {
      stream.max_gap_ms =
          std::max<std::int64_t>(stream.max_gap_ms, pause.count());
    }
    last = now;
    for (std::size_t end = text.find("\n\n"); end != std::string::npos;
         end = text.find("\n\n")) {
      stream.ids.push_back(std::atoi(text.c_str() + sizeof("id:")));
      text.erase(0, end + 2);
    }
    return disconnect_after == 0 || stream.ids.size() < disconnect_after;
  };
  stream.answer = Send(call);
  return stream;
}

bool PlatformFleet::Ready(std::size_t index) {
  Call call;
  call.url = this->RouterIp(index) + ":" + std::to_string(this->ports.ready) +
             "/toucanwharf/readyz";
  call.timeout_ms = 1000;
  return Send(call).status == http::kOk;
}

std::string PlatformFleet::Metrics(std::size_t index) {
  Call call;
  call.url = this->RouterIp(index) + ":" + std::to_string(this->ports.control) +
             "/metrics";
  call.timeout_ms = 1000;
  return Send(call).body;
}

std::vector<std::string> PlatformFleet::Advice(std::size_t index) {
  Call call;
  call.url = this->RouterIp(index) + ":" +
             std::to_string(this->ports.directory) +
             "/toucanwharf/resolve?name=calls.example&zone=domain-a";
  call.timeout_ms = 1000;
  const Json answer = Send(call).Json();
  if (!answer.is_object() || !answer.contains("addrs")) return {};
  return answer["addrs"].get<std::vector<std::string>>();
}

bool PlatformFleet::Eventually(const std::function<bool()>& holds, int millis) {
  constexpr auto kPause = std::chrono::milliseconds(50);
  const auto until = Clock::now() + std::chrono::milliseconds(millis);
  while (Clock::now() < until) {
    if (holds()) return true;
    std::this_thread::sleep_for(kPause);
  }
  return holds();
}

std::vector<standins::fleet::Run> PlatformFleet::RunsOf(const std::string& id) {
  std::vector<standins::fleet::Run> found;
  this->RunOnLoop([&] {
    for (const auto& run : this->endpoints->Runs()) {
      if (run.request_id == id) found.push_back(run);
    }
  });
  return found;
}

}  // namespace toucanwharf::process_test
