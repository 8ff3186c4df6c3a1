#ifndef TOUCANWHARF_PIPELINE_DEADLINES_H_
#define TOUCANWHARF_PIPELINE_DEADLINES_H_

#include <cstdint>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::pipeline {

/// How long an attempt may go without progress, derived from what its plan
/// should take. Too short, and a batch that grew or an instance that was
/// paused for a moment costs a needless prefill; too long, and a caller waits
/// on a link or endpoint that is gone.
struct DeadlinePolicy {
  /// Continuous batching can double a token's time when a prompt joins the
  /// batch, and a garbage collection or page fault doubles it once more.
  int gap_factor = 4;
  /// Covers scheduling pauses of small, busy instances; without it a plan
  /// with gaps of 1 ms would be suspected at every pause of 4 ms.
  Duration gap_floor{std::chrono::milliseconds(80)};
  /// The expected wait comes from lagging reports and is the least certain
  /// part of a plan.
  int first_factor = 3;
  /// A plan whose mean gap is so many times the expected one, and the floor
  /// more, is left for another. Below the gap factor, or silence would always
  /// come first; above the two that a growing batch explains.
  int slow_factor = 3;
  Duration slow_floor{std::chrono::milliseconds(20)};
  Duration first_floor{std::chrono::milliseconds(250)};
  /// A status call takes one round trip and no compute; the floor is the same
  /// as for token gaps plus the handshake of a fresh connection.
  Duration probe{std::chrono::milliseconds(120)};
  /// Waits double with each attempt that made no progress, up to this factor,
  /// so that a fleet that is slow as a whole is not driven into ever more
  /// prefills by its own deadlines.
  int back_off_limit = 8;
  /// Pause before planning again when there was no cover.
  Duration replan_pause{std::chrono::milliseconds(100)};
  /// How long an answer under way waits for a cover to come back.
  Duration cover_patience{std::chrono::seconds(2)};
  /// Attempts in a row without a token before the answer is given up.
  std::uint32_t idle_attempts = 8;
  /// Attempts in all. An endpoint that dies after each token would otherwise
  /// keep an answer alive at the price of a prefill a token.
  std::uint32_t attempts = 32;

  /// Returns how long the first token of an attempt on a plan with \p times
  /// may take, with \p prompt_tokens to process (the tokens so far included)
  /// after \p idle attempts without a token. Thread safety: safe.
  Duration FirstToken(const PlanTimes& times, std::uint32_t prompt_tokens,
                      std::uint32_t idle) const;

  /// Returns how long the next token may take after one that came, when gaps
  /// of \p observed were seen lately. Thread safety: safe.
  Duration NextToken(const PlanTimes& times, Duration observed) const;

  /// Returns the mean gap from which on a plan counts as slow.
  /// Thread safety: safe.
  Duration SlowGap(const PlanTimes& times) const {
    return times.token_gap * this->slow_factor + this->slow_floor;
  }
};

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_DEADLINES_H_
