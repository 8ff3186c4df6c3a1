#include "toucanwharf/instance/gateway.h"

#include <charconv>
#include <utility>

#include "absl/strings/str_format.h"
#include "proxied_request.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// Retry-After of an instance that lacks configuration or endpoints: it reads
/// the store about once a second.
constexpr Duration kRetryWithoutState = std::chrono::milliseconds(500);
/// Retry-After of an instance without a descriptor for another call: answers
/// end, and free theirs, many times a second.
constexpr Duration kRetryWithoutDescriptor = std::chrono::milliseconds(500);
/// Until most callers know of a stop: they keep the addresses that they were
/// told for two seconds.
constexpr Duration kNewsTime = std::chrono::milliseconds(2800);
constexpr double kMicrosPerSecond = 1e6;
/// Between checks whether early requests can be admitted.
constexpr Duration kEarlyPollPeriod = std::chrono::milliseconds(10);
/// Approximate memory of a waiting request besides its body.
constexpr std::size_t kHeadBytes = 1024;

std::string_view KeyOf(std::string_view authorization,
                       std::string_view scheme) {
  if (authorization.size() <= scheme.size()) return {};
  const std::string_view prefix = authorization.substr(0, scheme.size());
  if (!http::EqualIgnoringCase(prefix, scheme)) return {};
  std::string_view key = authorization.substr(scheme.size());
  if (key.front() != ' ') return {};
  while (!key.empty() && key.front() == ' ') key.remove_prefix(1);
  while (!key.empty() && key.back() == ' ') key.remove_suffix(1);
  return key;
}

/// Returns \p delay times 0.75 to 1.25.
Duration Spread(Duration delay, Random& random) {
  const double factor = 0.75 + 0.5 * random.Unit();
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor));
}

Duration DeadlineOf(std::string_view text, Duration max) {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc() || millis <= 0) return max;
  return std::min<Duration>(max, std::chrono::milliseconds(millis));
}

}  // namespace

Gateway::Gateway(http::Loop& event_loop, http::Client& http_client,
                 InstanceState& shared_state, eventlog::Logger& log,
                 const InstanceSettings& initial_settings,
                 resources::Account& buffer_account, HeaderNames header_names,
                 EngineCalls engine_calls)
    : loop(event_loop),
      client(http_client),
      buffers(buffer_account),
      state(shared_state),
      logger(log),
      settings(initial_settings),
      names(std::move(header_names)),
      budget(initial_settings.budget, event_loop.Now()),
      unread(initial_settings.budget.window),
      stop_plan(initial_settings.bounds.grace, kNewsTime),
      random(HashText(shared_state.instance)),
      calls(std::move(engine_calls)),
      probe(event_loop, http_client, this->calls.report, this->calls.to_report),
      path_monitor(event_loop, http_client, shared_state, log,
                   this->calls.report),
      startup_wait(event_loop.Now()) {
  this->path_monitor.OnChange([this](bool isolation_changed) {
    if (isolation_changed && this->isolation_changed) {
      this->isolation_changed();
    } else {
      this->AnnounceNews();
    }
  });
}

bool Gateway::TooLateToTake(const routes::Route& route, Duration left,
                            TimePoint now) const {
  if (this->ended) return true;
  if (!this->state.stopping_since) return false;
  // What must not run twice can't go on elsewhere.
  const auto usual = route.Repeatable()
                         ? this->answer_times.MedianOf(route.name)
                         : this->answer_times.LongestOf(route.name);
  return !this->stop_plan.MayTake(now - *this->state.stopping_since,
                                  {left, usual});
}

bool Gateway::KnowsEnoughToAdmit(TimePoint now) const {
  return this->state.CanAdmitRequests(now) && this->state.quarantine_known;
}

void Gateway::Handle(std::shared_ptr<http::Exchange> exchange) {
  ++this->counters.received;
  const TimePoint now = this->loop.Now();
  const std::size_t bytes = exchange->Received().body.size() + kHeadBytes;
  if (!this->settings.mechanisms.startup_wait ||
      this->KnowsEnoughToAdmit(now) || !this->startup_wait.Enter(bytes, now)) {
    this->Admit(std::move(exchange), now);
    return;
  }
  this->early_requests.push_back({std::move(exchange), now, bytes});
  if (this->early_requests.size() > 1) return;
  this->loop.After(kEarlyPollPeriod, [this] { this->AdmitEarly(); });
}

void Gateway::AdmitEarly() {
  const TimePoint now = this->loop.Now();
  if (!this->KnowsEnoughToAdmit(now) && !this->startup_wait.Expired(now)) {
    this->loop.After(kEarlyPollPeriod, [this] { this->AdmitEarly(); });
    return;
  }
  for (EarlyRequest& waiting : std::exchange(this->early_requests, {})) {
    this->startup_wait.Leave(waiting.bytes);
    if (waiting.exchange->IsDisconnected()) {
      ++this->counters.caller_disconnected;
      continue;
    }
    this->Admit(std::move(waiting.exchange), waiting.arrived);
  }
}

void Gateway::CheckHead(const std::shared_ptr<http::Exchange>& exchange) {
  const TimePoint now = this->loop.Now();
  const bool may_wait = this->settings.mechanisms.startup_wait &&
                        !this->startup_wait.Expired(now);
  if (may_wait && !this->KnowsEnoughToAdmit(now)) return;
  Admitted found;
  const auto refusal = this->FindRoute(exchange->Received(), now, found);
  if (!refusal) return;
  ++this->counters.received;
  this->Refuse(*exchange, refusal->status, refusal->retry, refusal->reason);
}

