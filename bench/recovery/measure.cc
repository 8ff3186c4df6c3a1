#include "bench/recovery/measure.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

namespace toucanwharf::bench {
namespace {

/// A gap is long if it exceeds this multiple of the median before the fault.
constexpr std::int64_t kLongGapFactor = 3;

double Millis(std::int64_t micros) {
  return static_cast<double>(micros) / 1000.0;
}

nlohmann::json QuantilesJson(const Quantiles& quantiles) {
  return {{"p50_ms", Millis(quantiles.p50)},
          {"p95_ms", Millis(quantiles.p95)},
          {"max_ms", Millis(quantiles.max)}};
}

void PrintLine(const Row& row) {
  std::printf(
      "%-6s %-28s %3zu %3zu | %6.0f %6.0f %6.0f | %6.0f %6.0f %6.0f | %6.0f "
      "%6.0f %6.0f\n",
      row.deployment.c_str(), row.fault.c_str(), row.answers, row.wrong,
      Millis(row.next_token.p50), Millis(row.next_token.p95),
      Millis(row.next_token.max), Millis(row.pace_restored.p50),
      Millis(row.pace_restored.p95), Millis(row.pace_restored.max),
      row.phases.detection_ms, row.phases.replanning_ms,
      row.phases.resumption_ms);
}

}  // namespace

Sample MakeSample(const std::vector<std::int64_t>& token_micros,
                  std::int64_t fault) {
  std::vector<std::int64_t> gaps_before;
  for (std::size_t index = 1; index < token_micros.size(); ++index) {
    if (token_micros[index] > fault) break;
    gaps_before.push_back(token_micros[index] - token_micros[index - 1]);
  }
  const std::int64_t long_gap = kLongGapFactor * QuantilesOf(gaps_before).p50;
  Sample sample;
  std::int64_t max_gap = 0;
  for (std::size_t index = 1; index < token_micros.size(); ++index) {
    const std::int64_t since_fault = token_micros[index] - fault;
    if (since_fault <= 0) continue;
    // Tokens that were in flight at the time of the fault still arrive. The
    // first token after the recovery is the one that ends the longest gap.
    const std::int64_t gap = token_micros[index] - token_micros[index - 1];
    if (gap > max_gap) {
      max_gap = gap;
      sample.next_token = since_fault;
    }
    if (gap > long_gap) sample.pace_restored = since_fault;
  }
  sample.pace_restored = std::max(sample.pace_restored, sample.next_token);
  return sample;
}

Quantiles QuantilesOf(std::vector<std::int64_t> values) {
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
  nlohmann::json row_list = nlohmann::json::array();
  for (const Row& row : rows) {
    PrintLine(row);
    row_list.push_back({{"deployment", row.deployment},
                        {"fault", row.fault},
                        {"answers", row.answers},
                        {"wrong", row.wrong},
                        {"next_token", QuantilesJson(row.next_token)},
                        {"old_pace", QuantilesJson(row.pace_restored)},
                        {"noticing_mean_ms", row.phases.detection_ms},
                        {"replanning_mean_ms", row.phases.replanning_ms},
                        {"resuming_mean_ms", row.phases.resumption_ms}});
  }
  std::fflush(stdout);
  std::cout << nlohmann::json({{"seed", seed}, {"rows", row_list}}).dump()
            << std::endl;
}

}  // namespace toucanwharf::bench
