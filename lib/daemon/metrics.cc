#include "toucanwharf/daemon/metrics.h"

#include <array>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::daemon {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

std::string WithQuantile(const std::string& name, double quantile) {
  const std::string label = absl::StrCat("quantile=\"", quantile, "\"");
  const std::size_t brace = name.find('{');
  if (brace == std::string::npos) return absl::StrCat(name, "{", label, "}");
  return absl::StrCat(name.substr(0, brace + 1), label, ",",
                      name.substr(brace + 1));
}

std::string WithSuffix(const std::string& name, std::string_view suffix) {
  const std::size_t brace = name.find('{');
  if (brace == std::string::npos) return name + std::string(suffix);
  return name.substr(0, brace) + std::string(suffix) + name.substr(brace);
}

}  // namespace

void Metrics::Count(std::string_view name, std::uint64_t by) {
  const auto found = this->counters.find(name);
  if (found != this->counters.end()) {
    found->second += by;
    return;
  }
  this->counters.emplace(std::string(name), by);
}

void Metrics::Set(std::string_view name, double value) {
  this->gauges[std::string(name)] = value;
}

void Metrics::Observe(std::string_view name, Duration value) {
  auto found = this->summaries.find(name);
  if (found == this->summaries.end()) {
    Summary summary(accumulators::extended_p_square_probabilities = kQuantiles);
    found = this->summaries.emplace(std::string(name), summary).first;
  }
  found->second(std::chrono::duration<double>(value).count());
}

std::uint64_t Metrics::Value(std::string_view name) const {
  const auto found = this->counters.find(name);
  return found == this->counters.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  std::string text;
  for (const auto& [name, value] : this->counters) {
    absl::StrAppend(&text, name, " ", value, "\n");
  }
  for (const auto& [name, value] : this->gauges) {
    absl::StrAppend(&text, name, " ", value, "\n");
  }
  for (const auto& [name, summary] : this->summaries) {
    for (const double quantile : kQuantiles) {
      const double value = accumulators::quantile(
          summary, accumulators::quantile_probability = quantile);
      absl::StrAppend(&text, WithQuantile(name, quantile), " ", value, "\n");
    }
    absl::StrAppend(&text, WithSuffix(name, "_sum"), " ",
                    accumulators::sum(summary), "\n");
    absl::StrAppend(&text, WithSuffix(name, "_count"), " ",
                    accumulators::count(summary), "\n");
  }
  return text;
}

}  // namespace toucanwharf::daemon
