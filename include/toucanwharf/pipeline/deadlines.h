#ifndef TOUCANWHARF_PIPELINE_DEADLINES_H_
#define TOUCANWHARF_PIPELINE_DEADLINES_H_

#include <cstdint>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::pipeline {

/// How long an attempt may make no progress, derived from the expected times of
/// its plan. If too short, a batch that grew or an instance that paused briefly
/// costs a needless prefill; if too long, a caller waits for a link or endpoint
/// that has failed.
struct DeadlinePolicy {
  /// With continuous batching, a prompt that joins the batch can double a
  /// token's time; a garbage collection or page fault can double it again.
  int gap_factor = 4;
  /// Allows for scheduling pauses of small, busy instances; without it a plan
  /// with gaps of 1 ms would be suspected at every pause of 4 ms.
  Duration gap_floor{std::chrono::milliseconds(80)};
  /// Larger than one because the expected wait comes from lagging reports and
  /// is the least certain part of a plan.
  int first_token_factor = 3;
  /// The answer moves off a plan whose mean gap reaches this multiple of the
  /// expected gap plus `slow_gap_floor`. Below `gap_factor`, or the stall
  /// timeout would always expire first; above the factor of two that a growing
  /// batch explains.
  int slow_gap_factor = 3;
  Duration slow_gap_floor{std::chrono::milliseconds(20)};
  Duration first_token_floor{std::chrono::milliseconds(250)};
  /// A status call takes one round trip and no compute: the same floor as for
  /// token gaps, plus the handshake of a new connection.
  Duration probe_timeout{std::chrono::milliseconds(120)};
  /// Deadlines double with each attempt that made no progress, up to this
  /// factor. Otherwise a fleet that is slow as a whole would miss its own
  /// deadlines again and again, each time at the cost of more prefills.
  int max_backoff_factor = 8;
  /// Delay before planning again when there was no cover.
  Duration replan_delay{std::chrono::milliseconds(100)};
  /// How long an answer in progress waits for a cover to become available.
  Duration cover_timeout{std::chrono::seconds(2)};
  /// Consecutive attempts without a token after which the answer fails.
  std::uint32_t max_idle_attempts = 8;
  /// Attempts in total. Otherwise an endpoint that fails after each token would
  /// keep an answer running at the cost of one prefill per token.
  std::uint32_t max_attempts = 32;

  /// Returns the timeout of the first token of an attempt on a plan with
  /// \p times, with \p prompt_tokens to process (including the tokens so far),
  /// after \p idle_attempts attempts without a token. Thread safety: safe.
  Duration FirstToken(const PlanTimes& times, std::uint32_t prompt_tokens,
                      std::uint32_t idle_attempts) const;

  /// Returns the timeout of the next token after a received one, when the
  /// recent mean gap was \p observed. Thread safety: safe.
  Duration NextToken(const PlanTimes& times, Duration observed) const;

  /// Returns the mean gap at which a plan counts as slow.
  /// Thread safety: safe.
  Duration SlowGap(const PlanTimes& times) const {
    return times.token_gap * this->slow_gap_factor + this->slow_gap_floor;
  }
};

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_DEADLINES_H_
