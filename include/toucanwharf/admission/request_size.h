#ifndef TOUCANWHARF_ADMISSION_REQUEST_SIZE_H_
#define TOUCANWHARF_ADMISSION_REQUEST_SIZE_H_

#include <optional>
#include <string_view>

namespace toucanwharf::admission {

/// Expected tokens of a request as its caller states them.
struct StatedSize {
  double prompt_tokens = 0;
  double output_tokens = 0;
  /// Whether something was stated that can't be used.
  bool unreadable = false;

  friend bool operator==(const StatedSize&, const StatedSize&) = default;
};

/// Returns the expected tokens of a request that states \p counts ("prompt
/// tokens,maximum output tokens") and maybe \p hint, an estimate of its output.
/// What is not a number, negative, infinite or more than any engine holds
/// counts as not stated: it would claim all capacity, or none. Thread safety:
/// safe.
StatedSize ReadStatedSize(std::string_view counts,
                          const std::optional<std::string_view>& hint);

/// Returns the rank that applies where the customer and the route state these.
/// Thread safety: safe.
int EffectiveRank(const std::optional<int>& of_customer,
                  const std::optional<int>& of_route);

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_REQUEST_SIZE_H_