std::optional<Gateway::Refusal> Gateway::FindRoute(const http::Request& request,
                                                   TimePoint now,
                                                   Admitted& admitted) const {
  const auto table = this->state.route_table;
  if (!table) {
    return Refusal{
        http::kUnavailable, {kRetryWithoutState}, "no_configuration"};
  }
  admitted.table = table;
  admitted.route =
      table->Find(request.headers.Get("Host"), http::PathOf(request.target));
  if (admitted.route == nullptr) {
    return Refusal{http::kNotFound, {}, "no_route"};
  }
  const routes::Route& route = *admitted.route;
  const Duration left =
      DeadlineOf(request.headers.Get(this->names.deadline), route.timeout);
  if (this->TooLateToTake(route, left, now)) {
    return Refusal{http::kUnavailable, {}, kStopping};
  }
  if (!route.open && !table->All().customers.empty()) {
    if (!this->state.MayAcceptKeys(now)) {
      return Refusal{
          http::kUnavailable, {kRetryWithoutState}, "keys_unconfirmed"};
    }
    const routes::Customer* customer =
        table->CustomerOf(KeyOf(request.headers.Get(this->names.authorization),
                                this->names.key_scheme));
    if (customer == nullptr) {
      return Refusal{http::kUnauthorized, {}, "unknown_key"};
    }
    admitted.customer = customer->name;
    admitted.customer_rank = customer->priority;
  }
  if (!this->client.HasRoom()) {
    return Refusal{
        http::kUnavailable, {kRetryWithoutDescriptor}, "no_descriptor"};
  }
  return std::nullopt;
}

void Gateway::Admit(std::shared_ptr<http::Exchange> exchange, TimePoint arrived,
                    const std::optional<ForwardedRequest>& forwarded) {
  const TimePoint now = this->loop.Now();
  const http::Request& request = exchange->Received();
  Admitted admitted;
  if (const auto refusal = this->FindRoute(request, now, admitted)) {
    this->Refuse(*exchange, refusal->status, refusal->retry, refusal->reason);
    return;
  }
  admitted.arrived = arrived;
  admitted.forwarded = forwarded;
  const auto table = admitted.table;
  const routes::Route& route = *admitted.route;
  const routes::ServiceShare* share = routes::DrawService(route, this->random);
  if (share != nullptr) admitted.service = table->FindService(share->service);
  if (admitted.service == nullptr) {
    this->Refuse(*exchange, http::kUnavailable, {kRetryWithoutState},
                 "no_service");
    return;
  }
  // Hashing is worthwhile only while there are suspects.
  if (!this->state.quarantine.Empty() &&
      this->RefuseQuarantined(
          *exchange, this->FingerprintsOf(request, admitted.customer))) {
    return;
  }
  const Duration left =
      DeadlineOf(request.headers.Get(this->names.deadline), route.timeout);
  // What is left to a forwarded request is counted from now on.
  admitted.deadline =
      std::min(arrived + route.timeout, (forwarded ? now : arrived) + left);
  if (!forwarded) {
    admitted.caller_age =
        this->usual_time.RecordAttempt(route.name, left, arrived);
  }
  if (this->state.stopping_since) ++this->counters.taken_while_stopping;
  std::make_shared<ProxiedRequest>(*this, std::move(exchange),
                                   std::move(admitted))
      ->Start();
}

void Gateway::EndAll() {
  this->ended = true;
  std::vector<std::shared_ptr<ProxiedRequest>> requests;
  for (ProxiedRequest* request : this->active) {
    if (auto held = request->weak_from_this().lock()) {
      requests.push_back(std::move(held));
    }
  }
  for (const auto& request : requests) request->EndByStop();
  for (EarlyRequest& waiting : std::exchange(this->early_requests, {})) {
    this->startup_wait.Leave(waiting.bytes);
    this->Refuse(*waiting.exchange, http::kUnavailable, {}, kStopping);
  }
}

void Gateway::Refuse(http::Exchange& exchange, int status,
                     const RetryTime& retry_time, std::string_view reason,
                     const Fields& more, bool reached_endpoint) {
  http::ResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "text/plain");
  std::optional<Duration> retry_after;
  if (status == http::kUnavailable) {
    retry_after = retry_time.is_drawn ? retry_time.after
                                      : Spread(retry_time.after, this->random);
    const double seconds =
        static_cast<double>(retry_after->count()) / kMicrosPerSecond;
    head.headers.Add(this->names.retry_after, absl::StrFormat("%.3f", seconds));
  }
  if (ClaimsForwarding(exchange.Received())) {
    // An instance in doubt may be isolated itself and not know it yet.
    SetRefusal(head.headers,
               this->state.paths.InDoubt() ? ForwardRefusal::kElsewhere
                                           : RefusalFor(reason),
               reached_endpoint);
  }
  std::string body = "not run: ";
  body.append(reason).append("\n");
  exchange.Respond(head, body);
  ++this->counters.refused;
  const http::Headers& headers = exchange.Received().headers;
  Fields fields;
  fields.Text("request", headers.Get(this->names.request_id))
      .Text("why", reason)
      .Count("status", status)
      .Count("configuration",
             static_cast<std::int64_t>(this->state.configuration.version));
  if (retry_after) fields.Millis("retry_after_ms", *retry_after);
  const TimePoint now = this->loop.Now();
  if (const auto age = this->state.freshness.Age(now)) {
    fields.Millis("configuration_age_ms", *age);
  }
  fields.Append(more);
  this->logger.Write(Level::kNotable, "refused", fields, now);
}

}  // namespace toucanwharf::instance
