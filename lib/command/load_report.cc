#include "toucanwharf/command/load_report.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_format.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;

constexpr double kMicrosPerMilli = 1000.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

json Percentiles(const std::vector<Duration>& samples) {
  return {{"count", samples.size()},
          {"p50_ms", Millis(Percentile(samples, kMedian))},
          {"p95_ms", Millis(Percentile(samples, kP95))},
          {"p99_ms", Millis(Percentile(samples, kP99))},
          {"max_ms", Millis(Percentile(samples, 1.0))}};
}

std::string Line(const char* name, const std::vector<Duration>& samples) {
  return absl::StrFormat(
      "%-12s p50 %9.1f ms  p95 %9.1f ms  p99 %9.1f ms  max %9.1f ms\n", name,
      Millis(Percentile(samples, kMedian)), Millis(Percentile(samples, kP95)),
      Millis(Percentile(samples, kP99)), Millis(Percentile(samples, 1.0)));
}

double TokenRate(const LoadReport& report) {
  const double seconds =
      static_cast<double>(report.duration.count()) / kMicrosPerSecond;
  return seconds > 0 ? static_cast<double>(report.tokens) / seconds : 0;
}

}  // namespace

Duration Percentile(std::vector<Duration> samples, double fraction) {
  if (samples.empty()) return Duration(0);
  std::sort(samples.begin(), samples.end());
  const double rank = std::ceil(fraction * static_cast<double>(samples.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return samples[std::min(index, samples.size() - 1)];
}

json ToJson(const LoadReport& report) {
  return {{"answers", report.answers},
          {"whole", report.whole},
          {"wrong", report.wrong},
          {"broken", report.broken},
          {"refused_by_ran", report.refused_by_ran},
          {"interruptions", report.interruptions},
          {"service_calls", report.service_calls},
          {"service_done", report.service_done},
          {"tokens", report.tokens},
          {"tokens_per_second", TokenRate(report)},
          {"length_ms", Millis(report.duration)},
          {"first_token", Percentiles(report.first_token)},
          {"token_gap", Percentiles(report.gaps)},
          {"answer_total", Percentiles(report.totals)},
          {"service_total", Percentiles(report.service_totals)}};
}

std::string ToText(const LoadReport& report) {
  std::string text = absl::StrFormat(
      "answers %d: whole %d, wrong %d; service calls %d: done %d; broken %d; "
      "interruptions %d\n",
      report.answers, report.whole, report.wrong, report.service_calls,
      report.service_done, report.broken, report.interruptions);
  for (const auto& [ran, count] : report.refused_by_ran) {
    text += absl::StrFormat("refused, ran %s: %d\n", ran, count);
  }
  text += absl::StrFormat("tokens a second %.0f\n", TokenRate(report));
  text += Line("first token", report.first_token);
  text += Line("token gap", report.gaps);
  text += Line("answer", report.totals);
  text += Line("service call", report.service_totals);
  return text;
}

}  // namespace toucanwharf::command
