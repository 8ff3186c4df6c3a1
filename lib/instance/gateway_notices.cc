#include "toucanwharf/instance/gateway.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// Every refusal of an endpoint may carry the same unreadable value.
constexpr Duration kUnreadablePauseLogPeriod = std::chrono::seconds(10);

}  // namespace

void Gateway::OnRequestedPause(const AskedEndpoint& to,
                               const http::ResponseHead& head) {
  if (head.status != http::kUnavailable) {
    this->state.pauses.OnTaken(to.key, to.sent);
    return;
  }
  const TimePoint now = this->loop.Now();
  const auto values = head.headers.FindAll(this->names.retry_after);
  std::optional<Duration> pause;
  if (values.size() == 1) pause = limits::ParseRetryAfter(values.front());
  if (!values.empty() && !pause) {
    this->OnUnreadablePause(to.id, values.front());
  }
  // An engine that names no other one at fault is at fault itself.
  const bool at_fault =
      to.is_engine && !head.headers.Find(this->names.at_fault).has_value();
  if (!pause && !at_fault) return;
  const bool is_news = this->state.pauses.Wait(to.key, now) == Duration(0);
  if (pause) {
    this->state.pauses.OnPause(to.key, *pause, to.sent, now);
  } else {
    this->state.pauses.OnRefusal(to.key, to.sent, now);
  }
  if (!is_news) return;
  ++this->counters.pauses_requested;
  this->logger.Write(
      Level::kNotable, "endpoint_pause",
      Fields()
          .Text("endpoint", to.id)
          .Millis("pause_ms", this->state.pauses.Wait(to.key, now)),
      now);
}

void Gateway::OnLeavingNotice(const AskedEndpoint& to,
                              const http::ResponseHead& head) {
  if (head.headers.Get(this->names.leaving) != "1") return;
  if (!this->state.pauses.OnLeaving(to.key)) return;
  ++this->counters.endpoints_leaving;
  this->logger.Write(Level::kNotable, "endpoint_leaves",
                     Fields().Text("endpoint", to.id), this->loop.Now());
}

void Gateway::OnUnreadablePause(const std::string& endpoint,
                                std::string_view value) {
  ++this->counters.pauses_unreadable;
  const TimePoint now = this->loop.Now();
  if (now - this->unreadable_pause_logged < kUnreadablePauseLogPeriod) return;
  this->unreadable_pause_logged = now;
  constexpr std::size_t kShown = 40;
  this->logger.Write(Level::kNotable, "pause_unreadable",
                     Fields()
                         .Text("endpoint", endpoint)
                         .Text("value", value.substr(0, kShown)),
                     now);
}

}  // namespace toucanwharf::instance
