#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr const char* kObjects = "/toucanwharf/objects/";
constexpr const char* kProgram = "target/toucanwharfd";
constexpr const char* kZones[] = {"casa-a", "casa-b", "berrechid"};
constexpr const char* kService = "lot-records";

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string::npos) return "";
  std::size_t at = target.find(name + "=", mark);
  if (at == std::string::npos) return "";
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

Json RouteOf(const std::string& prefix, const std::string& kind) {
  return {{"name", "route-of" + prefix},
          {"host", Fleet::kHost},
          {"path_prefix", prefix},
          {"kind", kind},
          {"service", kService},
          {"timeout_ms", 20000},
          {"slo_ms", 300},
          {"priority", 2},
          {"max_attempts", kind == "unsafe" ? 1 : 2},
          {"public", false}};
}

}  // namespace

Record::Record(const std::string& path) : file(std::fopen(path.c_str(), "w")) {
  if (this->file == nullptr) throw std::runtime_error("cannot write " + path);
}

Record::~Record() { std::fclose(this->file); }

std::int64_t Record::Now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               this->start)
      .count();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  std::fprintf(this->file, "%6lld ms  %s\n",
               static_cast<long long>(this->Now()), text.c_str());
  std::fflush(this->file);
}

Store::Store(const std::string& ip, int port)
    : server(std::make_unique<Server>(
          ip, port, [this](const Request& request, Peer& peer) {
            return this->Handle(request, peer);
          })) {}

std::uint64_t Store::Put(const std::string& kind, const std::string& name,
                         const std::string& spec) {
  const std::lock_guard lock(this->mutex);
  Object& object = this->kinds[kind][name];
  object.revision = ++this->revision;
  if (object.created == 0) object.created = object.revision;
  object.spec = spec;
  return object.revision;
}

void Store::Touch(const std::string& kind, const std::string& name,
                  const std::string& spec) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->kinds[kind].find(name);
  if (found != this->kinds[kind].end()) found->second.spec = spec;
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard lock(this->mutex);
  if (this->kinds[kind].erase(name) > 0) ++this->revision;
}

void Store::KeepCopy() {
  const std::lock_guard lock(this->mutex);
  this->copy = this->kinds;
  this->copied_revision = this->revision;
}

void Store::SetAway(bool is_away) {
  const std::lock_guard lock(this->mutex);
  this->away = is_away;
}

void Store::ReturnFromCopy() {
  const std::lock_guard lock(this->mutex);
  this->kinds = this->copy;
  this->revision = this->copied_revision;
  ++this->era;
  this->away = false;
}

std::string Store::ObjectText(const std::string& name,
                              const Object& object) const {
  return "{\"metadata\":{\"name\":" + Json(name).dump() +
         ",\"revision\":" + std::to_string(object.revision) +
         ",\"create_rev\":" + std::to_string(object.created) +
         ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
         ",\"status\":" + object.status + "}";
}

std::string Store::ListText(const std::string& kind,
                            const std::string& after) const {
  std::string items;
  const auto objects = this->kinds.find(kind);
  if (objects != this->kinds.end()) {
    for (const auto& [name, object] : objects->second) {
      if (!after.empty() && name <= after) continue;
      if (!items.empty()) items += ",";
      items += this->ObjectText(name, object);
    }
  }
  return "{\"items\":[" + items +
         "],\"has_more\":false,\"as_of\":" + std::to_string(this->revision) +
         "}";
}

