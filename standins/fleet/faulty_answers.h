#ifndef TOUCANWHARF_STANDINS_FLEET_FAULTY_ANSWERS_H_
#define TOUCANWHARF_STANDINS_FLEET_FAULTY_ANSWERS_H_

#include <memory>
#include <string>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/server.h"

namespace toucanwharf::standins::fleet {

/// How an endpoint spoils each of its answers.
enum class AnswerFault {
  kNone,
  /// Sends a head longer than any limit, and bytes until its caller closes the
  /// connection.
  kEndlessHead,
  /// The same in the line before a chunk, in an event, in a body without
  /// framing, and in such a body of a failure.
  kEndlessChunkLine,
  kEndlessEvent,
  kEndlessBody,
  kEndlessFailure,
  /// Sends its answer a second time on the same connection: with the first one,
  /// a while later, or behind an answer that only its connection ends.
  kTwice,
  kTwiceLater,
  kTwiceUnframed,
  /// Sends an answer that only its connection ends in parts with pauses.
  kUnframedInParts,
  /// Ends an answer that only its connection ends after half of it, in good
  /// order, and crashes.
  kUnframedCutByCrash,
};

/// Answers \p exchange, to which the whole answer would be \p head and \p body,
/// with \p fault. Precondition: the fault is one; \p loop outlives the
/// exchange. Thread safety: only on the loop's thread.
void SendFaulty(http::Loop& loop, AnswerFault fault,
                const std::shared_ptr<http::Exchange>& exchange,
                http::ResponseHead head, const std::string& body);

}  // namespace toucanwharf::standins::fleet

#endif  // TOUCANWHARF_STANDINS_FLEET_FAULTY_ANSWERS_H_
