#include "toucanwharf/daemon/answer_relay.h"

#include <chrono>
#include <utility>

#include "toucanwharf/daemon/refusal.h"

namespace toucanwharf::daemon {
namespace {

// Tokens that arrive within a period are sent together. Under half of the time
// between two tokens of a fast engine, so that callers see no difference.
constexpr Duration kServePeriod = std::chrono::milliseconds(10);
// Exceeds the duration of any answer: the serving instance ends it earlier.
constexpr Duration kReadTimeout = std::chrono::minutes(10);

/// Progress of one relayed answer towards its caller.
struct ReadState {
  bool stream_started = false;
};

}  // namespace

void AnswerRelay::Serve(const std::string& id, std::uint32_t from,
                        const std::string& customer,
                        const peers::AnswerSink& sink) {
  const auto tail = this->sessions.Tail(id, customer, from);
  if (!tail) {
    sink.end(false);
    return;
  }
  const bool wanted =
      tail.value().events.empty() || sink.write(tail.value().events);
  if (tail.value().ended || !wanted) {
    sink.end(tail.value().ended);
    return;
  }
  this->loop.After(kServePeriod,
                   [this, id, next = tail.value().next, customer, sink] {
                     this->Serve(id, next, customer, sink);
                   });
}

void AnswerRelay::Read(peers::PeerClient& client, const std::string& address,
                       const std::string& id, std::uint32_t from,
                       const std::string& customer,
                       const std::shared_ptr<transport::Exchange>& exchange) {
  const auto state = std::make_shared<ReadState>();
  const auto on_part = [state, exchange, id](const std::string& events) {
    if (!state->stream_started) BeginStream(*exchange, id);
    state->stream_started = true;
    exchange->Write(events);
  };
  const auto on_end = [state, exchange, id](const Result<void>& end) {
    if (!state->stream_started) {
      Send(*exchange, UnknownAnswer(id, end ? "the answer has no more tokens"
                                            : end.error().message()));
      return;
    }
    if (!end) {
      // Without an error event, a stream that broke on the way would look
      // complete (I2).
      exchange->Write(transport::FormatEvent(
          BodyOf(UnknownAnswer(id, end.error().message()))));
    }
    exchange->End();
  };
  client.GetAnswer(address, id, from, customer, kReadTimeout, on_part, on_end);
}

}  // namespace toucanwharf::daemon
