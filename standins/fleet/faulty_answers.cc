#include "standins/fleet/faulty_answers.h"

#include <chrono>
#include <cstddef>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::standins::fleet {
namespace {

using ExchangePtr = std::shared_ptr<http::Exchange>;

constexpr std::size_t kLongHeadBytes = 1024UL * 1024;
constexpr std::size_t kPieceBytes = 64UL * 1024;
constexpr Duration kPiecePause = std::chrono::milliseconds(20);
/// Between the parts of an answer, or an answer and its repetition.
constexpr Duration kPartPause = std::chrono::milliseconds(40);
constexpr std::size_t kParts = 5;

void SendPieces(http::Loop& loop, const ExchangePtr& exchange) {
  if (exchange->IsDisconnected()) return;
  // What the router doesn't read is not piled up here.
  if (exchange->UnsentBytes() < kPieceBytes) {
    exchange->Write(std::string(kPieceBytes, 'x'));
  }
  loop.After(kPiecePause, [&loop, exchange] { SendPieces(loop, exchange); });
}

void SendParts(http::Loop& loop, const ExchangePtr& exchange,
               const std::string& body, std::size_t part) {
  if (exchange->IsDisconnected()) return;
  if (part == kParts) {
    exchange->End();
    return;
  }
  const std::size_t begin = body.size() * part / kParts;
  const std::size_t end = body.size() * (part + 1) / kParts;
  exchange->Write(body.substr(begin, end - begin));
  loop.After(kPartPause, [&loop, exchange, body, part] {
    SendParts(loop, exchange, body, part + 1);
  });
}

std::string WholeText(const http::ResponseHead& head, const std::string& body) {
  std::string text = absl::StrCat("HTTP/1.1 ", head.status, " OK\r\n");
  for (const auto& [name, value] : head.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  return absl::StrCat(text, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

void SendEndless(http::Loop& loop, AnswerFault fault,
                 const ExchangePtr& exchange, http::ResponseHead head) {
  constexpr int kFailed = 500;
  head.ends_with_connection = fault != AnswerFault::kEndlessEvent;
  std::string first;
  if (fault == AnswerFault::kEndlessHead) {
    head.headers.Add("X-Long", std::string(kLongHeadBytes, 'x'));
  }
  if (fault == AnswerFault::kEndlessChunkLine) {
    head.headers.Add("Transfer-Encoding", "chunked");
    first = "5;";
  }
  if (fault == AnswerFault::kEndlessEvent) {
    head.headers.Set("Content-Type", "text/event-stream");
    first = "id: 1\ndata: ";
  }
  if (fault == AnswerFault::kEndlessFailure) head.status = kFailed;
  exchange->Begin(head);
  exchange->Write(first);
  SendPieces(loop, exchange);
}

void SendTwice(http::Loop& loop, AnswerFault fault, const ExchangePtr& exchange,
               http::ResponseHead head, const std::string& body) {
  const std::string second = WholeText(head, body);
  if (fault == AnswerFault::kTwiceUnframed) {
    head.ends_with_connection = true;
  } else {
    head.length = body.size();
  }
  exchange->Begin(head);
  if (fault != AnswerFault::kTwiceLater) {
    exchange->Write(body + second);
    exchange->End();
    return;
  }
  exchange->Write(body);
  loop.After(kPartPause, [exchange, second] {
    exchange->Write(second);
    exchange->End();
  });
}

}  // namespace

void SendFaulty(http::Loop& loop, AnswerFault fault,
                const ExchangePtr& exchange, http::ResponseHead head,
                const std::string& body) {
  switch (fault) {
    case AnswerFault::kNone:
      return;
    case AnswerFault::kEndlessHead:
    case AnswerFault::kEndlessChunkLine:
    case AnswerFault::kEndlessEvent:
    case AnswerFault::kEndlessBody:
    case AnswerFault::kEndlessFailure:
      SendEndless(loop, fault, exchange, std::move(head));
      return;
    case AnswerFault::kTwice:
    case AnswerFault::kTwiceLater:
    case AnswerFault::kTwiceUnframed:
      SendTwice(loop, fault, exchange, std::move(head), body);
      return;
    case AnswerFault::kUnframedInParts:
      head.ends_with_connection = true;
      exchange->Begin(head);
      SendParts(loop, exchange, body, 0);
      return;
    case AnswerFault::kUnframedCutByCrash:
      head.ends_with_connection = true;
      exchange->Begin(head);
      exchange->Write(body.substr(0, body.size() / 2));
      exchange->End();
      return;
  }
}

}  // namespace toucanwharf::standins::fleet
