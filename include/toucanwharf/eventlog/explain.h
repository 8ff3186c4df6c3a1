#ifndef TOUCANWHARF_EVENTLOG_EXPLAIN_H_
#define TOUCANWHARF_EVENTLOG_EXPLAIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reads log lines to explain the outcome of a request.
namespace toucanwharf::eventlog {

/// One log line.
struct LogEntry {
  /// Milliseconds since 1970 on the writer's wall clock.
  std::uint64_t time_ms = 0;
  std::string instance;
  std::string event;
  /// Id of the request; empty for a change of the instance's state.
  std::string request;
  /// Reason for the end of an attempt or a request; empty for other events.
  std::string why;
  /// The whole line.
  std::string text;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Returns the entry in \p line, or nothing if it isn't a line of this log.
/// Skips text before the first brace, such as the prefix of a log collector.
/// Thread safety: safe.
std::optional<LogEntry> ParseLogLine(std::string_view line);

/// How a request waited for capacity at one instance, as far as its lines state
/// it: routine lines, such as `queued`, are sampled.
struct QueueWait {
  std::optional<std::uint64_t> rank;
  /// Requests that went before it when it began to wait.
  std::optional<std::uint64_t> ahead;
  /// Wait that was expected then.
  std::optional<std::uint64_t> expected_wait_ms;
  std::optional<std::uint64_t> waited_ms;

  friend bool operator==(const QueueWait&, const QueueWait&) = default;
};

/// What the logs show about one request.
struct Explanation {
  /// Events of the request, in order.
  std::vector<LogEntry> steps;
  /// The last change of its instance's state before the request ended, for each
  /// kind of event, in order.
  std::vector<LogEntry> state_changes;
  /// The wait at the instance that gave the reason for the end.
  QueueWait wait;
  /// The likely cause, as text.
  std::string cause;

  friend bool operator==(const Explanation&, const Explanation&) = default;
};

/// Returns \p wait as text, as "rank 2, queued behind 14 requests, waited 812
/// ms"; empty if nothing is stated. Thread safety: safe.
std::string ToText(const QueueWait& wait);

/// Explains the request \p id from \p entries of any number of processes, in
/// any order. `steps` is empty if no entry is about it. Thread safety: safe.
Explanation Explain(std::vector<LogEntry> entries, const std::string& id);

}  // namespace toucanwharf::eventlog

#endif  // TOUCANWHARF_EVENTLOG_EXPLAIN_H_
