#ifndef TOUCANWHARF_COMMAND_LOAD_REPORT_H_
#define TOUCANWHARF_COMMAND_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::command {

/// Returns the value below or at which \p part (0 to 1) of \p samples lie, by
/// the nearest rank; zero without samples. Thread safety: safe.
Duration Percentile(std::vector<Duration> samples, double part);

/// What a load run saw. A value that is filled while the run goes on.
struct LoadReport {
  std::uint64_t answers = 0;
  std::uint64_t service_calls = 0;
  /// Answers that came whole, and service calls that succeeded.
  std::uint64_t whole = 0;
  std::uint64_t service_done = 0;
  /// Refusals of both kinds of call by what they said of `ran`; "unsaid" when
  /// they said nothing.
  std::map<std::string, std::uint64_t> refused_by_ran;
  /// Answers that broke off, or changed under way, and calls without an end.
  std::uint64_t broken = 0;
  /// Whole answers whose tokens are not what they have to be.
  std::uint64_t wrong = 0;
  /// Connections lost from which an answer still went on.
  std::uint64_t interruptions = 0;
  std::uint64_t tokens = 0;
  /// From the planned time of a call to its first token, so that a stalled
  /// system is not spared the calls that it delayed.
  std::vector<Duration> first_token;
  std::vector<Duration> gaps;
  std::vector<Duration> totals;
  std::vector<Duration> service_totals;
  Duration length{0};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Returns \p report with percentiles in milliseconds. Thread safety: safe.
nlohmann::json ToJson(const LoadReport& report);

/// Returns \p report as lines for people. Thread safety: safe.
std::string ToText(const LoadReport& report);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_LOAD_REPORT_H_
