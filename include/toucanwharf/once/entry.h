#ifndef TOUCANWHARF_ONCE_ENTRY_H_
#define TOUCANWHARF_ONCE_ENTRY_H_

#include <cstdint>
#include <string>
#include <system_error>
#include <variant>

#include "toucanwharf/support/clock.h"

/// At most once for calls that may not be repeated: a journal of idempotency
/// keys in the platform's store.
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

/// Returns the category of IdempotencyError; its messages name the remedy.
/// Thread safety: safe.
const std::error_category& IdempotencyCategory();
std::error_code make_error_code(IdempotencyError error);

/// Whether a refused request ran. It speaks of the request, so of every
/// attempt with the same key, and not only of this one (I3).
enum class Ran { kNo, kUnknown };

/// What the service answered the first time; a repeat gets the same.
struct Outcome {
  int status = 0;
  std::string content_type;
  /// At most kMaxKeptBody bytes of UTF-8; see `body_retained`.
  std::string body;
  /// False when the body couldn't be kept; then it is empty.
  bool body_retained = true;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

/// Longer bodies are not kept, so that outcomes can't fill the journal.
inline constexpr std::size_t kMaxKeptBody = 4096;

/// Where a key stands.
enum class KeyState {
  /// One attempt may run, or may have run.
  kClaimed,
  /// It ran, and the outcome is kept.
  kDone,
  /// Its claimant proved that nothing ran; the key may be claimed again.
  kNotRun,
  /// Its claimant lost the answer; whether it ran can't be known.
  kOutcomeLost,
};

/// One line of the journal: a claim (kClaimed), or how a claim ended.
struct Entry {
  /// Customer, service and the caller's idempotency key.
  std::string key;
  /// Unique for each attempt to claim.
  std::string claim;
  /// Digest of the request; a key must not come with two requests.
  std::string digest;
  KeyState state = KeyState::kClaimed;
  Outcome outcome;

  friend bool operator==(const Entry&, const Entry&) = default;
};

/// An attempt that wants to run.
struct ClaimRequest {
  std::string key;
  std::string claim;
  std::string digest;
  /// Time inside the caller's idempotency key (UUID version 7).
  std::uint64_t key_millis = 0;
  /// When the caller must have an answer, on this process's clock.
  TimePoint deadline;

  friend bool operator==(const ClaimRequest&, const ClaimRequest&) = default;
};

/// The attempt holds the key and may send the request, once.
struct Granted {
  friend bool operator==(const Granted&, const Granted&) = default;
};

/// The attempt must not send anything.
struct Refused {
  IdempotencyError reason = IdempotencyError::kJournalUnreachable;
  Ran ran = Ran::kUnknown;

  friend bool operator==(const Refused&, const Refused&) = default;
};

/// An Outcome is the first answer of a key that already ran.
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
