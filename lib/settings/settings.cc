#include "toucanwharf/settings/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <cassert>
#include <chrono>
#include <optional>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

namespace toucanwharf::settings {

std::string_view EmbeddedSchema(std::string_view path);

namespace {

using nlohmann::json;
using schema::Problem;
using schema::Problems;

constexpr const char* kAddressForm =
    "an IP number and port, such as 10.0.0.7:8080 or [fd00::7]:8080";
constexpr const char* kListeners[] = {"callers", "admin", "peers"};
constexpr int kMaxPort = 65535;

const json& SettingsSchema() {
  static const json* const kSchemaFile =
      new json(json::parse(EmbeddedSchema("settings.json"), nullptr, false));
  assert(kSchemaFile->is_object() && "CMake embeds the schema");
  return *kSchemaFile;
}

/// Returns whether \p address is an IP address with a port. Host names are
/// rejected: instances reach each other by IP address, and an unresponsive
/// resolver would block startup.
bool IsAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  int port = 0;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port)) return false;
  if (port < 1 || port > kMaxPort) return false;
  std::string host = address.substr(0, colon);
  std::array<unsigned char, sizeof(in6_addr)> parsed{};
  if (host.front() != '[') {
    return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1;
  }
  if (host.back() != ']') return false;
  host = host.substr(1, host.size() - 2);
  return inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
}

void CheckAddress(const json& document, const std::string& pointer,
                  Problems& problems) {
  const json::json_pointer field(pointer);
  if (!document.contains(field)) return;
  const json& value = document.at(field);
  if (!value.is_string() || IsAddress(value)) return;
  problems.push_back(Problem{pointer, value.dump(), kAddressForm,
                             "write the number of the interface, not a name"});
}

/// Reports listeners with the same address: the second bind would fail when the
/// first port is already open.
void CheckDistinct(const json& document, Problems& problems) {
  std::set<std::string> seen;
  for (const char* listener : kListeners) {
    const json::json_pointer field(std::string("/listen/") + listener);
    if (!document.contains(field) || !document.at(field).is_string()) continue;
    if (seen.insert(document.at(field).get<std::string>()).second) continue;
    problems.push_back(Problem{field.to_string(), document.at(field).dump(),
                               "an address that no other listener has",
                               "choose another port"});
  }
}

/// Keeps keys out of logs and terminals, also invalid ones.
void HideKeys(Problems& problems) {
  for (Problem& problem : problems) {
    const bool is_key = absl::StartsWith(problem.pointer, "/keys");
    if (is_key && problem.found != "nothing") problem.found = "(hidden)";
  }
}

Duration Millis(const json& group, const char* name, Duration fallback) {
  if (!group.contains(name)) return fallback;
  return std::chrono::milliseconds(group.at(name).get<std::int64_t>());
}

Addresses ReadAddresses(const json& group, const Addresses& fallback) {
  return Addresses{group.value("callers", fallback.callers),
                   group.value("admin", fallback.admin),
                   group.value("peers", fallback.peers)};
}

Timeouts ReadTimeouts(const json& group) {
  const Timeouts defaults;
  return Timeouts{Millis(group, "connect_ms", defaults.connect),
                  Millis(group, "progress_ms", defaults.progress),
                  Millis(group, "answer_ms", defaults.answer),
                  Millis(group, "entries_ttl_ms", defaults.entries_ttl),
                  Millis(group, "drain_ms", defaults.drain)};
}

Limits ReadLimits(const json& group) {
  const Limits defaults;
  return Limits{group.value("body_bytes", defaults.body_bytes),
                group.value("memory_mb", defaults.memory_mb),
                group.value("connections", defaults.connections),
                group.value("waiting_requests", defaults.waiting_requests),
                group.value("timeline_events", defaults.timeline_events)};
}

Settings ReadSettings(const json& document) {
  Settings result;
  result.instance = document.at("instance");
  result.failure_domain = document.at("failure_domain");
  result.region = document.at("region");
  result.listen = ReadAddresses(document.at("listen"), Addresses{});
  result.advertise =
      ReadAddresses(document.value("advertise", json::object()), result.listen);
  result.platform_address = document.at("platform").at("address");
  result.admin_key = document.at("keys").at("admin");
  result.peer_key = document.at("keys").at("peer");
  result.timeouts = ReadTimeouts(document.value("timeouts", json::object()));
  result.limits = ReadLimits(document.value("limits", json::object()));
  return result;
}

}  // namespace

schema::Checked<Settings> ParseSettings(std::string_view text) {
  auto document = schema::ParseJson(text);
  if (!document) return std::move(document).assume_error();
  const json& value = document.assume_value();
  Problems problems = schema::CheckDocument(SettingsSchema(), value);
  for (const char* listener : kListeners) {
    CheckAddress(value, std::string("/listen/") + listener, problems);
    CheckAddress(value, std::string("/advertise/") + listener, problems);
  }
  CheckAddress(value, "/platform/address", problems);
  CheckDistinct(value, problems);
  if (problems.empty()) return ReadSettings(value);
  HideKeys(problems);
  return problems;
}

}  // namespace toucanwharf::settings
