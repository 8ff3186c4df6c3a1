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
constexpr std::chrono::seconds kMostWait{90};
constexpr std::chrono::milliseconds kPoll{20};
constexpr int kCallTimeoutMs = 5000;
constexpr std::size_t kDomains = 3;
constexpr long kOk = 200;  // NOLINT(google-runtime-int): libcurl's type

Answer Ask(const std::string& url, const Json& body = nullptr,
           const std::string& method = "GET") {
  Call call;
  call.method = method;
  call.url = url;
  call.key = kAdminKey;
  call.timeout_ms = kCallTimeoutMs;
  if (!body.is_null()) call.body = body.dump();
  return process_test::Send(call);
}

/// Waits until \p done; returns the seconds it took.
double WaitUntil(const std::function<bool()>& done, const std::string& what) {
  const auto start = SteadyClock::now();
  while (!done()) {
    if (SteadyClock::now() - start > kMostWait) {
      throw std::runtime_error("not within 90 s: " + what);
    }
    std::this_thread::sleep_for(kPoll);
  }
  return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

double CpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // Fields after the name in parentheses; user and system time are the 12th
  // and 13th of them.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int field = 0; field < 11; ++field) fields >> skipped;
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

std::string Domain(std::size_t number) {
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
  for (std::size_t at = 0; at < engine_count; ++at) this->AddEngine(at);
  for (std::size_t at = 0; at < router_count; ++at) this->AddRouter(at);
}

std::string CapacityFleet::NextAddress() {
  return "127.0.0.1:" + std::to_string(this->next_port++);
}

void CapacityFleet::List(const Json& instance) const {
  const std::string url = this->platform_address + "/instances";
  if (Ask(url, instance, "POST").status != kOk) {
    throw std::runtime_error("the platform lists no instance");
  }
}

void CapacityFleet::AddEngine(std::size_t number) {
  const std::vector<std::string> arguments = {
      "--id=engine-" + std::to_string(number), "--layers=0-4",
      "--failure-domain=" + Domain(number),
      "--platform=" + this->platform_address};
  this->engines.push_back(
      std::make_unique<Process>("standin_engine", arguments));
  this->engines.back()->WaitForLine("listening");
}

std::string CapacityFleet::RelayBefore(const std::string& address) {
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
  const std::string reached = number == 0 ? this->RelayBefore(peers) : peers;
  const Json settings = {
      {"instance", name},
      {"failure_domain", Domain(number)},
      {"region", "region-0"},
      {"listen", {{"callers", callers}, {"admin", admin}, {"peers", peers}}},
      {"advertise", {{"peers", reached}}},
      {"platform", {{"address", this->platform_address}}},
      {"keys", {{"admin", kAdminKey}, {"peer", kPeerKey}}}};
  const std::string file = SettingsFolder() + "/" + name + ".json";
  std::ofstream(file) << settings.dump();
  this->routers.push_back(std::make_unique<Process>(
      "toucanwharfd", std::vector<std::string>{"--settings=" + file},
      SettingsFolder() + "/" + name + ".log"));
  this->admins.push_back(admin);
  this->List({{"id", name},
              {"address", callers},
              {"role", "router"},
              {"service", ""},
              {"failure_domain", Domain(number)},
              {"state", "live"},
              {"peer_address", reached},
              {"admin_address", admin}});
}

Json CapacityFleet::Status(std::size_t router) const {
  Json status = Ask(this->admins.at(router) + "/admin/status").Json();
  return status.is_object() ? status : Json::object();
}

double CapacityFleet::WaitForMembers() {
  std::size_t next = 0;
  const auto all_met = [this, &next] {
    for (; next < this->Size(); ++next) {
      const Json members = this->Status(next).value("members", Json::array());
      if (members.size() != this->Size()) return false;
    }
    return true;
  };
  return WaitUntil(all_met, "all members known");
}

double CapacityFleet::Metric(const std::string& text,
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

Usage CapacityFleet::Used() const {
  Usage usage;
  for (std::size_t at = 0; at < this->Size(); ++at) {
    const pid_t pid = this->routers[at]->Pid();
    usage.cpu_seconds += CpuSeconds(pid);
    usage.resident_mib += ResidentMib(pid);
    const std::string text = Ask(this->admins[at] + "/metrics").body;
    const double received =
        this->Metric(text, "toucanwharf_peer_probes_received");
    usage.probes +=
        received + this->Metric(text, "toucanwharf_peer_probes_sent");
    usage.gossip_bytes += this->Metric(text, "toucanwharf_peer_bytes_sent") +
                          this->Metric(text, "toucanwharf_peer_bytes_received");
    if (at == 0) usage.relayed_probes = received;
  }
  const Json calls = Ask(this->platform_address + "/counters").Json();
  usage.platform_calls = calls.value("total", 0.0) - this->own_calls;
  const Json relayed = Ask(this->relay_admin + "/status").Json();
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
  if (Ask(url, {{"writer", NewId()}, {"value", record}}, "PUT").status != kOk) {
    throw std::runtime_error("the platform takes no record");
  }
  this->own_calls += 1;
}

double CapacityFleet::WriteUntilInForce(std::size_t number) {
  std::vector<std::uint64_t> before;
  for (std::size_t at = 0; at < this->Size(); ++at) {
    before.push_back(this->Status(at).value("generation", std::uint64_t{0}));
  }
  this->WriteRecord(number);
  std::size_t next = 0;
  const auto all_have = [this, &before, &next] {
    for (; next < this->Size(); ++next) {
      const auto now = this->Status(next).value("generation", std::uint64_t{0});
      if (now <= before[next]) return false;
    }
    return true;
  };
  return WaitUntil(all_have, "a new generation in force everywhere");
}

double CapacityFleet::KillUntilKnown() {
  const std::string name = "router-" + std::to_string(this->Size() - 1);
  this->routers.back()->Kill();
  this->routers.pop_back();
  this->admins.pop_back();
  std::size_t next = 0;
  const auto all_know = [this, &name, &next] {
    for (; next < this->Size(); ++next) {
      const Json members = this->Status(next).value("members", Json::array());
      const auto dead = std::find(members.begin(), members.end(), name);
      if (members.empty() || dead != members.end()) return false;
    }
    return true;
  };
  return WaitUntil(all_know, "a death known everywhere");
}

}  // namespace toucanwharf::bench
