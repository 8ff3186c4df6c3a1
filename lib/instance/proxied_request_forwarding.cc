#include <algorithm>
#include <utility>

#include "proxied_request.h"
#include "toucanwharf/gossip/forward_choice.h"
#include "toucanwharf/limits/requested_pauses.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;

/// Retry-After of a peer that gave none that can be read.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(400);

}  // namespace

bool ProxiedRequest::MayForward() const {
  return !this->admitted.forwarded &&
         this->gateway.settings.mechanisms.forwarding &&
         !this->gateway.state.ForwardCandidates(this->gateway.loop.Now())
              .empty();
}

bool ProxiedRequest::MustForward() const {
  return this->gateway.state.paths.IsIsolated() && this->MayForward();
}

std::optional<ProxiedRequest::Target> ProxiedRequest::ChoosePeer() {
  if (!this->MayForward()) return std::nullopt;
  auto candidates =
      this->gateway.state.ForwardCandidates(this->gateway.loop.Now());
  std::erase_if(candidates, [this](const gossip::ForwardCandidate& candidate) {
    return this->excluded.contains(candidate.control_address);
  });
  const auto peer = gossip::ChooseForward(candidates, this->gateway.random);
  if (!peer) return std::nullopt;
  Target to;
  to.endpoint = *peer;
  to.address = *peer;
  to.is_peer = true;
  return to;
}

http::Request ProxiedRequest::BuildForwarded() const {
  const InstanceState& state = this->gateway.state;
  http::Request request = this->exchange->Received();
  request.headers = http::EndToEnd(request.headers);
  ForwardedRequest forwarded;
  forwarded.instance = state.instance;
  forwarded.configuration_version = state.configuration.version;
  // Without the one that begins now.
  forwarded.runs = this->attempt_counts.may_have_run - 1;
  forwarded.counted = this->counted;
  forwarded.age = this->gateway.loop.Now() - this->admitted.arrived;
  SetForwarding(request.headers, forwarded);
  request.headers.Set(this->gateway.names.deadline, this->RemainingMillis());
  if (this->events.LastId()) {
    request.headers.Set(this->gateway.names.last_event_id,
                        *this->events.LastId());
  }
  return request;
}

void ProxiedRequest::ClassifyForwarded(const http::ResponseHead& answer) {
  const bool success = IsSuccess(answer.status);
  if (success) {
    this->head_usable = true;
    if (this->IsStream()) this->BeginStream(answer);
    return;
  }
  // A failure is relayed as it is, unless the caller has a part of the answer
  // already.
  if (this->attempt_counts.answer_started) {
    this->head_outcome = AttemptOutcome::kFailed;
  }
  if (RefusalOf(answer)) this->head_outcome = AttemptOutcome::kNotSent;
}

void ProxiedRequest::OnForwardRefused(ForwardRefusal refusal) {
  // The whole fleet is full, or has no such endpoint: another peer would say
  // the same, and the caller is told at once.
  const bool final =
      refusal == ForwardRefusal::kFinal && !this->attempt_counts.answer_started;
  if (!final) {
    // An endpoint that turned it away has had an arrival, and the next one has
    // another.
    this->EndAttempt(ReachedEndpoint(this->head) ? AttemptOutcome::kNotRun
                                                 : AttemptOutcome::kNotSent,
                     "refused_by_peer");
    return;
  }
  --this->attempt_counts.may_have_run;
  const auto stated = limits::ParseRetryAfter(
      this->head.headers.Get(this->gateway.names.retry_after));
  // The peer may have scheduled its value for this caller.
  this->peer_retry_after =
      RetryTime{stated.value_or(kDefaultRetryAfter),
                stated && this->gateway.settings.mechanisms.return_schedule};
  this->Refuse("refused_by_peer");
}

void ProxiedRequest::OnPeerStall() {
  const auto candidates =
      this->gateway.state.ForwardCandidates(this->gateway.loop.Now());
  const bool still_serves =
      std::any_of(candidates.begin(), candidates.end(),
                  [this](const gossip::ForwardCandidate& candidate) {
                    return candidate.control_address == this->target.address;
                  });
  if (still_serves) {
    this->WatchStall(kCapacityPollPeriod);
    return;
  }
  this->ResumeElsewhere("peer_silent");
}

void ProxiedRequest::OnNotConnected(const http::CallResult& result) {
  if (this->target.is_peer || result.no_descriptor) return;
  this->gateway.path_monitor.OnFailure(
      this->target.endpoint, endpoints::ConnectionFailure::kNotConnected,
      "not_connected");
  if (result.refused) this->OnConnectionRefused();
}

http::ResponseHead ProxiedRequest::ToRelay(
    const http::ResponseHead& answer) const {
  http::ResponseHead out;
  out.status = answer.status;
  out.reason = answer.reason;
  out.headers = http::EndToEnd(answer.headers);
  // An endpoint's field of this name must not make its answer a refusal.
  if (this->admitted.forwarded) RemoveForwarding(out.headers);
  return out;
}

void ProxiedRequest::CountRequest() {
  if (std::exchange(this->counted, true)) return;
  const std::string& service = this->admitted.service->name;
  const TimePoint now = this->gateway.loop.Now();
  ++this->gateway.counters.budget_requests;
  this->gateway.budget.OnRequest(service, now);
  this->gateway.state.demand.OnRequest(ServiceKey(service), now);
}

}  // namespace toucanwharf::instance
