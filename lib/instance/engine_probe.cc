#include "toucanwharf/instance/engine_probe.h"

#include <utility>

namespace toucanwharf::instance {
namespace {

/// An engine answers in a millisecond or two. Without an answer it is asked
/// once more on a fresh connection: the first packet may have been lost, or the
/// kept connection gone silent.
constexpr Duration kSecondAfter = std::chrono::milliseconds(12);
/// Without an answer to the second question either the engine is silent.
constexpr Duration kSilentAfter = std::chrono::milliseconds(35);
/// Added to both for each further instance that asks at the same moment: what
/// it takes an engine to accept a connection.
constexpr Duration kForEachAsker = std::chrono::microseconds(1000);
/// A timer that fires so late shows that this process itself stood still, and
/// that the answers may lie unread.
constexpr Duration kLateTimer = std::chrono::milliseconds(15);
/// Answers older than this serve nobody any more.
constexpr Duration kForgetAfter = std::chrono::seconds(10);

}  // namespace

EngineProbe::EngineProbe(http::Loop& event_loop, http::Client& http_client,
                         http::Request question, ToReport decode)
    : loop(event_loop),
      client(http_client),
      request(std::move(question)),
      to_report(std::move(decode)) {}

void EngineProbe::Ask(const std::string& address, TimePoint since,
                      std::size_t askers, OnAnswer done) {
  const auto known = this->recent.find(address);
  if (known != this->recent.end() && known->second.at >= since) {
    this->loop.Post([done, answer = known->second.answer] { done(answer); });
    return;
  }
  auto& question = this->asked[address];
  if (question) {
    question->waiting.push_back(std::move(done));
    return;
  }
  question = std::make_shared<Question>();
  question->address = address;
  question->waiting.push_back(std::move(done));
  const Duration crowd = kForEachAsker * (askers > 0 ? askers - 1 : 0);
  question->second_after = kSecondAfter + crowd;
  question->silent_after = kSilentAfter + 2 * crowd;
  this->Begin(question);
}

void EngineProbe::Begin(const std::shared_ptr<Question>& question) {
  question->asked = this->loop.Now();
  this->Send(question, question->silent_after, http::Reuse::kAllowed);
  question->second_timer = this->loop.After(
      question->second_after, [this, question] { this->SendSecond(question); });
}

void EngineProbe::Send(const std::shared_ptr<Question>& question,
                       Duration timeout, http::Reuse reuse) {
  ++question->under_way;
  http::CallOptions options;
  options.reuse = reuse;
  options.connect_timeout = timeout;
  http::Fetch(
      this->loop, this->client, question->address, this->request, timeout,
      [this, question, ends = this->loop.Now() + timeout](
          const http::CallResult& result, const http::ResponseHead& head,
          const std::string& body) {
        const bool timed_out = this->loop.Now() >= ends;
        this->OnPart(question, timed_out, result, head, body);
      },
      options);
}

void EngineProbe::SendSecond(const std::shared_ptr<Question>& question) {
  if (question->waiting.empty() || std::exchange(question->second_sent, true)) {
    return;
  }
  this->loop.Cancel(question->second_timer);
  this->Send(question, question->silent_after - question->second_after,
             http::Reuse::kNever);
}

void EngineProbe::OnPart(const std::shared_ptr<Question>& question,
                         bool timed_out, const http::CallResult& result,
                         const http::ResponseHead& head,
                         const std::string& body) {
  --question->under_way;
  if (question->waiting.empty()) return;
  ProbeAnswer answer;
  if (result.end == http::CallEnd::kComplete) {
    answer.alive = true;
    if (head.status == http::kOk) answer.report = this->to_report(body);
    this->End(question, answer);
    return;
  }
  // An engine with too many connections resets further ones. A kept connection
  // may have been reset for any reason.
  const bool reset = result.end != http::CallEnd::kNotConnected && !timed_out;
  if (reset && !result.reused) question->sign_of_life = true;
  if (!question->second_sent) {
    this->SendSecond(question);
    return;
  }
  if (question->under_way > 0) return;
  const Duration late =
      this->loop.Now() - question->asked - question->silent_after;
  answer.alive = question->sign_of_life || late > kLateTimer;
  this->End(question, answer);
}

void EngineProbe::End(const std::shared_ptr<Question>& question,
                      const ProbeAnswer& answer) {
  const TimePoint now = this->loop.Now();
  this->loop.Cancel(question->second_timer);
  std::erase_if(this->recent, [now](const auto& one) {
    return now - one.second.at > kForgetAfter;
  });
  this->recent[question->address] = {now, answer};
  this->asked.erase(question->address);
  const auto waiting = std::exchange(question->waiting, {});
  for (const OnAnswer& each : waiting) each(answer);
}

}  // namespace toucanwharf::instance
