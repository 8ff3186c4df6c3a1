#include "toucanwharf/admission/request_size.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "toucanwharf/admission/claim.h"

namespace toucanwharf::admission {
namespace {

/// Typical share of the maximum output tokens that an answer has.
constexpr double kTypicalOutputShare = 0.6;
/// More tokens than the memory of any engine holds.
constexpr double kMaxTokens = 1e7;

std::optional<double> ReadTokens(std::string_view text) {
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  const bool usable = std::isfinite(value) && value >= 0 && value <= kMaxTokens;
  return whole && usable ? std::optional(value) : std::nullopt;
}

}  // namespace

StatedSize ReadStatedSize(std::string_view counts,
                          const std::optional<std::string_view>& hint) {
  StatedSize size;
  const std::size_t comma = counts.find(',');
  if (comma == std::string_view::npos) {
    size.unreadable = !counts.empty();
    return size;
  }
  const auto prompt = ReadTokens(counts.substr(0, comma));
  const auto max_output = ReadTokens(counts.substr(comma + 1));
  const auto expected = hint ? ReadTokens(*hint) : std::nullopt;
  size.unreadable = !prompt || !max_output || (hint && !expected);
  size.prompt_tokens = prompt.value_or(0);
  const double typical = kTypicalOutputShare * max_output.value_or(0);
  size.output_tokens =
      std::min(expected.value_or(typical), max_output.value_or(0));
  return size;
}

int EffectiveRank(const std::optional<int>& of_customer,
                  const std::optional<int>& of_route) {
  const int stated = of_customer.value_or(of_route.value_or(kDefaultRank));
  return std::clamp(stated, 0, kRanks - 1);
}

}  // namespace toucanwharf::admission
