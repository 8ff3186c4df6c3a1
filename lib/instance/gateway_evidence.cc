#include "absl/strings/str_format.h"
#include "toucanwharf/instance/gateway.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// A check of this instance's own paths takes a few milliseconds where
/// connections are refused.
constexpr Duration kDoubtPollPeriod = std::chrono::milliseconds(2);
/// Checks have ended by then. Where nothing can be checked, the list of
/// endpoints tells later whether the endpoint has ended.
constexpr Duration kMaxDoubt = std::chrono::milliseconds(500);
/// Every answer of an endpoint may carry the same unreadable limit.
constexpr Duration kUnreadableLogPeriod = std::chrono::seconds(10);

}  // namespace

quarantine::RequestFingerprints Gateway::FingerprintsOf(
    const http::Request& request, std::string_view customer) const {
  std::string parts;
  for (const auto& list : request.headers.FindAll(this->names.prompt_parts)) {
    if (!parts.empty()) parts.push_back(',');
    parts.append(list);
  }
  return {quarantine::FingerprintOf(
              {customer, request.method, request.target, request.body.Text()}),
          quarantine::FingerprintsOfSharedParts(parts)};
}

void Gateway::OnRunBroken(const quarantine::BrokenRun& run) {
  this->state.quarantine.OnRunBroken(run, this->loop.Now());
}

void Gateway::CheckParticipant(const Participant& participant) {
  // Without a probe the list of endpoints tells whether it has ended.
  if (!participant.is_engine || this->IsPaused(participant.endpoint)) return;
  this->probe.Check(participant.address, this->loop.Now(),
                    this->ConcurrentProbers(),
                    [this, participant](const ProbeAnswer& answer) {
                      this->OnEndpointProbed(participant, answer);
                    });
}

/// An engine that refuses connections has ended, and one that reports another
/// start has been replaced. One that doesn't respond may be cut off: the list
/// of endpoints tells.
void Gateway::OnEndpointProbed(const Participant& at,
                               const ProbeAnswer& answer) {
  const bool restarted =
      answer.report && answer.report->start_time_ms != at.start_time_ms;
  if (restarted) {
    this->OnEndpointEnded(at.key);
    return;
  }
  if (answer.refused) {
    this->path_monitor.OnFailure(
        at.endpoint, endpoints::ConnectionFailure::kNotConnected, "refused");
    this->OnConnectionRefused(at.key);
    return;
  }
  if (answer.alive && answer.report) {
    this->LogOutlived(at.endpoint);
    this->state.quarantine.OnEndpointCleared(at.key);
  }
}

void Gateway::LogOutlived(const std::string& endpoint) {
  ++this->counters.broken_runs_outlived;
  this->logger.Write(Level::kNotable, "endpoint_outlived_run",
                     Fields().Text("endpoint", endpoint), this->loop.Now());
}

void Gateway::OnConnectionRefused(std::uint32_t key) {
  this->OnEndpointRefused(key, this->loop.Now() + kMaxDoubt);
}

void Gateway::OnEndpointRefused(std::uint32_t key, TimePoint until) {
  switch (this->state.paths.MeaningOfRefusal()) {
    case endpoints::RefusalMeaning::kEnded:
      this->OnEndpointEnded(key);
      return;
    case endpoints::RefusalMeaning::kUnknownYet:
      if (this->loop.Now() >= until) return;
      this->loop.After(kDoubtPollPeriod, [this, key, until] {
        this->OnEndpointRefused(key, until);
      });
      return;
    case endpoints::RefusalMeaning::kNothing:
      // The list of endpoints tells later which of them have ended.
      return;
  }
}

void Gateway::OnEndpointEnded(std::uint32_t key) {
  const TimePoint now = this->loop.Now();
  const auto suspects = this->state.quarantine.OnEndpointEnded(key, now);
  if (suspects.empty()) return;
  const endpoints::Endpoint* endpoint = this->state.endpoints.FindByKey(key);
  for (const quarantine::Fingerprint& suspect : suspects) {
    const auto report = this->state.quarantine.ReportOf(suspect, now);
    this->logger.Write(
        Level::kNotable, "request_at_crash",
        Fields()
            .Text("content", quarantine::ToText(suspect))
            .Text("endpoint", endpoint == nullptr ? "" : endpoint->id)
            .Count("crashes", static_cast<std::int64_t>(report.crashes.size())),
        now);
    if (this->on_crash) this->on_crash(suspect);
  }
  this->AnnounceNews();
}

void Gateway::OnExtraRead(attempts::UnreadRequests::Extra extra) {
  if (!extra || extra.use_count() > 1) return;
  this->budget.OnRead(extra->service, extra->sent, this->loop.Now());
}

void Gateway::OnExtrasRead(
    std::vector<attempts::UnreadRequests::Extra> extras) {
  for (auto& extra : extras) this->OnExtraRead(std::move(extra));
}

