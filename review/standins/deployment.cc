#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

constexpr std::int64_t kBeatMs = 1200;
constexpr int kMissedBeats = 3;
constexpr const char* kZone = "casa-a";
constexpr int kLayers = 4;
constexpr const char* kModelService = "qa-model";

std::int64_t WallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Starts \p words as a process that logs to \p log.
pid_t Start(const std::vector<std::string>& words, const std::string& log,
            const std::string& settings) {
  const pid_t process = fork();
  if (process != 0) return process;
  // Ends with this program, also if that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  if (!settings.empty()) setenv("TOUCANWHARF_BOOT", settings.c_str(), 1);
  std::vector<char*> arguments;
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void Kill(pid_t& process) {
  if (process <= 0) return;
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
  process = -1;
}

std::string Variable(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

}  // namespace

Record::Record(const std::string& path) : file(path), start(NowMs()) {
  if (!this->file) throw std::runtime_error("cannot write the record");
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  this->file << NowMs() - this->start << " " << text << "\n" << std::flush;
}

Deployment::Deployment(Record& events, int runner_count,
                       const RunnerKind& runner_kind, int router_count,
                       const EngineKind& engine_kind)
    : record(events), kind(runner_kind), engines(engine_kind) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  this->folder = pattern;
  const std::string first_ip = "127.0.0.1";
  this->store_address = first_ip + ":" + std::to_string(FreePort(first_ip));
  this->store = std::make_unique<Store>(this->store_address);
  this->Configure();
  for (int* port : {&this->port_front, &this->port_ready, &this->port_control,
                    &this->port_directory, &this->port_datagrams}) {
    *port = FreePort(first_ip);
  }
  for (int index = 0; index < runner_count + this->engines.count; ++index) {
    Runner runner;
    runner.is_engine = index >= runner_count;
    runner.id = runner.is_engine ? "e-" + std::to_string(index - runner_count)
                                 : RunnerId(index);
    runner.address = first_ip + ":" + std::to_string(FreePort(first_ip));
    this->StartRunner(runner);
    this->runners.push_back(runner);
  }
  SleepMs(200);
  for (Runner& runner : this->runners) this->Register(runner);
  this->beats = std::thread([this] { this->Beat(); });
  for (int index = 0; index < router_count; ++index) {
    this->routers.push_back({"127.0.0." + std::to_string(index + 1)});
  }
  for (int index = 0; index < router_count; ++index) this->StartRouter(index);
}

Deployment::~Deployment() {
  this->stopping = true;
  this->beats.join();
  for (Router& router : this->routers) Kill(router.process);
  for (Runner& runner : this->runners) Kill(runner.process);
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(this->folder);
  } else {
    std::cerr << this->folder << "\n";
  }
}

void Deployment::Configure() {
  const std::string common =
      ",\"timeout_ms\":" + std::to_string(this->kind.timeout_ms) +
      ",\"slo_ms\":300,\"priority\":2,\"service\":\"" + std::string(kService) +
      "\",\"public\":false,\"sticky\":false}";
  this->store->Put(
      "config", "main",
      R"({"version":7,"routes":[)"
      R"({"name":"r-fetch","host":")" +
          std::string(kHost) +
          R"(","path_prefix":"/fetch/","kind":"safe","max_attempts":2)" +
          common + R"(,{"name":"r-sign","host":")" + kHost +
          R"(","path_prefix":"/sign/","kind":"unsafe","max_attempts":1)" +
          common + R"(,{"name":"r-chat","host":")" + kHost +
          R"(","path_prefix":"/chat/","kind":"stream","timeout_ms":20000,)"
          R"("slo_ms":500,"priority":1,"service":")" +
          kModelService +
          R"(","max_attempts":2,"public":false,"sticky":true,)"
          R"("resumable":true,"gap_aim_ms":250}],"services":[{"name":")" +
          kModelService +
          R"(","health_path":"/healthz","max_conns":1058,"protocol":"h1",)"
          R"("tls":false,"engine":{"slots":)" +
          std::to_string(this->engines.slots) +
          R"(,"kv_token_bytes":100000,)"
          R"("stride":1,"models":[{"name":"m0","load_s":1.0}],"step_ms":1.0,)"
          R"("per_seq_ms":0.005,"context_per_k":0.006,"read_per_s":100000,)"
          R"("chunk":512,"loads_at_once":6,"delays":[],)"
          R"("usual":{"prompt":100,"answer":20},"layers":)" +
          std::to_string(kLayers) +
          R"(,"layer_mb":100.0,"kinds":[{"name":"big","mb":1000.0,)"
          R"("pace":1.0,"read_x":1.0}]}},{"name":")" +
          kService +
          R"(","health_path":"/healthz","max_conns":96,"protocol":"h1",)"
          R"("tls":false}],"tenants":[{"name":"tenant-a","api_keys":[")" +
          kKey +
          R"("]}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

