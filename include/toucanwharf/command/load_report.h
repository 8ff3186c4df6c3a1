#ifndef TOUCANWHARF_COMMAND_LOAD_REPORT_H_
#define TOUCANWHARF_COMMAND_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::command {

/// Returns the nearest-rank percentile of \p samples at \p fraction (0 to 1);
/// zero without samples. Thread safety: safe.
Duration Percentile(std::vector<Duration> samples, double fraction);

/// Counters and latencies of a load run, filled during the run.
struct LoadReport {
  std::uint64_t answers = 0;
  std::uint64_t service_calls = 0;
  /// Complete answers, and service calls that succeeded.
  std::uint64_t whole = 0;
  std::uint64_t service_done = 0;
  /// Refusals of both kinds of call by their `ran` member; "unsaid" if it is
  /// missing.
  std::map<std::string, std::uint64_t> refused_by_ran;
  /// Answers that were aborted or whose tokens changed, and service calls that
  /// ended without an answer.
  std::uint64_t broken = 0;
  /// Complete answers whose tokens differ from the expected ones.
  std::uint64_t wrong = 0;
  /// Connections lost after the call had been sent.
  std::uint64_t interruptions = 0;
  std::uint64_t tokens = 0;
  /// Time from the planned start of a call to its first token, so that calls
  /// delayed by a stalled system count with their full delay.
  std::vector<Duration> first_token;
  std::vector<Duration> gaps;
  std::vector<Duration> totals;
  std::vector<Duration> service_totals;
  Duration duration{0};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Returns \p report with percentiles in milliseconds. Thread safety: safe.
nlohmann::json ToJson(const LoadReport& report);

/// Returns \p report as human-readable lines. Thread safety: safe.
std::string ToText(const LoadReport& report);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_LOAD_REPORT_H_
