#ifndef TOUCANWHARF_ADMISSION_COST_H_
#define TOUCANWHARF_ADMISSION_COST_H_

#include <string>
#include <string_view>
#include <unordered_map>

/// \file
/// What a request costs before it ran, in output tokens.
///
/// Pattern of load: a customer's requests differ a hundredfold in length, and
/// `max_tokens` says little, as most callers leave it at its maximum. Counted
/// as one each, a customer of long answers gets many times its share; counted
/// by `max_tokens`, short answers are refused for work that never comes.
namespace toucanwharf::admission {

/// Cost of one prompt token. Engines prefill in large batches: 20 to 50 prompt
/// tokens take the time of one output token; the low end is taken, so that
/// long prompts aren't cheap.
inline constexpr double kPromptTokenCost = 0.05;

/// What is known of a request's size when it comes in.
struct RequestSize {
  double prompt_tokens = 0;
  /// Most tokens that the caller wants.
  double max_tokens = 0;

  friend bool operator==(const RequestSize&, const RequestSize&) = default;
};

/// Estimates output length by customer from a moving mean.
/// Thread safety: none; for one thread.
class CostModel {
 public:
  /// Returns the output tokens to expect, at most `max_tokens`. A customer
  /// that wasn't seen before is taken as the mean of all.
  double ExpectedOutput(std::string_view customer,
                        const RequestSize& size) const;

  /// Returns the cost: prompt and expected output.
  double Cost(std::string_view customer, const RequestSize& size) const;

  /// Notes an answer's length once it is whole.
  void Learn(std::string_view customer, double output_tokens);

 private:
  std::unordered_map<std::string, double> means;
  double overall = 0;
};

/// Returns the cost of \p output_tokens after a prompt of \p prompt_tokens.
constexpr double CostOf(double prompt_tokens, double output_tokens) {
  return prompt_tokens * kPromptTokenCost + output_tokens;
}

/// Returns the output still to come of an answer that was expected to have
/// \p expected tokens and has had \p emitted. An answer that outgrew its
/// expectation is likely long: half of what it has had is expected yet.
double ExpectedRest(double expected, double emitted, double max_tokens);

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_COST_H_
