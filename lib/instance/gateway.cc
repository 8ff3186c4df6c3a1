#include "toucanwharf/instance/gateway.h"

#include <charconv>
#include <utility>

#include "absl/strings/str_format.h"
#include "proxied_request.h"

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using eventlog::Level;

/// When to come back to an instance that knows too little: it reads the store
/// again about once a second.
constexpr Duration kRetryForBeliefs = std::chrono::milliseconds(500);
/// Streams last a few seconds. One that arrives later than this after the
/// signal to stop could be cut by the kill; its caller is sent on at once.
constexpr Duration kTakeAfterStop = std::chrono::milliseconds(2800);
constexpr double kMicrosPerSecond = 1e6;
/// Between looks whether requests that came early can be taken.
constexpr Duration kEarlyLook = std::chrono::milliseconds(10);
/// What a waiting request holds beside its body, about.
constexpr std::size_t kHeadBytes = 1024;
/// A silent engine gets nothing new for this long; by then the instance that
/// places layers has asked it as well.
constexpr Duration kSilentFor = std::chrono::milliseconds(1000);
/// Between looks at the queue. A hundred answers a second end, so that one
/// place is free every ten milliseconds on average.
constexpr Duration kQueueLook = std::chrono::milliseconds(20);

std::string_view KeyOf(std::string_view authorization,
                       std::string_view scheme) {
  if (authorization.size() <= scheme.size()) return {};
  const std::string_view word = authorization.substr(0, scheme.size());
  if (!http::EqualIgnoringCase(word, scheme)) return {};
  std::string_view key = authorization.substr(scheme.size());
  if (key.front() != ' ') return {};
  while (!key.empty() && key.front() == ' ') key.remove_prefix(1);
  while (!key.empty() && key.back() == ' ') key.remove_suffix(1);
  return key;
}

Duration DeadlineOf(std::string_view text, Duration most) {
  std::int64_t millis = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (error != std::errc() || millis <= 0) return most;
  return std::min<Duration>(most, std::chrono::milliseconds(millis));
}

}  // namespace

Gateway::Gateway(http::Loop& event_loop, http::Client& http_client,
                 InstanceState& shared_state, eventlog::Logger& log,
                 const InstanceSettings& chosen, HeaderNames header_names,
                 EngineCalls engine_calls)
    : loop(event_loop),
      client(http_client),
      state(shared_state),
      logger(log),
      settings(chosen),
      names(std::move(header_names)),
      budget(chosen.budget, event_loop.Now()),
      random(HashText(shared_state.instance)),
      calls(std::move(engine_calls)),
      probe(event_loop, http_client, this->calls.report, this->calls.to_report),
      start_wait(event_loop.Now()) {}

bool Gateway::TooLateToTake(TimePoint now) const {
  return this->state.stopping_since &&
         now - *this->state.stopping_since > kTakeAfterStop;
}

void Gateway::Handle(std::shared_ptr<http::Exchange> exchange) {
  ++this->counters.received;
  const TimePoint now = this->loop.Now();
  const std::size_t bytes = exchange->Received().body.size() + kHeadBytes;
  if (!this->settings.mechanisms.start_wait || this->state.KnowEnough(now) ||
      !this->start_wait.Enter(bytes, now)) {
    this->Take(std::move(exchange), now);
    return;
  }
  this->early.push_back({std::move(exchange), now, bytes});
  if (this->early.size() > 1) return;
  this->loop.After(kEarlyLook, [this] { this->TakeEarly(); });
}

void Gateway::TakeEarly() {
  const TimePoint now = this->loop.Now();
  if (!this->state.KnowEnough(now) && !this->start_wait.Expired(now)) {
    this->loop.After(kEarlyLook, [this] { this->TakeEarly(); });
    return;
  }
  for (Early& one : std::exchange(this->early, {})) {
    this->start_wait.Leave(one.bytes);
    if (one.exchange->IsDisconnected()) {
      ++this->counters.caller_disconnected;
      continue;
    }
    this->Take(std::move(one.exchange), one.arrived);
  }
}