bool Store::Handle(const Request& request, Peer& peer) {
  std::unique_lock lock(this->mutex);
  const HeaderList json_type = {{"Content-Type", "application/json"},
                                {"Store-Era", std::to_string(this->era)}};
  if (this->away) return peer.Respond(503, json_type, "{}");
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path.rfind(kObjects, 0) != 0) return peer.Respond(404, json_type, "{}");
  const std::string rest = path.substr(std::string(kObjects).size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::size_t status_part = name.rfind("/status");
  const bool of_status = status_part != std::string::npos;
  if (of_status) name.resize(status_part);
  auto& objects = this->kinds[kind];
  if (request.method == "GET" && name.empty()) {
    const std::string text =
        this->ListText(kind, QueryValue(request.target, "after"));
    lock.unlock();
    return peer.Respond(200, json_type, text);
  }
  const Json body = Json::parse(request.body, nullptr, false);
  const Json metadata = body.is_object() && body.contains("metadata")
                            ? body["metadata"]
                            : Json::object();
  if (request.method == "POST" && metadata.contains("name")) {
    name = metadata["name"].get<std::string>();
  }
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  if (request.method == "POST" && exists) {
    return peer.Respond(409, json_type, this->ObjectText(name, found->second));
  }
  if (request.method != "POST" && !exists) {
    return peer.Respond(404, json_type, "{}");
  }
  if (request.method == "GET") {
    return peer.Respond(200, json_type, this->ObjectText(name, found->second));
  }
  std::string expected = QueryValue(request.target, "revision");
  if (metadata.contains("revision")) expected = metadata["revision"].dump();
  if (exists && !expected.empty() &&
      expected != std::to_string(found->second.revision)) {
    return peer.Respond(409, json_type, this->ObjectText(name, found->second));
  }
  ++this->revision;
  if (request.method == "DELETE") {
    objects.erase(found);
    return peer.Respond(200, json_type, "{}");
  }
  Object& object = objects[name];
  object.revision = this->revision;
  if (object.created == 0) object.created = this->revision;
  std::string& part = of_status ? object.status : object.spec;
  part = body.value(of_status ? "status" : "spec", Json()).dump();
  return peer.Respond(200, json_type, this->ObjectText(name, object));
}

Runner::Runner(Store& platform_store, Record& run_record,
               RunnerSpec runner_spec, Work to_do)
    : store(platform_store),
      record(run_record),
      spec(std::move(runner_spec)),
      work(std::move(to_do)),
      born(UnixMillis()),
      server(
          std::make_unique<Server>(this->spec.ip, this->spec.port,
                                   [this](const Request& request, Peer& peer) {
                                     return this->Handle(request, peer);
                                   })) {
  this->Register("ready");
}

void Runner::Register(const std::string& state) {
  const Json entry = {
      {"service", kService},
      {"addr", this->spec.ip + ":" + std::to_string(this->spec.port)},
      {"zone", this->spec.zone},
      {"version", "1"},
      {"slots", 6},
      {"state", state},
      {"cold_ms", 0},
      {"seq", 1},
      {"born", this->born}};
  const auto revision = this->store.Put("servers", this->spec.id, entry.dump());
  this->record.Line("store: " + this->spec.id + " is " + state +
                    ", acknowledged at revision " + std::to_string(revision));
}

void Runner::Drain() { this->Register("draining"); }

void Runner::Crash() {
  this->record.Line(this->spec.id + " crashes");
  this->ended = true;
  this->server->Crash();
}

std::string Runner::StampOf(const Request& request) const {
  return this->spec.id + "." + HeaderOf(request.headers, "X-Request-Id");
}

bool Runner::Handle(const Request& request, Peer& peer) {
  const std::string id = HeaderOf(request.headers, "X-Request-Id");
  if (request.target == "/healthz") {
    return peer.Respond(200, {{"X-Instance", this->spec.id}}, "");
  }
  const std::string expected = HeaderOf(request.headers, "X-Expect-Instance");
  if (!expected.empty() && expected != this->spec.id) {
    this->record.Line(this->spec.id + " turns " + id + " away with 421");
    return peer.Respond(421, {{"X-Request-Id", id}, {"X-Not-Run", "1"}}, "");
  }
  this->record.Line(this->spec.id + " runs " + id + " (" + request.method +
                    " " + request.target + ")");
  return this->work(request, peer);
}

