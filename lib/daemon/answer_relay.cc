#include "toucanwharf/daemon/answer_relay.h"

#include <chrono>
#include <utility>

#include "toucanwharf/daemon/refusal.h"

namespace toucanwharf::daemon {
namespace {

// Tokens that came meanwhile go out together. Under half of the time between
// two tokens of a fast engine, so that a caller sees no difference.
constexpr Duration kServePeriod = std::chrono::milliseconds(10);
// The longest answer; the owner ends it before.
constexpr Duration kReadTimeout = std::chrono::minutes(10);

/// What has gone to a caller so far.
struct Reading {
  bool begun = false;
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
  const auto reading = std::make_shared<Reading>();
  const auto on_part = [reading, exchange, id](const std::string& events) {
    if (!reading->begun) BeginStream(*exchange, id);
    reading->begun = true;
    exchange->Write(events);
  };
  const auto on_end = [reading, exchange, id](const Result<void>& end) {
    if (!reading->begun) {
      Send(*exchange, UnknownAnswer(id, end ? "the answer has no more tokens"
                                            : end.error().message()));
      return;
    }
    if (!end) {
      // A stream that broke on the way must not pass for a whole one (I2).
      exchange->Write(transport::FormatEvent(
          BodyOf(UnknownAnswer(id, end.error().message()))));
    }
    exchange->End();
  };
  client.GetAnswer(address, id, from, customer, kReadTimeout, on_part, on_end);
}

}  // namespace toucanwharf::daemon
