#include "toucanwharf/instance/engine_probe.h"

#include <utility>

namespace toucanwharf::instance {
namespace {

/// An engine answers in a millisecond or two. Without an answer the call is
/// repeated on a new connection: the first packet may have been lost, or the
/// reused connection broken.
constexpr Duration kRepeatAfter = std::chrono::milliseconds(12);
/// An engine that has not answered the second call either by then is
/// unresponsive.
constexpr Duration kUnresponsiveAfter = std::chrono::milliseconds(35);
/// Added to both for each other instance that may probe at the same moment: the
/// time an engine takes to accept a connection.
constexpr Duration kDelayPerProber = std::chrono::microseconds(1000);
/// A timer that fires this late shows that this process itself was stalled, and
/// that answers may not have been read yet.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(15);
/// Older results are of no use.
constexpr Duration kMaxResultAge = std::chrono::seconds(10);

}  // namespace

EngineProbe::EngineProbe(http::Loop& event_loop, http::Client& http_client,
                         http::Request report_request, ToReport decode)
    : loop(event_loop),
      client(http_client),
      request(std::move(report_request)),
      to_report(std::move(decode)) {}

void EngineProbe::Check(const std::string& address, TimePoint since,
                        std::size_t probers, OnAnswer done) {
  const auto known = this->recent.find(address);
  if (known != this->recent.end() && known->second.time >= since) {
    this->loop.Post([done, answer = known->second.answer] { done(answer); });
    return;
  }
  auto& pending = this->probes[address];
  if (pending && pending->started < since) {
    // Its answer may have been sent before that.
    pending->waiting.push_back(
        [this, address, since, probers,
         done = std::move(done)](const ProbeAnswer& /*of_before*/) {
          this->Check(address, since, probers, done);
        });
    return;
  }
  if (pending) {
    pending->waiting.push_back(std::move(done));
    return;
  }
  pending = std::make_shared<PendingProbe>();
  pending->address = address;
  pending->waiting.push_back(std::move(done));
  const Duration extra = kDelayPerProber * (probers > 0 ? probers - 1 : 0);
  pending->repeat_after = kRepeatAfter + extra;
  pending->unresponsive_after = kUnresponsiveAfter + 2 * extra;
  this->Begin(pending);
}

void EngineProbe::Begin(const std::shared_ptr<PendingProbe>& pending) {
  pending->started = this->loop.Now();
  this->Send(pending, pending->unresponsive_after, http::Reuse::kAllowed);
  pending->repeat_timer = this->loop.After(
      pending->repeat_after, [this, pending] { this->SendRepeat(pending); });
}

void EngineProbe::Send(const std::shared_ptr<PendingProbe>& pending,
                       Duration timeout, http::Reuse reuse) {
  ++pending->in_flight;
  http::CallOptions options;
  options.reuse = reuse;
  options.connect_timeout = timeout;
  http::Fetch(
      this->loop, this->client, pending->address, this->request,
      {timeout, kMaxReportBytes},
      [this, pending, ends = this->loop.Now() + timeout](
          const http::CallResult& result, const http::ResponseHead& head,
          const std::string& body) {
        const bool timed_out = this->loop.Now() >= ends;
        this->OnCallDone(pending, timed_out, result, head, body);
      },
      options);
}

void EngineProbe::SendRepeat(const std::shared_ptr<PendingProbe>& pending) {
  if (pending->waiting.empty() || std::exchange(pending->repeated, true)) {
    return;
  }
  this->loop.Cancel(pending->repeat_timer);
  this->Send(pending, pending->unresponsive_after - pending->repeat_after,
             http::Reuse::kNever);
}

void EngineProbe::OnCallDone(const std::shared_ptr<PendingProbe>& pending,
                             bool timed_out, const http::CallResult& result,
                             const http::ResponseHead& head,
                             const std::string& body) {
  --pending->in_flight;
  if (pending->waiting.empty()) return;
  ProbeAnswer answer;
  if (result.end == http::CallEnd::kComplete) {
    answer.alive = true;
    if (head.status == http::kOk) answer.report = this->to_report(body);
    this->Complete(pending, answer);
    return;
  }
  // An engine with too many connections resets further ones. A reused
  // connection may have been reset for any reason.
  const bool reset = result.end != http::CallEnd::kNotConnected && !timed_out;
  if (reset && !result.reused) pending->liveness_seen = true;
  // This process is short of descriptors, which is not the engine's fault.
  if (result.no_descriptor) pending->liveness_seen = true;
  if (result.refused) pending->refused = true;
  if (!pending->repeated) {
    this->SendRepeat(pending);
    return;
  }
  if (pending->in_flight > 0) return;
  const Duration late =
      this->loop.Now() - pending->started - pending->unresponsive_after;
  answer.alive = pending->liveness_seen || late > kMaxTimerDelay;
  answer.refused = pending->refused;
  this->Complete(pending, answer);
}

void EngineProbe::Complete(const std::shared_ptr<PendingProbe>& pending,
                           const ProbeAnswer& answer) {
  const TimePoint now = this->loop.Now();
  this->loop.Cancel(pending->repeat_timer);
  std::erase_if(this->recent, [now](const auto& entry) {
    return now - entry.second.time > kMaxResultAge;
  });
  this->recent[pending->address] = {pending->started, answer};
  this->probes.erase(pending->address);
  const auto waiting = std::exchange(pending->waiting, {});
  for (const OnAnswer& done : waiting) done(answer);
}

}  // namespace toucanwharf::instance
