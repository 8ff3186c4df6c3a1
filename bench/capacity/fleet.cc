#include "bench/capacity/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "toucanwharf/support/ids.h"

namespace toucanwharf::bench {
namespace {

using process_test::Answer;
using process_test::Call;
using process_test::Process;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr const char* kAdminKey = "admin-key-of-the-bench";
constexpr const char* kPeerKey = "peer-key-of-the-bench";
constexpr std::chrono::seconds kMaxWait{90};
constexpr std::chrono::milliseconds kPollInterval{20};
constexpr int kCallTimeoutMs = 5000;
constexpr std::size_t kDomains = 3;
constexpr long kOk = 200;  // NOLINT(google-runtime-int): libcurl's type

Answer SendRequest(const std::string& url, const Json& body = nullptr,
                   const std::string& method = "GET") {
  Call call;
  call.method = method;
  call.url = url;
  call.key = kAdminKey;
  call.timeout_ms = kCallTimeoutMs;
  if (!body.is_null()) call.body = body.dump();
  return process_test::Send(call);
}

/// Waits until \p done returns true; returns the seconds it took.
/// Throws std::runtime_error after kMaxWait.
double WaitUntil(const std::function<bool()>& done,
                 const std::string& awaited_state) {
  const auto start = SteadyClock::now();
  while (!done()) {
    if (SteadyClock::now() - start > kMaxWait) {
      throw std::runtime_error("timed out after 90 s: " + awaited_state);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

double CpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // See proc(5): of the fields after the name in parentheses, the 12th and 13th
  // are user and system time.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped_field;
  for (int field = 0; field < 11; ++field) fields >> skipped_field;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMib(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

std::string DomainName(std::size_t number) {
  return "domain-" + std::to_string(number % kDomains);
}

std::string SettingsFolder() {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("toucanwharf-capacity-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  return folder.string();
}

}  // namespace

CapacityFleet::CapacityFleet(std::size_t router_count, std::size_t engine_count,
                             std::uint16_t first_port)
    : next_port(first_port) {
  this->platform =
      std::make_unique<Process>("standin_platform", std::vector<std::string>{});
  this->platform_address = this->platform->WaitForLine("listening");
  this->WriteRecord(0);
  for (std::size_t i = 0; i < engine_count; ++i) this->AddEngine(i);
  for (std::size_t i = 0; i < router_count; ++i) this->AddRouter(i);
}

std::string CapacityFleet::NextAddress() {
  return "127.0.0.1:" + std::to_string(this->next_port++);
}

void CapacityFleet::RegisterInstance(const Json& instance) const {
  const std::string url = this->platform_address + "/instances";
  if (SendRequest(url, instance, "POST").status != kOk) {
    throw std::runtime_error("the platform did not register an instance");
  }
}

void CapacityFleet::AddEngine(std::size_t number) {
  const std::vector<std::string> arguments = {
      "--id=engine-" + std::to_string(number), "--layers=0-4",
      "--failure-domain=" + DomainName(number),
      "--platform=" + this->platform_address};
  this->engines.push_back(
      std::make_unique<Process>("standin_engine", arguments));
  this->engines.back()->WaitForLine("listening");
}

std::string CapacityFleet::StartRelayFor(const std::string& address) {
  this->relay = std::make_unique<Process>(
      "standin_relay", std::vector<std::string>{"--target=" + address});
  this->relay_admin = this->relay->WaitForLine("admin");
  return this->relay->WaitForLine("listening");
}

void CapacityFleet::AddRouter(std::size_t number) {
  const std::string name = "router-" + std::to_string(number);
  const std::string callers = this->NextAddress();
  const std::string admin = this->NextAddress();
  const std::string peers = this->NextAddress();
  const std::string peer_address =
      number == 0 ? this->StartRelayFor(peers) : peers;
  const Json settings = {
      {"instance", name},
      {"failure_domain", DomainName(number)},
      {"region", "region-0"},
      {"listen", {{"callers", callers}, {"admin", admin}, {"peers", peers}}},
      {"advertise", {{"peers", peer_address}}},
      {"platform", {{"address", this->platform_address}}},
      {"keys", {{"admin", kAdminKey}, {"peer", kPeerKey}}}};
  const std::string file = SettingsFolder() + "/" + name + ".json";
  std::ofstream(file) << settings.dump();
  this->routers.push_back(std::make_unique<Process>(
      "toucanwharfd", std::vector<std::string>{"--settings=" + file},
      SettingsFolder() + "/" + name + ".log"));
  this->admins.push_back(admin);
  this->RegisterInstance({{"id", name},
                          {"address", callers},
                          {"role", "router"},
                          {"service", ""},
                          {"failure_domain", DomainName(number)},
                          {"state", "live"},
                          {"peer_address", peer_address},
                          {"admin_address", admin}});
}

Json CapacityFleet::Status(std::size_t router) const {
  Json status = SendRequest(this->admins.at(router) + "/admin/status").Json();
  return status.is_object() ? status : Json::object();
}

double CapacityFleet::WaitForMembers() {
  std::size_t router = 0;
  const auto all_list_members = [this, &router] {
    for (; router < this->Size(); ++router) {
      const Json members = this->Status(router).value("members", Json::array());
      if (members.size() != this->Size()) return false;
    }
    return true;
  };
  return WaitUntil(all_list_members, "all routers list all members");
}

double CapacityFleet::MetricValue(const std::string& text,
                                  const std::string& name) const {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

Usage CapacityFleet::CurrentUsage() const {
  Usage usage;
  for (std::size_t index = 0; index < this->Size(); ++index) {
    const pid_t pid = this->routers[index]->Pid();
    usage.cpu_seconds += CpuSeconds(pid);
    usage.resident_mib += ResidentMib(pid);
    const std::string text = SendRequest(this->admins[index] + "/metrics").body;
    const double received =
        this->MetricValue(text, "toucanwharf_peer_probes_received");
    usage.probes +=
        received + this->MetricValue(text, "toucanwharf_peer_probes_sent");
    usage.gossip_bytes +=
        this->MetricValue(text, "toucanwharf_peer_bytes_sent") +
        this->MetricValue(text, "toucanwharf_peer_bytes_received");
    if (index == 0) usage.relayed_probes = received;
  }
  const Json calls = SendRequest(this->platform_address + "/counters").Json();
  usage.platform_calls = calls.value("total", 0.0) - this->bench_calls;
  const Json relayed = SendRequest(this->relay_admin + "/status").Json();
  usage.relayed_bytes =
      relayed.value("bytes_in", 0.0) + relayed.value("bytes_out", 0.0);
  return usage;
}

void CapacityFleet::WriteRecord(std::size_t number) {
  const Json record = {
      {"schema", "toucanwharf/v1"},
      {"kind", "customer"},
      {"name", "customer-1"},
      {"spec",
       {{"key_sha256", Sha256Hex("customer key")}, {"weight", number + 1}}}};
  const std::string url =
      this->platform_address + "/objects/records/customer.customer-1";
  if (SendRequest(url, {{"writer", NewId()}, {"value", record}}, "PUT")
          .status != kOk) {
    throw std::runtime_error("the platform did not store a record");
  }
  this->bench_calls += 1;
}

double CapacityFleet::TimeUntilInForce(std::size_t number) {
  std::vector<std::uint64_t> before;
  for (std::size_t index = 0; index < this->Size(); ++index) {
    before.push_back(this->Status(index).value("generation", std::uint64_t{0}));
  }
  this->WriteRecord(number);
  std::size_t router = 0;
  const auto all_in_force = [this, &before, &router] {
    for (; router < this->Size(); ++router) {
      const auto now =
          this->Status(router).value("generation", std::uint64_t{0});
      if (now <= before[router]) return false;
    }
    return true;
  };
  return WaitUntil(all_in_force, "a new generation in force on all routers");
}

double CapacityFleet::TimeUntilDeathKnown() {
  const std::string name = "router-" + std::to_string(this->Size() - 1);
  this->routers.back()->Kill();
  this->routers.pop_back();
  this->admins.pop_back();
  std::size_t router = 0;
  const auto all_removed_it = [this, &name, &router] {
    for (; router < this->Size(); ++router) {
      const Json members = this->Status(router).value("members", Json::array());
      const auto dead = std::find(members.begin(), members.end(), name);
      if (members.empty() || dead != members.end()) return false;
    }
    return true;
  };
  return WaitUntil(all_removed_it,
                   "the killed router removed from all member lists");
}

}  // namespace toucanwharf::bench