void Deployment::StartRunner(Runner& runner) const {
  runner.born = WallMs();
  if (runner.is_engine) {
    runner.process = Start(
        {Variable("ENGINE", "review/bin/engine"), runner.address, runner.id,
         this->folder + "/runs.log", std::to_string(kLayers),
         std::to_string(this->engines.slots),
         std::to_string(this->engines.events),
         std::to_string(this->engines.gap_ms), std::to_string(runner.born)},
        this->folder + "/runner.log", "");
    return;
  }
  runner.process =
      Start({Variable("RUNNER", "review/bin/runner"), runner.address, runner.id,
             this->folder + "/runs.log", std::to_string(this->kind.body_bytes),
             std::to_string(this->kind.chunk_bytes),
             std::to_string(this->kind.chunk_ms),
             this->kind.has_length ? "length" : "close"},
            this->folder + "/runner.log", "");
}

/// Precondition: the mutex is held, or the beats have not begun.
void Deployment::Register(Runner& runner) {
  const std::string of_engine =
      R"(,"kind":"big","stage":"both","models":[{"name":"m0","version":1,)"
      R"("adapters":[]}],"layers":{"from":0,"target":)" +
      std::to_string(kLayers) + R"(,"version":1})";
  const std::string service = runner.is_engine ? kModelService : kService;
  const std::string slots =
      runner.is_engine ? std::to_string(this->engines.slots) + of_engine : "6";
  this->store->Put(
      "servers", runner.id,
      R"({"service":")" + service + R"(","addr":")" + runner.address +
          R"(","zone":")" + kZone + R"(","version":"v1","slots":)" + slots +
          R"(,"state":")" + runner.state + R"(","cold_ms":0,"born":)" +
          std::to_string(runner.born) +
          ",\"seq\":" + std::to_string(++runner.sequence) + "}");
}

void Deployment::Beat() {
  std::int64_t next = NowMs() + kBeatMs;
  while (!this->stopping) {
    SleepMs(20);
    const std::lock_guard lock(this->mutex);
    for (Runner& runner : this->runners) {
      const bool lapsed = runner.killed_at > 0 &&
                          NowMs() >= runner.killed_at + kMissedBeats * kBeatMs;
      if (!lapsed || runner.removed) continue;
      runner.removed = true;
      this->store->Remove("servers", runner.id);
    }
    if (NowMs() < next) continue;
    next += kBeatMs;
    for (Runner& runner : this->runners) {
      if (runner.killed_at == 0) this->Register(runner);
    }
  }
}

