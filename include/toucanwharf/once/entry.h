#ifndef TOUCANWHARF_ONCE_ENTRY_H_
#define TOUCANWHARF_ONCE_ENTRY_H_

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>

#include "toucanwharf/support/clock.h"

/// At-most-once execution of calls that are not idempotent, by a journal of
/// idempotency keys in the platform's store.
namespace toucanwharf::once {

/// Why a call with an idempotency key is refused.
enum class IdempotencyError {
  kKeyMalformed = 1,
  kKeyTooOld,
  kKeyReused,
  kInProgress,
  kOutcomeLost,
  kJournalFull,
  kJournalUnreachable,
};

/// Returns the category of IdempotencyError; its messages state the remedy.
/// Thread safety: safe.
const std::error_category& IdempotencyCategory();
std::error_code make_error_code(IdempotencyError error);

/// Whether a refused request ran. Covers every attempt with the same key, not
/// only this one (I3).
enum class Ran { kNo, kUnknown };

/// The service's first answer to a request; a repeat gets the same.
struct Outcome {
  int status = 0;
  std::string content_type;
  /// At most kMaxRetainedBodyBytes bytes of UTF-8; see `body_retained`.
  std::string body;
  /// False if the body couldn't be retained; then it is empty.
  bool body_retained = true;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

/// Longer bodies are not retained, so that outcomes can't fill the journal.
inline constexpr std::size_t kMaxRetainedBodyBytes = 4096;

/// State of an idempotency key. The values are stored.
enum class KeyState {
  /// One attempt may run, or may have run.
  kClaimed,
  /// The request ran, and its outcome is retained.
  kDone,
  /// The claimant confirmed that nothing ran; the key may be claimed again.
  kNotRun,
  /// The claimant lost the answer; whether the request ran is unknown.
  kOutcomeLost,
};

/// One entry of the journal: a claim (kClaimed), or the outcome of a claim.
struct Entry {
  /// Customer, service and the caller's idempotency key.
  std::string key;
  /// Id of the claim; unique per attempt to claim.
  std::string claim;
  /// Digest of the request; one key must not be used for two requests.
  std::string digest;
  KeyState state = KeyState::kClaimed;
  Outcome outcome;

  friend bool operator==(const Entry&, const Entry&) = default;
};

/// An attempt that asks for permission to run.
struct ClaimRequest {
  std::string key;
  std::string claim;
  std::string digest;
  /// Time in the caller's idempotency key (UUID version 7).
  std::uint64_t key_millis = 0;
  /// Deadline of the caller's answer, on this process's clock.
  TimePoint deadline;

  friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

/// The attempt holds the key and may send the request exactly once.
struct Granted {
  friend bool operator==(const Granted&, const Granted&) = default;
};

/// The attempt must not send anything.
struct Refused {
  IdempotencyError reason = IdempotencyError::kJournalUnreachable;
  Ran ran = Ran::kUnknown;

  friend bool operator==(const Refused&, const Refused&) = default;
};

/// An Outcome is the first answer to a request whose key already ran.
using Verdict = std::variant<Granted, Outcome, Refused>;

/// The answer to a ClaimRequest.
struct Decision {
  std::string claim;
  Verdict verdict;

  friend bool operator==(const Decision&, const Decision&) = default;
};

}  // namespace toucanwharf::once

template <>
struct std::is_error_code_enum<toucanwharf::once::IdempotencyError>
    : std::true_type {};

#endif  // TOUCANWHARF_ONCE_ENTRY_H_