Fleet::Fleet(Record& run_record,
             std::function<bool(Runner&, const Request&, Peer&)> work)
    : record(run_record),
      store_port(FreePort()),
      service_port(FreePort()),
      front_port(FreePort()),
      ready_port(FreePort()),
      control_port(FreePort()),
      directory_port(FreePort()),
      datagram_port(FreePort()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  this->directory = pattern;
  if (!std::filesystem::exists(kProgram)) {
    throw std::runtime_error("run the build of the deploy file first");
  }
  this->store = std::make_unique<Store>("127.63.1.1", this->store_port);
  this->Configure(3, {kKey});
  for (int index = 0; index < kRunners; ++index) {
    const std::string number = std::to_string(index + 1);
    this->runners.push_back(std::make_unique<Runner>(
        *this->store, this->record,
        RunnerSpec{"i-runner" + number, "127.63.2." + number,
                   this->service_port, kZones[index]},
        [this, index, work](const Request& request, Peer& peer) {
          return work(this->RunnerAt(index), request, peer);
        }));
  }
  this->routers.resize(kRouters, -1);
  for (int index = 0; index < kRouters; ++index) this->StartRouter(index);
}

void Fleet::Configure(int version, const std::vector<std::string>& keys) {
  Json routes = Json::array();
  routes.push_back(RouteOf("/cert/", "safe"));
  routes.push_back(RouteOf("/sign/", "unsafe"));
  const Json configuration = {
      {"version", version},
      {"routes", routes},
      {"services",
       {{{"name", kService},
         {"slots", 6},
         {"max_conns", 96},
         {"health_path", "/healthz"}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "hule930"}, {"api_keys", keys}}}}};
  const auto revision =
      this->store->Put("config", "main", configuration.dump());
  this->record.Line("store: version " + std::to_string(version) +
                    " of the configuration, " + std::to_string(keys.size()) +
                    " keys, acknowledged at revision " +
                    std::to_string(revision));
}

Fleet::~Fleet() {
  for (const pid_t pid : this->routers) {
    if (pid > 0) kill(pid, SIGKILL);
  }
  for (const pid_t pid : this->routers) {
    if (pid > 0) waitpid(pid, nullptr, 0);
  }
  std::filesystem::remove_all(this->directory);
}

std::string Fleet::RouterIp(int index) const {
  return "127.63.3." + std::to_string(index + 1);
}

std::string Fleet::SettingsOf(int index) const {
  const std::string ip = this->RouterIp(index);
  const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
  std::string seeds;
  for (int other = 0; other < kRouters; ++other) {
    if (other > 0) seeds += ",";
    seeds += this->RouterIp(other) + ":" + std::to_string(this->control_port);
  }
  return "node_name=front-" + std::string(kZones[index]) +
         "-1\nrole=router\nmachine_class=front\n"
         "serves=front,control,directory\nip=" +
         ip + "\nzone=" + kZones[index] +
         "\nregion=casablanca\nzones.casa-a=casablanca\n"
         "zones.casa-b=casablanca\nzones.berrechid=casablanca\n"
         "listen.front=" +
         at(this->front_port) + "\nlisten.ready=" + at(this->ready_port) +
         "\nlisten.control=" + at(this->control_port) +
         "\nlisten.directory=" + at(this->directory_port) +
         "\nport_range=" + std::to_string(this->datagram_port) + "," +
         std::to_string(this->datagram_port + 15) + "\nseeds=" + seeds +
         "\nbootstrap=true\nloss_counts=false\nlimits.cpu_share=0.25\n"
         "limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4200\n"
         "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n"
         "entry=directory\nbeat_ms=1200\n"
         "contracts=base,drain,config,cost,retry,recover,engine,stream,"
         "tenants,platform,layers\n"
         "tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\n"
         "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.touch_ms=3000\n"
         "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=" +
         std::to_string(kDrainMs) +
         "\nbounds.grace_s=" + std::to_string(kGraceS) +
         "\nbounds.lost_ms=200\nbounds.config_ms=2000\n"
         "bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n"
         "bounds.strict_revoke=true\nbounds.revoke_ms=5000\n"
         "bounds.budget_ratio=0.2\nbounds.budget_window_s=10\n"
         "bounds.budget_slack=196\nbounds.recover_s=12\nbounds.pass_ms=120\n"
         "bounds.retry_after_s=0\nbounds.stall_ms=2500\n"
         "bounds.need_fence=false\nbounds.ttl_max_s=5\n"
         "provider.addr=127.63.1.1:" +
         std::to_string(this->store_port) +
         "\nprovider.form=objects\nprovider.writes_per_s=400\n"
         "provider.reads_per_s=2000\nprovider.history_s=20\n"
         "provider.value_bytes=1048576\nprovider.ttl_min_ms=1000\n";
}

