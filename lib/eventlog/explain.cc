#include "toucanwharf/eventlog/explain.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "toucanwharf/support/json.h"

namespace toucanwharf::eventlog {
namespace {

using Json = nlohmann::json;

/// Explanation of each reason that an attempt or a request ended, and the log
/// lines to check.
constexpr std::array<std::pair<std::string_view, std::string_view>, 30>
    kCauses = {{
        {"no_configuration",
         "the instance had just started and had no configuration; see its "
         "store_lost lines"},
        {"keys_unconfirmed",
         "the instance could not prove for the bound of revocation that its "
         "keys still hold; see configuration_age_ms and store_lost"},
        {"unknown_key",
         "no configuration in force at the instance has the key"},
        {"no_route",
         "no route of the configuration in force matches host and path"},
        {"no_service", "the route names a service that is not configured"},
        {"stopping",
         "the instance was stopping and could not have finished it in time"},
        {"no_endpoint",
         "no endpoint, or no path over all layers, was usable; see "
         "endpoints_changed and layout"},
        {"quarantined",
         "it, or a part of its prompt, was at the crashes of endpoints; see "
         "request_at_crash and peer_reported_crash with its content"},
        {"no_room", "all paths were full when it came"},
        {"no_room_in_time",
         "all paths were full, and no room was to be had while the answer was "
         "of "
         "use to its caller"},
        {"not_connected", "the endpoint could not be connected to"},
        {"refused_by_endpoint",
         "the endpoint named in at_fault refused it: short of memory, "
         "draining, or without the layers"},
        {"failed_at_endpoint", "the endpoint ran it and failed"},
        {"broken",
         "the connection to the endpoint broke before the answer was whole"},
        {"no_memory",
         "this instance had no memory for the rest of the answer, of which it "
         "held most for longest"},
        {"answer_of_another_request",
         "the endpoint sent an answer to another request"},
        {"ended_inside_event", "the endpoint ended in the middle of an event"},
        {"ended_before_event", "the endpoint ended before the first event"},
        {"ended_with_endpoint",
         "the answer ended with its connection, and its endpoint with it"},
        {"end_unproven",
         "the answer ended with its connection, and nothing showed that it was "
         "whole; see unframed_end"},
        {"event_out_of_order",
         "the endpoint sent an event whose id goes back or skips"},
        {"event_too_long", "the endpoint sent an event that did not end"},
        {"failure_too_long", "the endpoint sent a failure that did not end"},
        {"first_engine_silent", "the first engine of the path fell silent"},
        {"no_way_around",
         "an engine of the path fell silent, and no path around it had room"},
        {"isolated",
         "the instance could reach no endpoint, and knew of no other that "
         "could; see isolated_from_endpoints and endpoints_regained"},
        {"refused_by_peer",
         "the instance could not reach the endpoints and forwarded it; the "
         "other one refused, see the refused line there"},
        {"peer_silent",
         "the instance that it was forwarded to gave no sign of life"},
        {"forward_behind",
         "the instance that it was forwarded to had an older configuration"},
        {"deadline", "its time was over before an answer came"},
    }};

std::string CauseOf(const std::string& why) {
  for (const auto& [reason, meaning] : kCauses) {
    if (reason == why) return std::string{meaning};
  }
  return why.empty() ? "nothing went wrong" : why;
}

std::string RequestsText(std::uint64_t count) {
  return absl::StrCat(count, count == 1 ? " request" : " requests");
}

/// Returns what \p wait adds to the cause of a refusal after a wait.
std::string WaitInCause(const QueueWait& wait) {
  if (!wait.waited_ms) return "";
  std::string text = absl::StrCat("; it waited ", *wait.waited_ms, " ms");
  if (wait.ahead) {
    absl::StrAppend(&text, ", and ", RequestsText(*wait.ahead),
                    " went before it when it began to wait");
  }
  return text;
}

/// Adds what \p step states to \p wait.
void AddStep(const LogEntry& step, QueueWait& wait) {
  const Json json = Json::parse(step.text, nullptr, false);
  const auto update = [&json](std::optional<std::uint64_t>& to,
                              const char* name) {
    if (const auto stated = CountMember(json, name)) to = stated;
  };
  update(wait.rank, "rank");
  update(wait.ahead, "ahead");
  update(wait.expected_wait_ms, "expected_wait_ms");
  update(wait.waited_ms, "waited_ms");
}

/// Returns how the request of \p steps waited at \p instance the last time that
/// it came there: callers repeat a refused request with the same id.
QueueWait WaitAt(const std::vector<LogEntry>& steps,
                 const std::string& instance) {
  QueueWait wait;
  bool ended = false;
  for (const LogEntry& step : steps) {
    if (step.instance != instance) continue;
    if (ended) wait = QueueWait{};
    AddStep(step, wait);
    ended = step.event == "finished";
  }
  return wait;
}

}  // namespace

std::optional<LogEntry> ParseLogLine(std::string_view line) {
  const std::size_t brace = line.find('{');
  if (brace == std::string_view::npos) return std::nullopt;
  const Json json = Json::parse(line.substr(brace), nullptr, false);
  const auto time_ms = CountMember(json, "at");
  LogEntry entry;
  entry.event = TextMember(json, "event");
  if (!time_ms || entry.event.empty()) return std::nullopt;
  entry.time_ms = *time_ms;
  entry.instance = TextMember(json, "instance");
  entry.request = TextMember(json, "request");
  entry.why = TextMember(json, "why");
  entry.text = std::string{line.substr(brace)};
  return entry;
}

std::string ToText(const QueueWait& wait) {
  std::vector<std::string> parts;
  if (wait.rank) parts.push_back(absl::StrCat("rank ", *wait.rank));
  if (wait.ahead) {
    parts.push_back(absl::StrCat("queued behind ", RequestsText(*wait.ahead)));
  }
  if (wait.expected_wait_ms) {
    parts.push_back(
        absl::StrCat("expected to wait ", *wait.expected_wait_ms, " ms"));
  }
  if (wait.waited_ms) {
    parts.push_back(absl::StrCat("waited ", *wait.waited_ms, " ms"));
  }
  return absl::StrJoin(parts, ", ");
}

Explanation Explain(std::vector<LogEntry> entries, const std::string& id) {
  std::stable_sort(entries.begin(), entries.end(),
                   [](const LogEntry& lhs, const LogEntry& rhs) {
                     return lhs.time_ms < rhs.time_ms;
                   });
  Explanation explanation;
  for (const LogEntry& entry : entries) {
    if (entry.request == id) explanation.steps.push_back(entry);
  }
  if (explanation.steps.empty()) return explanation;
  const LogEntry& last = explanation.steps.back();
  std::map<std::string, LogEntry> latest_changes;
  for (const LogEntry& entry : entries) {
    if (!entry.request.empty() || entry.instance != last.instance) continue;
    if (entry.time_ms <= last.time_ms) {
      latest_changes.insert_or_assign(entry.event, entry);
    }
  }
  for (const auto& [event, entry] : latest_changes) {
    explanation.state_changes.push_back(entry);
  }
  std::stable_sort(explanation.state_changes.begin(),
                   explanation.state_changes.end(),
                   [](const LogEntry& lhs, const LogEntry& rhs) {
                     return lhs.time_ms < rhs.time_ms;
                   });
  std::string why;
  std::string instance = last.instance;
  for (const LogEntry& step : explanation.steps) {
    if (step.why.empty()) continue;
    why = step.why;
    instance = step.instance;
  }
  explanation.wait = WaitAt(explanation.steps, instance);
  explanation.cause = CauseOf(why);
  if (why == "no_room_in_time") {
    explanation.cause += WaitInCause(explanation.wait);
  }
  return explanation;
}

}  // namespace toucanwharf::eventlog