std::string Deployment::WriteSettings(int index) const {
  const Router& router = this->routers.at(static_cast<std::size_t>(index));
  const std::string path =
      this->folder + "/settings-" + std::to_string(index) + ".conf";
  const auto listen = [&](const char* name, int port) {
    return "listen." + std::string(name) + "=" + router.ip + ":" +
           std::to_string(port) + "\n";
  };
  std::string seeds;
  for (const Router& other : this->routers) {
    if (!seeds.empty()) seeds += ",";
    seeds += other.ip + ":" + std::to_string(this->port_control);
  }
  std::ofstream file(path);
  file << "node_name=front-casa-a-" << index + 1 << "\n"
       << "role=router\nmachine_class=front\nserves=front,control,directory\n"
       << "ip=" << router.ip << "\nzone=" << kZone << "\nregion=casablanca\n"
       << "zones." << kZone << "=casablanca\n"
       << listen("front", this->port_front) << listen("ready", this->port_ready)
       << listen("control", this->port_control)
       << listen("directory", this->port_directory)
       << "port_range=" << this->port_datagrams << ","
       << this->port_datagrams + 15 << "\nseeds=" << seeds
       << "\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n"
       << "limits.memory_mb=260\nlimits.max_fds=4200\ndiscovery=platform\n"
       << "entry=directory\nbeat_ms=" << kBeatMs << "\n"
       << "tolerate.machines=2\ntolerate.zones=0\ntolerate.regions=0\n"
       << "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.touch_ms=3000\n"
       << "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
       << "bounds.grace_s=8\nbounds.lost_ms=200\nbounds.config_ms=2000\n"
       << "bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n"
       << "bounds.strict_revoke=true\nbounds.revoke_ms=5000\n"
       << "bounds.budget_ratio=0.2\nbounds.budget_window_s=10\n"
       << "bounds.budget_slack=196\nbounds.recover_s=12\n"
       << "bounds.pass_ms=120\nbounds.retry_after_s=0\n"
       << "bounds.stall_ms=2500\nbounds.need_fence=false\n"
       << "bounds.ttl_max_s=5\nprovider.addr=" << this->store_address
       << "\nprovider.form=objects\nprovider.writes_per_s=400\n"
       << "provider.reads_per_s=2000\nprovider.history_s=20\n"
       << "provider.value_bytes=1048576\nprovider.ttl_min_ms=1000\n";
  return path;
}

void Deployment::StartRouter(int index) {
  Router& router = this->routers.at(static_cast<std::size_t>(index));
  // The command of the deploy file.
  router.process =
      Start({Variable("ROUTER", "target/toucanwharfd"), "--platform"},
            this->folder + "/router-" + std::to_string(index) + ".log",
            this->WriteSettings(index));
  this->record.Line("router " + std::to_string(index) + " is started");
}

void Deployment::SignalRouter(int index, int signal) {
  const Router& router = this->routers.at(static_cast<std::size_t>(index));
  this->record.Line("router " + std::to_string(index) + " gets signal " +
                    std::to_string(signal));
  kill(router.process, signal);
}

bool Deployment::AwaitRouterEnd(int index, std::int64_t timeout_ms) {
  Router& router = this->routers.at(static_cast<std::size_t>(index));
  const std::int64_t end = NowMs() + timeout_ms;
  while (NowMs() < end) {
    if (waitpid(router.process, nullptr, WNOHANG) == router.process) {
      router.process = -1;
      this->record.Line("router " + std::to_string(index) + " has ended");
      return true;
    }
    SleepMs(10);
  }
  return false;
}

bool Deployment::Ready(int index) const {
  Request request;
  request.method = "GET";
  request.target = "/toucanwharf/readyz";
  request.headers = {{"Host", "ready"}};
  const Router& router = this->routers.at(static_cast<std::size_t>(index));
  CallOptions options;
  options.timeout_ms = 1000;
  return Call(router.ip + ":" + std::to_string(this->port_ready), request,
              options)
             .status == 200;
}

std::string Deployment::CallersAddress(int index) const {
  const Router& router = this->routers.at(static_cast<std::size_t>(index));
  return router.ip + ":" + std::to_string(this->port_front);
}

bool Deployment::AwaitReady() {
  constexpr std::int64_t kTimeoutMs = 15000;
  const std::int64_t end = NowMs() + kTimeoutMs;
  const int count = static_cast<int>(this->routers.size());
  for (int index = 0; index < count; ++index) {
    int attempt = 0;
    while (true) {
      if (NowMs() > end) return false;
      const std::string id =
          "first-" + std::to_string(index) + "-" + std::to_string(attempt++);
      if (this->Ready(index) &&
          Call(this->CallersAddress(index), SafeRequest(id, 1500)).status ==
              200) {
        break;
      }
      SleepMs(100);
    }
  }
  // The routers have found each other and share their budget by now.
  SleepMs(3000);
  this->record.Line("all routers are ready and serve");
  return true;
}

