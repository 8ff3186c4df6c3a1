#include <utility>

#include "proxied_request.h"
#include "toucanwharf/instance/gateway.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// An instance of another build may send what can't be read each time.
constexpr Duration kInvalidForwardLogPeriod = std::chrono::seconds(10);

}  // namespace

std::string_view Gateway::ForwardProblem(
    const std::optional<ForwardedRequest>& forwarded, TimePoint now) const {
  if (!forwarded) return "forward_invalid";
  if (!this->state.peers.KnowsInstance(forwarded->instance)) {
    return "forward_unknown_instance";
  }
  // The caller was admitted by a newer configuration (I7).
  if (forwarded->configuration_version > this->state.configuration.version) {
    return "forward_behind";
  }
  if (this->state.paths.IsIsolated()) return "isolated";
  return this->state.CanAdmitRequests(now) ? "" : "no_configuration";
}

void Gateway::CheckForwardedHead(
    const std::shared_ptr<http::Exchange>& exchange) {
  const TimePoint now = this->loop.Now();
  const auto forwarded = ForwardingOf(exchange->Received().headers);
  const std::string_view problem = this->ForwardProblem(forwarded, now);
  if (problem.empty()) {
    this->CheckHead(exchange);
    return;
  }
  ++this->counters.received;
  this->RejectForwarded(*exchange, problem, now);
}

void Gateway::HandleForwarded(std::shared_ptr<http::Exchange> exchange) {
  ++this->counters.received;
  const TimePoint now = this->loop.Now();
  const http::Headers& headers = exchange->Received().headers;
  const auto forwarded = ForwardingOf(headers);
  const std::string_view problem = this->ForwardProblem(forwarded, now);
  if (!problem.empty()) {
    this->RejectForwarded(*exchange, problem, now);
    return;
  }
  ++this->counters.forwarded_here;
  this->logger.Write(Level::kNotable, "forwarded_here",
                     Fields()
                         .Text("request", headers.Get(this->names.request_id))
                         .Text("by", forwarded->instance)
                         .Count("runs", forwarded->runs)
                         .Millis("age_ms", forwarded->age),
                     now);
  this->Admit(std::move(exchange), now - forwarded->age, forwarded);
}

void Gateway::RejectForwarded(http::Exchange& exchange,
                              std::string_view problem, TimePoint now) {
  ++this->counters.forwards_rejected;
  this->Refuse(exchange, http::kUnavailable, {}, problem);
  if (now - this->invalid_forward_logged < kInvalidForwardLogPeriod) return;
  this->invalid_forward_logged = now;
  this->logger.Write(Level::kNotable, "forward_rejected",
                     Fields().Text("why", problem), now);
}

}  // namespace toucanwharf::instance
