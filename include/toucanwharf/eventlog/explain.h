#ifndef TOUCANWHARF_EVENTLOG_EXPLAIN_H_
#define TOUCANWHARF_EVENTLOG_EXPLAIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reading log lines again, to tell what became of a request.
namespace toucanwharf::eventlog {

/// One log line.
struct LogEntry {
  /// Milliseconds since 1970, by the writer's wall clock.
  std::uint64_t at = 0;
  std::string instance;
  std::string event;
  /// The request that it is about; empty for a change of belief.
  std::string request;
  /// Why a try or a request ended as it did; empty for other events.
  std::string why;
  /// The whole line.
  std::string text;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Returns the entry in \p line, or nothing if it is no line of this log. Text
/// before the line's first brace, as collectors put it, is skipped.
/// Thread safety: safe.
std::optional<LogEntry> ParseLogLine(std::string_view line);

/// What the logs tell of one request.
struct Explanation {
  /// What happened to it, in order.
  std::vector<LogEntry> steps;
  /// The last changes of what its instance believed before it ended, one of
  /// each kind, in order.
  std::vector<LogEntry> state_changes;
  /// The likely cause, in words.
  std::string cause;

  friend bool operator==(const Explanation&, const Explanation&) = default;
};

/// Explains the request \p id from \p entries of any number of processes, in
/// any order. Steps are empty if no entry is about it. Thread safety: safe.
Explanation Explain(std::vector<LogEntry> entries, const std::string& id);

}  // namespace toucanwharf::eventlog

#endif  // TOUCANWHARF_EVENTLOG_EXPLAIN_H_
