#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "subcommands.h"
#include "toucanwharf/eventlog/explain.h"

namespace toucanwharf::command {
namespace {

using eventlog::Explanation;
using eventlog::LogEntry;

void PrintEntries(std::ostream& out, const char* title,
                  const std::vector<LogEntry>& entries) {
  out << title << "\n";
  for (const LogEntry& entry : entries) out << "  " << entry.text << "\n";
}

nlohmann::json ToJson(const std::vector<LogEntry>& entries) {
  nlohmann::json list = nlohmann::json::array();
  for (const LogEntry& entry : entries) {
    list.push_back(nlohmann::json::parse(entry.text, nullptr, false));
  }
  return list;
}

nlohmann::json ToJson(const eventlog::QueueWait& wait) {
  nlohmann::json json = nlohmann::json::object();
  if (wait.rank) json["rank"] = *wait.rank;
  if (wait.ahead) json["ahead"] = *wait.ahead;
  if (wait.expected_wait_ms) json["expected_wait_ms"] = *wait.expected_wait_ms;
  if (wait.waited_ms) json["waited_ms"] = *wait.waited_ms;
  return json;
}

void Print(const Explanation& explanation, bool as_json, std::ostream& out) {
  if (as_json) {
    out << nlohmann::json{{"steps", ToJson(explanation.steps)},
                          {"beliefs", ToJson(explanation.state_changes)},
                          {"queue", ToJson(explanation.wait)},
                          {"cause", explanation.cause}}
               .dump()
        << "\n";
    return;
  }
  PrintEntries(out, "what happened:", explanation.steps);
  PrintEntries(out,
               "state changes of its instance:", explanation.state_changes);
  const std::string wait = eventlog::ToText(explanation.wait);
  if (!wait.empty()) out << "queue: " << wait << "\n";
  out << "likely cause: " << explanation.cause << "\n";
}

int Run(const Arguments& arguments, Streams& streams) {
  const auto positional = arguments.Positional();
  if (positional.size() < 2) {
    return Fail(streams, CommandError::kBadUsage,
                "explain REQUEST-ID LOG-FILE...");
  }
  std::vector<LogEntry> entries;
  for (std::size_t index = 1; index < positional.size(); ++index) {
    std::ifstream file(positional[index]);
    if (!file) return Fail(streams, CommandError::kBadUsage, positional[index]);
    for (std::string line; std::getline(file, line);) {
      if (auto entry = eventlog::ParseLogLine(line)) {
        entries.push_back(std::move(*entry));
      }
    }
  }
  const Explanation explanation =
      eventlog::Explain(std::move(entries), positional.front());
  if (explanation.steps.empty()) {
    return Fail(streams, CommandError::kNotFound, positional.front());
  }
  Print(explanation, arguments.Json(), streams.out);
  return kExitOk;
}

}  // namespace

Subcommand ExplainSubcommand() {
  return {"explain", "Explain the outcome of a request from event logs",
          "REQUEST-ID LOG-FILE...", [](cxxopts::Options&) {}, Run};
}

}  // namespace toucanwharf::command