void Gateway::Take(std::shared_ptr<http::Exchange> exchange,
                   TimePoint arrived) {
  const TimePoint now = this->loop.Now();
  const http::Request& request = exchange->Received();
  const auto table = this->state.table;
  if (!table) {
    this->Refuse(*exchange, http::kUnavailable, kRetryForBeliefs,
                 "no_configuration");
    return;
  }
  if (this->TooLateToTake(now)) {
    this->Refuse(*exchange, http::kUnavailable, Duration(0), "stopping");
    return;
  }
  Admitted admitted;
  admitted.table = table;
  admitted.arrived = arrived;
  admitted.route =
      table->Find(request.headers.Get("Host"), http::PathOf(request.target));
  if (admitted.route == nullptr) {
    this->Refuse(*exchange, http::kNotFound, Duration(0), "no_route");
    return;
  }
  const routes::Route& route = *admitted.route;
  if (!route.open && !table->All().customers.empty()) {
    if (!this->state.KeysHold(now)) {
      this->Refuse(*exchange, http::kUnavailable, kRetryForBeliefs,
                   "keys_unconfirmed");
      return;
    }
    const routes::Customer* customer =
        table->CustomerOf(KeyOf(request.headers.Get(this->names.authorization),
                                this->names.key_scheme));
    if (customer == nullptr) {
      this->Refuse(*exchange, http::kUnauthorized, Duration(0), "unknown_key");
      return;
    }
    admitted.customer = customer->name;
  }
  const routes::ServiceShare* share = routes::DrawService(route, this->random);
  if (share != nullptr) admitted.service = table->FindService(share->service);
  if (admitted.service == nullptr) {
    this->Refuse(*exchange, http::kUnavailable, kRetryForBeliefs, "no_service");
    return;
  }
  admitted.deadline =
      arrived +
      DeadlineOf(request.headers.Get(this->names.deadline), route.timeout);
  std::make_shared<ProxiedRequest>(*this, std::move(exchange),
                                   std::move(admitted))
      ->Start();
}

std::size_t Gateway::Askers() const {
  return this->state.peers.InstanceCount(this->loop.Now());
}

bool Gateway::AsksWholePaths(TimePoint now) const {
  return this->settings.mechanisms.engine_questions &&
         !this->state.peers.IsLargeFleet(now);
}

void Gateway::Doubt(const std::vector<pipeline::Stage>& engines,
                    TimePoint since) {
  for (const pipeline::Stage& stage : engines) {
    this->AskWhetherAlive(stage, since);
  }
}

void Gateway::AskWhetherAlive(const pipeline::Stage& stage, TimePoint since) {
  this->probe.Ask(stage.address, since, this->Askers(),
                  [this, id = stage.endpoint](const ProbeAnswer& answer) {
                    if (answer.alive) {
                      this->state.loads.OnResponse(id, this->loop.Now());
                    } else {
                      this->NoteSilent(id);
                    }
                  });
}

void Gateway::NoteSilent(const std::string& endpoint) {
  const TimePoint now = this->loop.Now();
  const bool news =
      this->state.loads.MarkUnresponsive(endpoint, now + kSilentFor, now);
  if (!news) return;
  this->logger.Write(Level::kNotable, "engine_silent",
                     Fields().Text("endpoint", endpoint), now);
  if (this->tell_silent) this->tell_silent();
  this->RerouteAround(endpoint);
}

void Gateway::RerouteAround(const std::string& endpoint) {
  // Leading one around may end it, and others with it.
  std::vector<std::shared_ptr<ProxiedRequest>> all;
  for (ProxiedRequest* one : this->passages)
    all.push_back(one->shared_from_this());
  for (const auto& one : all) one->OnEngineSilent(endpoint);
}

std::vector<endpoints::LivenessEvidence> Gateway::SignsBeside(
    const ProxiedRequest& except) const {
  std::vector<endpoints::LivenessEvidence> signs;
  for (const ProxiedRequest* one : this->passages) {
    if (one == &except) continue;
    if (auto sign = one->Sign()) signs.push_back(std::move(*sign));
  }
  return signs;
}

void Gateway::Enqueue(std::shared_ptr<ProxiedRequest> passage) {
  ++this->counters.queued;
  this->queue.push_back(std::move(passage));
  if (this->queue_timer != 0) return;
  this->queue_timer =
      this->loop.After(kQueueLook, [this] { this->ServeQueue(); });
}

void Gateway::ServeQueue() {
  this->queue_timer = 0;
  // In the order of arrival; whoever finds no room keeps those behind from
  // overtaking, or a long answer would never find a place.
  while (!this->queue.empty()) {
    const auto first = this->queue.front();
    if (!first->LeaveQueue()) break;
    this->queue.pop_front();
  }
  if (this->queue.empty()) return;
  this->queue_timer =
      this->loop.After(kQueueLook, [this] { this->ServeQueue(); });
}

void Gateway::Refuse(http::Exchange& exchange, int status, Duration retry_after,
                     std::string_view reason) {
  http::ResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "text/plain");
  if (status == http::kUnavailable) {
    const double spread = 0.75 + 0.5 * this->random.Unit();
    const double seconds =
        static_cast<double>(retry_after.count()) / kMicrosPerSecond * spread;
    head.headers.Add("Retry-After", absl::StrFormat("%.3f", seconds));
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
             static_cast<std::int64_t>(this->state.configuration_revision));
  const TimePoint now = this->loop.Now();
  if (const auto age = this->state.freshness.Age(now)) {
    fields.Millis("configuration_age_ms", *age);
  }
  this->logger.Write(Level::kNotable, "refused", fields, now);
}

}  // namespace toucanwharf::instance
