#ifndef TOUCANWHARF_LIB_INSTANCE_ANSWER_TRACE_H_
#define TOUCANWHARF_LIB_INSTANCE_ANSWER_TRACE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/message.h"

namespace toucanwharf::instance {

/// What the log tells of how an answer came from its endpoint and went to its
/// caller: enough to see afterwards whether a caller could take a part of it
/// for all of it.
/// Thread safety: none.
class AnswerTrace {
 public:
  /// A new attempt begins.
  void BeginAttempt();
  /// Bytes of the attempt's body arrived.
  void OnReceived(std::size_t bytes) { this->received_bytes += bytes; }
  /// The attempt's call ended by itself.
  void OnCallEnd(const http::CallResult& result) { this->call_end = result; }
  /// The caller gets \p head.
  void OnRelayedHead(const http::ResponseHead& head);
  /// The caller gets bytes of the body.
  void OnRelayed(std::size_t bytes) { this->relayed_bytes += bytes; }

  /// Returns how the current attempt ended, and how much of its body came.
  eventlog::Fields OfAttempt() const;
  /// Returns how the answer was framed for the caller, and how much of its body
  /// was passed on in all.
  eventlog::Fields OfAnswer() const;

 private:
  /// What tells a caller where the body ends.
  enum class Framing { kNone, kLength, kChunks, kConnection };

  std::uint64_t received_bytes = 0;
  std::uint64_t relayed_bytes = 0;
  Framing framing = Framing::kNone;
  std::optional<http::CallResult> call_end;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_LIB_INSTANCE_ANSWER_TRACE_H_
