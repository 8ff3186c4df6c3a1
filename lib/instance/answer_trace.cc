#include "answer_trace.h"

#include <string_view>

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;

/// Returns the word of the log for how a call ended; nothing for one that was
/// given up.
std::string_view ToText(const std::optional<http::CallResult>& result) {
  if (!result) return "given_up";
  switch (result->end) {
    case http::CallEnd::kComplete:
      return result->ended_by_close ? "closed" : "complete";
    case http::CallEnd::kNotConnected:
      return "not_connected";
    case http::CallEnd::kBroken:
      return "reset_or_cut";
    case http::CallEnd::kMalformed:
      return "malformed";
    case http::CallEnd::kNoMemory:
      return "no_memory";
  }
  return "unknown";
}

}  // namespace

void AnswerTrace::BeginAttempt() {
  this->received_bytes = 0;
  this->call_end.reset();
}

void AnswerTrace::OnRelayedHead(const http::ResponseHead& head) {
  if (head.ends_with_connection) {
    this->framing = Framing::kConnection;
  } else {
    this->framing = head.length ? Framing::kLength : Framing::kChunks;
  }
}

Fields AnswerTrace::OfAttempt() const {
  return Fields()
      .Text("ended", ToText(this->call_end))
      .Count("write_failed",
             this->call_end && this->call_end->write_failed ? 1 : 0)
      .Count("received_bytes", static_cast<std::int64_t>(this->received_bytes));
}

Fields AnswerTrace::OfAnswer() const {
  constexpr std::string_view kWords[] = {"none", "length", "chunks",
                                         "connection"};
  return Fields()
      .Text("framing", kWords[static_cast<std::size_t>(this->framing)])
      .Count("relayed_bytes", static_cast<std::int64_t>(this->relayed_bytes));
}

}  // namespace toucanwharf::instance
