#ifndef TOUCANWHARF_ATTEMPTS_ATTEMPT_POLICY_H_
#define TOUCANWHARF_ATTEMPTS_ATTEMPT_POLICY_H_

#include "toucanwharf/routes/configuration.h"

/// What to do with a request after an attempt at an endpoint has ended.
namespace toucanwharf::attempts {

/// How an attempt ended without an answer that can be relayed.
enum class AttemptOutcome {
  /// No byte was sent.
  kNotSent,
  /// The endpoint reported that it did not run the request.
  kNotRun,
  /// Sent, without a conclusive response: the connection broke, the attempt
  /// timed out, or the bytes received are no answer to this request.
  kUnknown,
  /// The endpoint ran it and reported a failure.
  kFailed,
};

/// What to do next.
enum class NextStep {
  /// Send it to another endpoint.
  kRetry,
  /// Refuse: it has not run and never will (I3).
  kRefuse,
  /// Report that its outcome is unknown.
  kUnknownOutcome,
  /// Relay the endpoint's own failure.
  kRelayFailure,
  /// Abort the connection: part of the answer has been sent.
  kAbort,
};

/// Attempts of a request so far.
struct AttemptCounts {
  /// Attempts that may have run at an endpoint.
  int may_have_run = 0;
  /// All attempts.
  int total = 0;
  /// Whether part of an answer was sent to the caller.
  bool answer_started = false;
  /// Those of may_have_run that another instance made, which forwarded the
  /// request here and decides itself what they mean for the caller.
  int may_have_run_elsewhere = 0;

  friend bool operator==(const AttemptCounts&, const AttemptCounts&) = default;
};

/// Attempts beyond the route's limit that are allowed for attempts that
/// certainly did not run. Those don't count as runs, but each costs time and an
/// arrival; after so many the service refuses for a reason that another attempt
/// won't change. An answer of which the caller has a part pauses then instead
/// of ending, because its caller waits for the rest.
inline constexpr int kMaxNotRunAttempts = 3;

/// Returns the step after an attempt that ended with \p outcome, the last of
/// \p counts. \p budget_left is whether another arrival may be caused. A
/// request that isn't idempotent and may have run is never sent again (I4), and
/// is never called "not run" (I3). Nor is one sent again of whose plain answer
/// the caller has a part (I2).
/// Thread safety: safe.
NextStep NextStepAfter(const routes::Route& route, const AttemptCounts& counts,
                       AttemptOutcome outcome, bool budget_left);

/// Returns whether the next attempt must wait for a moment, as so many were
/// refused already.
/// Thread safety: safe.
bool PausesBeforeRetry(const routes::Route& route, const AttemptCounts& counts);

/// Returns whether NextStepAfter returns kRetry if the budget allows it.
/// Thread safety: safe.
bool MayRetry(const routes::Route& route, const AttemptCounts& counts,
              AttemptOutcome outcome);

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_ATTEMPT_POLICY_H_