void Gateway::RemoveOldUnread() {
  if (this->unread.Empty()) return;
  this->OnExtrasRead(this->unread.RemoveOld(this->loop.Now()));
}

void Gateway::OnEndpointAnswered(const std::string& endpoint, TimePoint sent) {
  if (!this->unread.Empty()) {
    this->OnExtrasRead(this->unread.OnAnswered(endpoint, sent));
  }
  if (!this->state.quarantine.HasEnds()) return;
  const endpoints::Endpoint* known = this->state.endpoints.Find(endpoint);
  if (known == nullptr) return;
  const TimePoint now = this->loop.Now();
  for (const quarantine::Fingerprint& suspect :
       this->state.quarantine.OnEndpointAnswered(endpoints::EndpointKey(*known),
                                                 sent, now)) {
    this->logger.Write(Level::kNotable, "crash_refuted",
                       Fields()
                           .Text("content", quarantine::ToText(suspect))
                           .Text("endpoint", endpoint),
                       now);
  }
}

void Gateway::ReviewBrokenRuns() {
  const TimePoint now = this->loop.Now();
  for (const std::uint32_t key : this->state.quarantine.Undecided(now)) {
    const endpoints::Endpoint* endpoint = this->state.endpoints.FindByKey(key);
    if (endpoint == nullptr) {
      this->OnEndpointEnded(key);
    } else if (endpoint->state == endpoints::EndpointState::kDraining) {
      this->state.quarantine.OnEndpointCleared(key);
    }
  }
}

void Gateway::OnSuccess(const quarantine::RequestFingerprints& request,
                        std::string_view why) {
  const TimePoint now = this->loop.Now();
  for (const quarantine::Fingerprint& suspect :
       this->state.quarantine.OnSuccess(request, now)) {
    this->logger.Write(
        Level::kNotable, "request_cleared",
        Fields().Text("content", quarantine::ToText(suspect)).Text("why", why),
        now);
    if (this->on_cleared) this->on_cleared(suspect);
  }
}

bool Gateway::RefuseQuarantined(
    http::Exchange& exchange, const quarantine::RequestFingerprints& request) {
  const auto verdict = this->state.quarantine.Judge(request, this->loop.Now());
  if (!verdict) return false;
  ++this->counters.quarantined;
  this->Refuse(
      exchange, http::kUnavailable, {verdict->blocked_for}, "quarantined",
      Fields()
          .Text("content", quarantine::ToText(verdict->suspect))
          .Count("crashes", static_cast<std::int64_t>(verdict->crashes))
          .Millis("last_crash_ms", verdict->last_crash_age));
  return true;
}

void Gateway::OnStatedLimit(const std::string& endpoint, TimePoint sent,
                            const http::ResponseHead& head) {
  const auto values = head.headers.FindAll(this->names.limit);
  const endpoints::Endpoint* known = this->state.endpoints.Find(endpoint);
  const bool says_nothing = values.empty() && this->state.limits.Empty();
  if (known == nullptr || says_nothing) return;
  std::optional<double> limit;
  if (values.size() == 1) limit = limits::ParseRate(values.front());
  if (!values.empty() && !limit) {
    this->OnUnreadableLimit(endpoint, values.front());
    return;
  }
  const TimePoint now = this->loop.Now();
  const std::uint32_t key = endpoints::EndpointKey(*known);
  if (!this->state.limits.OnAnswer(key, limit, sent, now)) return;
  this->state.ShareLimits(this->settings.datagram_address, now);
  this->AnnounceNews();
  Fields fields;
  fields.Text("endpoint", endpoint);
  if (limit) fields.Text("per_second", absl::StrFormat("%.3f", *limit));
  this->logger.Write(Level::kNotable,
                     limit ? "endpoint_limit" : "endpoint_limit_ended", fields,
                     now);
}

void Gateway::OnUnreadableClaim(const std::string& request) {
  ++this->counters.claims_unreadable;
  const TimePoint now = this->loop.Now();
  if (now - this->unreadable_claim_logged < kUnreadableLogPeriod) return;
  this->unreadable_claim_logged = now;
  this->logger.Write(Level::kNotable, "claim_unreadable",
                     Fields().Text("request", request), now);
}

void Gateway::OnUnreadableLimit(const std::string& endpoint,
                                std::string_view value) {
  ++this->counters.limits_unreadable;
  const TimePoint now = this->loop.Now();
  if (now - this->unreadable_limit_logged < kUnreadableLogPeriod) return;
  this->unreadable_limit_logged = now;
  constexpr std::size_t kShown = 40;
  this->logger.Write(Level::kNotable, "limit_unreadable",
                     Fields()
                         .Text("endpoint", endpoint)
                         .Text("value", value.substr(0, kShown)),
                     now);
}

}  // namespace toucanwharf::instance
