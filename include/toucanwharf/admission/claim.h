#ifndef TOUCANWHARF_ADMISSION_CLAIM_H_
#define TOUCANWHARF_ADMISSION_CLAIM_H_

#include <string>

#include "toucanwharf/admission/cost.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::admission {

/// Ranks go from 0, the most urgent, to kRanks - 1.
inline constexpr int kRanks = 10;
/// Rank where neither the route nor the customer states one.
inline constexpr int kDefaultRank = 5;

/// What a request asks of the free capacity of endpoints, and until when that
/// is of use to its caller. The parts that decide on waiting, refusing and
/// coming back read this instead of the request's headers.
struct Claim {
  /// 0 is the most urgent.
  int rank = kDefaultRank;
  /// Empty for a route that needs no key.
  std::string customer;
  /// Expected tokens.
  double prompt_tokens = 0;
  double output_tokens = 0;
  /// When the request arrived at this instance.
  TimePoint arrived;
  /// Latest time of a first event that is on time, counted from the caller's
  /// first attempt.
  TimePoint on_time_until;
  /// When the caller gives up.
  TimePoint useful_until;
  /// Whether the caller has come back after a refusal or an interrupted answer.
  bool returned = false;

  /// Returns the cost in tokens by the cost model.
  double Cost() const {
    return CostOf(this->prompt_tokens, this->output_tokens);
  }

  friend bool operator==(const Claim&, const Claim&) = default;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_CLAIM_H_