void Fleet::StartRouter(int index) {
  const std::string settings =
      this->directory + "/settings-" + std::to_string(index) + ".conf";
  std::ofstream(settings) << this->SettingsOf(index);
  const std::string log =
      this->directory + "/router-" + std::to_string(index) + ".log";
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot start a process");
  if (pid == 0) {
    // The routers must not outlive a script that is ended from outside.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    setenv("TOUCANWHARF_BOOT", settings.c_str(), 1);
    execl(kProgram, kProgram, "--platform", nullptr);
    _exit(127);
  }
  this->routers.at(index) = pid;
  this->record.Line("router " + std::to_string(index) + " starts");
}

bool Fleet::IsReady(int index) const {
  Request request{"GET", "/toucanwharf/readyz", {{"Host", "ready"}}, ""};
  CallOptions options;
  options.timeout_ms = 1000;
  return Call(this->RouterIp(index), this->ready_port, request, options)
             .status == 200;
}

bool Fleet::Runs(int index) {
  pid_t& pid = this->routers.at(index);
  if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) pid = -1;
  return pid > 0;
}

bool Fleet::AwaitReady(int timeout_ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  int ready = 0;
  while (ready < kRouters && Clock::now() < until) {
    if (this->IsReady(ready)) {
      ++ready;
      continue;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return ready == kRouters;
}

Request Fleet::MakeRequest(const std::string& method, const std::string& path,
                           const std::string& id, const std::string& body,
                           int deadline_ms, const std::string& key) const {
  Request request;
  request.method = method;
  request.target = path;
  request.headers = {{"Host", kHost},
                     {"X-Request-Id", id},
                     {"X-Deadline-Ms", std::to_string(deadline_ms)},
                     {"Authorization", "Token " + key}};
  request.body = body;
  return request;
}

std::unique_ptr<Channel> Fleet::Connect(int index) const {
  return std::make_unique<Channel>(this->RouterIp(index), this->front_port);
}

Reply Fleet::Send(int index, const std::string& method, const std::string& path,
                  const std::string& id, const std::string& body,
                  const CallOptions& options, int deadline_ms,
                  const std::string& key) {
  const Request request =
      this->MakeRequest(method, path, id, body, deadline_ms, key);
  this->record.Line("caller sends " + id + " to router " +
                    std::to_string(index));
  Reply reply = Call(this->RouterIp(index), this->front_port, request, options);
  this->record.Line("caller got " + std::to_string(reply.status) + " for " +
                    id + ", " + std::to_string(reply.body.size()) + " bytes, " +
                    (reply.complete ? "complete" : "incomplete") + ", stamp " +
                    HeaderOf(reply.headers, "X-Server-Stamp"));
  return reply;
}

void Fleet::Signal(int index, int number) {
  this->record.Line("router " + std::to_string(index) + " gets signal " +
                    std::to_string(number));
  if (this->routers.at(index) > 0) kill(this->routers.at(index), number);
}

bool Fleet::AwaitEnd(int index, int timeout_ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  while (this->Runs(index)) {
    if (Clock::now() >= until) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  this->record.Line("router " + std::to_string(index) + " has ended");
  return true;
}

bool WithoutTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value != nullptr && std::string(value) == "0";
}

}  // namespace review
