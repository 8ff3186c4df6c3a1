#ifndef TOUCANWHARF_ADMISSION_COST_H_
#define TOUCANWHARF_ADMISSION_COST_H_

#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// Estimates what a request costs before it has run, in output tokens.
///
/// Load: a customer's requests differ a hundredfold in length, and `max_tokens`
/// says little, as most callers leave it at its maximum. Counted as one each, a
/// customer of long answers gets many times its share; counted by `max_tokens`,
/// short answers are refused for work that never comes.
namespace toucanwharf::admission {

/// Cost of one prompt token. Engines prefill in large batches: 20 to 50 prompt
/// tokens take the time of one output token. The low end is used, so that long
/// prompts aren't cheap.
inline constexpr double kPromptTokenCost = 0.05;

/// Size of a request as known on arrival.
struct RequestSize {
  double prompt_tokens = 0;
  /// Maximum number of output tokens that the caller requests.
  double max_tokens = 0;

  friend bool operator==(const RequestSize&, const RequestSize&) = default;
};

/// Estimates output length by customer from a moving mean.
/// Thread safety: none; for one thread.
class CostModel {
 public:
  /// Returns the expected output tokens, at most `max_tokens`. A customer
  /// without answers so far gets the mean of all customers.
  double ExpectedOutput(std::string_view customer,
                        const RequestSize& size) const;

  /// Returns the cost of the prompt and the expected output.
  double Cost(std::string_view customer, const RequestSize& size) const;

  /// Records the length of a complete answer.
  void RecordOutput(std::string_view customer, double output_tokens);

 private:
  std::unordered_map<std::string, double> means;
  double overall_mean = 0;
};

/// Returns the cost of \p output_tokens after a prompt of \p prompt_tokens.
constexpr double CostOf(double prompt_tokens, double output_tokens) {
  return prompt_tokens * kPromptTokenCost + output_tokens;
}

/// Returns the expected remaining output of an answer that was expected to have
/// \p expected tokens and has emitted \p emitted. An answer that exceeds its
/// expectation is likely long: half of what it has emitted is expected as well.
double ExpectedRemaining(double expected, double emitted, double max_tokens);

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_COST_H_
