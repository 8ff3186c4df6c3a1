#include "bench/recovery/measure.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

namespace toucanwharf::bench {
namespace {

/// A gap so many times the median before the fault is long.
constexpr std::int64_t kLongGapFactor = 3;

double Millis(std::int64_t micros) {
  return static_cast<double>(micros) / 1000.0;
}

nlohmann::json SpreadJson(const Spread& spread) {
  return {{"p50_ms", Millis(spread.p50)},
          {"p95_ms", Millis(spread.p95)},
          {"max_ms", Millis(spread.max)}};
}

void PrintLine(const Row& row) {
  std::printf(
      "%-6s %-28s %3zu %3zu | %6.0f %6.0f %6.0f | %6.0f %6.0f %6.0f | %6.0f "
      "%6.0f %6.0f\n",
      row.deployment.c_str(), row.fault.c_str(), row.answers, row.wrong,
      Millis(row.next_token.p50), Millis(row.next_token.p95),
      Millis(row.next_token.max), Millis(row.old_pace.p50),
      Millis(row.old_pace.p95), Millis(row.old_pace.max), row.split.noticing_ms,
      row.split.replanning_ms, row.split.resuming_ms);
}

}  // namespace

Sample SampleOf(const std::vector<std::int64_t>& token_micros,
                std::int64_t fault) {
  std::vector<std::int64_t> before;
  for (std::size_t at = 1; at < token_micros.size(); ++at) {
    if (token_micros[at] > fault) break;
    before.push_back(token_micros[at] - token_micros[at - 1]);
  }
  const std::int64_t long_gap = kLongGapFactor * SpreadOf(before).p50;
  Sample sample;
  std::int64_t longest = 0;
  for (std::size_t at = 1; at < token_micros.size(); ++at) {
    const std::int64_t after = token_micros[at] - fault;
    if (after <= 0) continue;
    // A token that was under way when the fault struck is not the next one:
    // the next one ends the longest gap.
    const std::int64_t gap = token_micros[at] - token_micros[at - 1];
    if (gap > longest) {
      longest = gap;
      sample.next_token = after;
    }
    if (gap > long_gap) sample.old_pace = after;
  }
  sample.old_pace = std::max(sample.old_pace, sample.next_token);
  return sample;
}

Spread SpreadOf(std::vector<std::int64_t> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  const std::size_t last = values.size() - 1;
  constexpr std::size_t kPercent = 100;
  constexpr std::size_t kP95 = 95;
  return {values[last / 2], values[(last * kP95 + kPercent - 1) / kPercent],
          values[last]};
}

void Print(const std::vector<Row>& rows, std::uint64_t seed) {
  std::printf(
      "milliseconds from the fault, as callers saw it, then the router's own "
      "mean split\n%-6s %-28s %3s %3s | next right token     | old pace"
      "             | notice replan resume\n",
      "", "fault", "n", "bad");
  std::printf("%-6s %-28s %3s %3s | %6s %6s %6s | %6s %6s %6s |\n", "", "", "",
              "", "p50", "p95", "max", "p50", "p95", "max");
  nlohmann::json lines = nlohmann::json::array();
  for (const Row& row : rows) {
    PrintLine(row);
    lines.push_back({{"deployment", row.deployment},
                     {"fault", row.fault},
                     {"answers", row.answers},
                     {"wrong", row.wrong},
                     {"next_token", SpreadJson(row.next_token)},
                     {"old_pace", SpreadJson(row.old_pace)},
                     {"noticing_mean_ms", row.split.noticing_ms},
                     {"replanning_mean_ms", row.split.replanning_ms},
                     {"resuming_mean_ms", row.split.resuming_ms}});
  }
  std::fflush(stdout);
  std::cout << nlohmann::json({{"seed", seed}, {"rows", lines}}).dump()
            << std::endl;
}

}  // namespace toucanwharf::bench
