#include "report.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace toucanwharf::bench {
namespace {

nlohmann::json ToJson(const Row& row) {
  const RunResult& result = row.result;
  return {{"experiment", row.experiment},
          {"policy", row.policy},
          {"endpoints", row.endpoints},
          {"routers", row.routers},
          {"offered_of_bound", row.offered},
          {"requests_of_bound", row.requests_of_bound},
          {"tokens_of_bound", row.tokens_of_bound},
          {"requests_of_answered_mix_bound", result.fraction_of_answered_bound},
          {"refused_part", result.refused_fraction},
          {"lost_part", result.lost_fraction},
          {"first_token_p50_s", result.first_token_p50},
          {"first_token_p95_s", result.first_token_p95},
          {"small_customers_first_token_p95_s", result.small_customers_p95},
          {"token_gap_p95_s", result.token_gap_p95},
          {"slots_idle_while_work_waits", result.idle_while_waiting},
          {"decision_micros_per_request", result.micros_per_request},
          {"decision_micros_per_token", result.micros_per_token}};
}

}  // namespace

void PrintTable(const std::vector<Row>& rows) {
  std::printf(
      "%-6s %4s %2s %5s %-27s %6s %6s %6s %6s %6s %7s %7s %7s %6s %6s %6s\n",
      "run", "ends", "r", "load", "policy", "req", "mix", "tokens", "refus",
      "lost", "ttft50", "ttft95", "small95", "gap95", "idle", "us/req");
  for (const Row& row : rows) {
    const RunResult& result = row.result;
    std::printf(
        "%-6s %4u %2u %5.2f %-27s %6.3f %6.3f %6.3f %6.3f %6.3f %7.3f %7.3f "
        "%7.3f "
        "%6.3f %6.3f %6.2f\n",
        row.experiment.c_str(), row.endpoints, row.routers, row.offered,
        row.policy.c_str(), row.requests_of_bound,
        result.fraction_of_answered_bound, row.tokens_of_bound,
        result.refused_fraction, result.lost_fraction, result.first_token_p50,
        result.first_token_p95, result.small_customers_p95,
        result.token_gap_p95, result.idle_while_waiting,
        result.micros_per_request);
  }
}

std::string ToJson(const std::vector<Row>& rows, std::uint64_t seed) {
  nlohmann::json all = nlohmann::json::array();
  for (const Row& row : rows) all.push_back(ToJson(row));
  const nlohmann::json report = {{"seed", seed}, {"rows", all}};
  return report.dump(2);
}

}  // namespace toucanwharf::bench