Deployment::Runner& Deployment::Find(const std::string& id) {
  for (Runner& runner : this->runners) {
    if (runner.id == id) return runner;
  }
  throw std::runtime_error("no runner " + id);
}

void Deployment::KillRunner(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  Runner& runner = this->Find(id);
  Kill(runner.process);
  runner.killed_at = NowMs();
  this->record.Line("the process of runner " + id + " is killed");
}

void Deployment::DrainRunner(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  Runner& runner = this->Find(id);
  runner.state = "draining";
  this->Register(runner);
  this->record.Line("runner " + id + " drains, the store has accepted it");
}

void Deployment::PutForeignEntry(const std::string& name,
                                 const std::string& spec) {
  this->store->Put("servers", name, spec);
  this->record.Line("another writer puts servers/" + name + ": " +
                    spec.substr(0, 200));
}

Request Deployment::SafeRequest(const std::string& id, int deadline_ms) {
  Request request;
  request.method = "GET";
  request.target = "/fetch/certificate?of=" + id;
  request.headers = {{"Host", kHost},
                     {"X-Request-Id", id},
                     {"X-Deadline-Ms", std::to_string(deadline_ms)},
                     {"Authorization", "Token " + std::string(kKey)}};
  return request;
}

Request Deployment::UnsafeRequest(const std::string& id, int deadline_ms) {
  Request request = SafeRequest(id, deadline_ms);
  request.method = "POST";
  request.target = "/sign/lot?of=" + id;
  request.body = "sign the lot of " + id;
  return request;
}

Request Deployment::StreamRequest(const std::string& id, int deadline_ms) {
  Request request = SafeRequest(id, deadline_ms);
  request.method = "POST";
  request.target = "/chat/summary";
  request.headers.emplace_back("X-Model", "m0");
  request.headers.emplace_back("X-Token-Counts", "100,20");
  request.headers.emplace_back("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:60");
  request.body = "a prompt of " + id;
  return request;
}

std::string Deployment::RunnerId(int index) {
  return "i-" + std::to_string(index + 1);
}

std::vector<Deployment::Run> Deployment::Log() const {
  std::vector<Run> entries;
  std::ifstream file(this->folder + "/runs.log");
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream words(line);
    Run entry;
    words >> entry.at_ms >> entry.what >> entry.request >> entry.runner;
    if (!entry.runner.empty()) entries.push_back(entry);
  }
  return entries;
}

std::vector<Deployment::Run> Deployment::Runs() const {
  std::vector<Run> runs = this->Log();
  std::erase_if(runs, [](const Run& entry) { return entry.what != "run"; });
  return runs;
}

void Deployment::RecordRuns() {
  for (const Run& run : this->Log()) {
    this->record.Line("  at " +
                      std::to_string(run.at_ms - this->record.Start()) + " " +
                      run.runner + ": " + run.what + " " + run.request);
  }
}

std::string Describe(const Answer& answer) {
  if (answer.end == End::kNone) return "no answer";
  return "status " + std::to_string(answer.status) + ", stamp \"" +
         answer.Header("X-Server-Stamp") + "\", stated length \"" +
         answer.Header("Content-Length") + "\", " +
         std::to_string(answer.body.size()) + " bytes of body, " +
         (answer.end == End::kWhole ? "ends as complete" : "is broken off");
}

int PlayCase(const char* record_path,
             const std::function<bool(bool trouble, Record& record)>& play) {
  const bool trouble = Variable("TROUBLE", "1") != "0";
  try {
    Record record(record_path);
    record.Line(trouble ? "with the disruption" : "without the disruption");
    const bool broken = play(trouble, record);
    record.Line(broken ? "RULE BROKEN" : "rule held");
    std::cout << (broken ? "rule broken" : "rule held") << "\n";
    return broken ? 1 : 0;
  } catch (const std::exception& error) {
    std::cout << "the case couldn't run: " << error.what() << "\n";
    return 2;
  }
}

}  // namespace review
