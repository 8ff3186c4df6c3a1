#ifndef TOUCANWHARF_ATTEMPTS_ATTEMPT_POLICY_H_
#define TOUCANWHARF_ATTEMPTS_ATTEMPT_POLICY_H_

#include "toucanwharf/routes/configuration.h"

/// What becomes of a request after a try at an endpoint has ended.
namespace toucanwharf::attempts {

/// How a try ended without an answer that can be handed on.
enum class AttemptOutcome {
  /// No byte was sent.
  kNotSent,
  /// The endpoint said that it did not run the request.
  kNotRun,
  /// Sent, and nothing certain came back: a break, silence, or bytes that are
  /// no answer to this request.
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
  /// Say that its fate is not known.
  kUnknownOutcome,
  /// Hand on the endpoint's own failure.
  kRelayFailure,
  /// Break the connection: part of the answer is out already.
  kAbort,
};

/// A request so far.
struct AttemptCounts {
  /// Tries that may have run at an endpoint.
  int may_have_run = 0;
  /// Tries in all.
  int total = 0;
  /// Whether part of an answer was handed out.
  bool answer_started = false;

  friend bool operator==(const AttemptCounts&, const AttemptCounts&) = default;
};

/// Tries that were surely not run don't count as runs, but each costs time and
/// an arrival; after this many more than the route allows the service is
/// refusing for a reason that another try won't change.
inline constexpr int kMostNotRunTries = 3;

/// Returns the step after \p end, the last of \p tries. \p budget_left is
/// whether another arrival may be caused. A request that isn't idempotent and
/// may have run is never sent again (I4), and is never called "not run" (I3).
/// Thread safety: safe.
NextStep NextStepAfter(const routes::Route& route, const AttemptCounts& tries,
                       AttemptOutcome end, bool budget_left);

/// Returns whether NextStepAfter could say kRetry with a budget.
/// Thread safety: safe.
bool MayRetry(const routes::Route& route, const AttemptCounts& tries,
              AttemptOutcome end);

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_ATTEMPT_POLICY_H_
