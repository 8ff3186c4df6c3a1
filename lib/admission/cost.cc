#include "toucanwharf/admission/cost.h"

#include <algorithm>

namespace toucanwharf::admission {
namespace {

/// Weight of the newest answer in the mean. A twentieth: the estimate follows a
/// change of use within some forty answers, and one long answer moves it by a
/// twentieth of its length.
constexpr double kSmoothing = 0.05;

/// Expected output tokens before any answer is complete.
constexpr double kInitialOutputTokens = 128;

void UpdateMean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kSmoothing * (sample - mean);
}

}  // namespace

double CostModel::ExpectedOutput(std::string_view customer,
                                 const RequestSize& size) const {
  double expected =
      this->overall_mean == 0 ? kInitialOutputTokens : this->overall_mean;
  const auto known = this->means.find(std::string(customer));
  if (known != this->means.end()) expected = known->second;
  return std::max(std::min(expected, size.max_tokens), 1.0);
}

double CostModel::Cost(std::string_view customer,
                       const RequestSize& size) const {
  return CostOf(size.prompt_tokens, this->ExpectedOutput(customer, size));
}

void CostModel::RecordOutput(std::string_view customer, double output_tokens) {
  UpdateMean(this->means[std::string(customer)], output_tokens);
  UpdateMean(this->overall_mean, output_tokens);
}

double ExpectedRemaining(double expected, double emitted, double max_tokens) {
  const double remaining = std::max(expected - emitted, emitted * 0.5);
  return std::clamp(remaining, 0.0, std::max(max_tokens - emitted, 0.0));
}

}  // namespace toucanwharf::admission
