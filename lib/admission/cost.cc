#include "toucanwharf/admission/cost.h"

#include <algorithm>

namespace toucanwharf::admission {
namespace {

/// A twentieth: the estimate follows a change of use within some forty
/// answers, and one long answer moves it by a twentieth of its length.
constexpr double kSmoothing = 0.05;

/// Expected before any answer was seen.
constexpr double kFirstGuess = 128;

void Move(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kSmoothing * (sample - mean);
}

}  // namespace

double CostModel::ExpectedOutput(std::string_view customer,
                                 const RequestSize& size) const {
  double expected = this->overall == 0 ? kFirstGuess : this->overall;
  const auto known = this->means.find(std::string(customer));
  if (known != this->means.end()) expected = known->second;
  return std::max(std::min(expected, size.max_tokens), 1.0);
}

double CostModel::Cost(std::string_view customer,
                       const RequestSize& size) const {
  return CostOf(size.prompt_tokens, this->ExpectedOutput(customer, size));
}

void CostModel::Learn(std::string_view customer, double output_tokens) {
  Move(this->means[std::string(customer)], output_tokens);
  Move(this->overall, output_tokens);
}

double ExpectedRest(double expected, double emitted, double max_tokens) {
  const double rest = std::max(expected - emitted, emitted * 0.5);
  return std::clamp(rest, 0.0, std::max(max_tokens - emitted, 0.0));
}

}  // namespace toucanwharf::admission
