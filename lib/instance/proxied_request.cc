#include "proxied_request.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;
using attempts::NextStep;
using eventlog::Fields;
using eventlog::Level;

/// An endpoint that can't be connected to gets nothing new for this long. A
/// restart takes longer, and each try costs a caller the connect timeout.
constexpr Duration kUnreachableFor = std::chrono::milliseconds(1500);
/// A plain request's answer up to this size is handed on only when it is
/// whole, so that a break in it can be made good by another endpoint.
constexpr std::size_t kMostHeldBack = 256UL * 1024;
/// When to come back after a refusal. Room is free as soon as one of the
/// answers under way ends, which happens many times a second; a lost layer is
/// loaded again in one to two seconds.
constexpr Duration kRetryForRoom = std::chrono::milliseconds(400);
constexpr Duration kRetryForLayers = std::chrono::milliseconds(1500);
/// A request waits for room at most until so much of its objective is left:
/// the first event takes about as long after it was sent.
constexpr Duration kLeftAfterQueue = std::chrono::milliseconds(200);
/// Connect timeouts: a connection inside a region takes a millisecond.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
/// Part of the most output tokens that an answer usually has, where the caller
/// gives no hint.
constexpr double kUsualOutputShare = 0.6;

constexpr double kMicrosPerMilli = 1000;

double NumberOf(std::string_view text) {
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::max(value, 0.0);
}

constexpr double kPercent = 100;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

bool IsSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

}  // namespace

ProxiedRequest::ProxiedRequest(Gateway& owner,
                               std::shared_ptr<http::Exchange> caller,
                               Admitted admitted)
    : gateway(owner),
      exchange(std::move(caller)),
      what(std::move(admitted)),
      pace(this->what.route->objective) {
  const http::Headers& headers = this->exchange->Received().headers;
  const HeaderNames& names = this->gateway.names;
  this->request_id = std::string(headers.Get(names.request_id));
  const std::string_view counts = headers.Get(names.token_counts);
  const std::size_t comma = counts.find(',');
  if (comma != std::string_view::npos) {
    this->prompt_tokens = NumberOf(counts.substr(0, comma));
    const double most = NumberOf(counts.substr(comma + 1));
    const auto hint = headers.Find(names.length_hint);
    this->output_tokens =
        hint ? std::min(NumberOf(*hint), most) : kUsualOutputShare * most;
  }
  this->gateway.passages.insert(this);
}

ProxiedRequest::~ProxiedRequest() {
  this->CancelCall();
  this->ReleaseLoad();
  this->gateway.loop.Cancel(this->deadline_timer);
  this->gateway.passages.erase(this);
}

void ProxiedRequest::Start() {
  this->exchange->OnDisconnect(
      [self = this->shared_from_this()] { self->OnCallerGone(); });
  const TimePoint now = this->gateway.loop.Now();
  this->deadline_timer = this->gateway.loop.After(
      this->what.deadline - now,
      [self = this->shared_from_this()] { self->OnDeadline(); });
  this->gateway.budget.OnRequest(this->what.service->name, now);
  if (const auto from = this->exchange->Received().headers.Find(
          this->gateway.names.last_event_id)) {
    this->events.SetLastId(std::string(*from));
  }
  this->Try();
}

bool ProxiedRequest::MayQueue() const {
  if (!this->IsModel() || this->lack != placement::NoPathReason::kNoCapacity ||
      !this->gateway.settings.mechanisms.room_queue) {
    return false;
  }
  const TimePoint until =
      this->what.arrived + this->what.route->objective - kLeftAfterQueue;
  return this->gateway.loop.Now() < until;
}

bool ProxiedRequest::LeaveQueue() {
  if (this->finished) return true;
  const auto chosen = this->Choose();
  if (chosen) {
    this->Send(*chosen);
    return true;
  }
  if (this->MayQueue()) return false;
  this->Refuse("no_room_in_time");
  return true;
}

void ProxiedRequest::Try() {
  // Whoever came first is served first.
  const bool behind = this->IsModel() && !this->gateway.queue.empty();
  const auto chosen = behind ? std::nullopt : this->Choose();
  if (behind) this->lack = placement::NoPathReason::kNoCapacity;
  if (!chosen && this->MayQueue()) {
    this->gateway.Enqueue(this->shared_from_this());
    return;
  }
  if (!chosen) {
    this->Refuse(this->lack == placement::NoPathReason::kNoCapacity
                     ? "no_room"
                     : "no_endpoint");
    return;
  }
  this->Send(*chosen);
}

void ProxiedRequest::Send(const Target& to) {
  this->target = to;
  ++this->tries.total;
  ++this->tries.may_have_run;
  this->has_head = false;
  this->head_good = false;
  this->head_verdict.reset();
  this->body.clear();
  this->events.DropPartialEvent();
  this->try_began = this->gateway.loop.Now();
  this->last_data = this->try_began;
  this->pace.Restart();
  this->asked_again = 0;
  this->CountLoad();
  http::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  if (!this->what.route->Repeatable()) options.reuse = http::Reuse::kNever;
  http::CallHandlers handlers;
  handlers.on_head = [self = this->shared_from_this()](const auto& answer) {
    self->OnHead(answer);
  };
  handlers.on_data = [self = this->shared_from_this()](std::string_view bytes) {
    self->OnData(bytes);
  };
  handlers.on_done = [self = this->shared_from_this()](const auto& result) {
    self->OnDone(result);
  };
  this->call = this->gateway.client.Start(to.address, this->BuildRequest(to),
                                          options, std::move(handlers));
  this->Log(Level::kRoutine, "sent",
            Fields()
                .Text("endpoint", to.endpoint)
                .Count("try", this->tries.total)
                .Count("stages", static_cast<std::int64_t>(to.stages.size())));
  this->WatchSilence(this->Patience());
}

void ProxiedRequest::OnHead(const http::ResponseHead& answer) {
  if (this->finished || this->call == 0) return;
  this->has_head = true;
  this->last_data = this->gateway.loop.Now();
  this->head = answer;
  this->JudgeHead(answer);
}

void ProxiedRequest::JudgeHead(const http::ResponseHead& answer) {
  const HeaderNames& names = this->gateway.names;
  const auto id = answer.headers.Find(names.request_id);
  const bool others = id && *id != this->request_id;
  const bool nameless = !id && IsSuccess(answer.status);
  if (others || nameless) {
    // A late answer to another request came where this one's was due.
    this->EndTry(AttemptOutcome::kUnknown, "answer_of_another_request");
    return;
  }
  const bool not_run = answer.headers.Find(names.not_run).has_value() ||
                       answer.status == http::kMisdirected;
  if (not_run) {
    this->head_verdict = AttemptOutcome::kNotRun;
    return;
  }
  if (!IsSuccess(answer.status)) {
    if (answer.status >= http::kServerError) {
      this->head_verdict = AttemptOutcome::kFailed;
    }
    return;
  }
  this->head_good = true;
  if (this->IsStream()) this->BeginStream(answer);
}

void ProxiedRequest::BeginStream(const http::ResponseHead& answer) {
  if (this->tries.answer_started) return;
  this->tries.answer_started = true;
  http::ResponseHead out;
  out.status = answer.status;
  out.reason = answer.reason;
  out.headers = http::EndToEnd(answer.headers);
  this->exchange->Begin(out);
}

void ProxiedRequest::OnData(std::string_view bytes) {
  if (this->finished || this->call == 0) return;
  this->last_data = this->gateway.loop.Now();
  if (!this->head_good || !this->IsStream()) {
    this->body.append(bytes);
    if (this->body.size() > kMostHeldBack && this->head_good &&
        !this->tries.answer_started) {
      http::ResponseHead out = this->head;
      out.headers = http::EndToEnd(this->head.headers);
      this->tries.answer_started = true;
      this->exchange->Begin(out);
    }
    if (this->tries.answer_started) {
      this->exchange->Write(this->body);
      this->body.clear();
    }
    return;
  }
  this->events.Feed(bytes);
  const std::string whole = this->events.TakeCompleteEvents();
  if (whole.empty()) return;
  if (!std::exchange(this->any_event, true)) {
    this->first_event_after = this->last_data - this->what.arrived;
    this->gateway.counters.first_event_latency.Add(this->first_event_after);
  }
  if (std::exchange(this->asked_again, 0) > 0) {
    this->gateway.restraint.OnFalseAlarm(this->last_data);
  }
  this->refused_changes = 0;
  this->pace.OnEvent(this->last_data);
  ++this->chunks_written;
  this->exchange->Write(whole);
}

void ProxiedRequest::OnDone(const http::CallResult& result) {
  this->call = 0;
  if (this->finished) return;
  if (result.end == http::CallEnd::kNotConnected) {
    this->gateway.state.loads.Suspect(
        this->target.endpoint, this->gateway.loop.Now() + kUnreachableFor);
    this->EndTry(AttemptOutcome::kNotSent, "not_connected");
    return;
  }
  if (result.end != http::CallEnd::kComplete) {
    this->EndTry(
        result.sent ? AttemptOutcome::kUnknown : AttemptOutcome::kNotSent,
        "broken");
    return;
  }
  if (this->head_verdict) {
    this->EndTry(*this->head_verdict,
                 *this->head_verdict == AttemptOutcome::kNotRun
                     ? "refused_by_endpoint"
                     : "failed_at_endpoint");
    return;
  }
  if (!this->tries.answer_started) {
    this->FinishPlain();
    return;
  }
  if (this->IsStream() && this->events.HasPartialEvent()) {
    this->EndTry(AttemptOutcome::kUnknown, "ended_inside_event");
    return;
  }
  this->exchange->End();
  ++this->gateway.counters.answered;
  this->Finish("answered", this->head.status);
}

void ProxiedRequest::FinishPlain() {
  http::ResponseHead out;
  out.status = this->head.status;
  out.reason = this->head.reason;
  out.headers = http::EndToEnd(this->head.headers);
  this->exchange->Respond(out, this->body);
  const bool success = IsSuccess(this->head.status);
  if (success) {
    this->gateway.counters.plain_latency.Add(this->gateway.loop.Now() -
                                             this->what.arrived);
  }
  ++(success ? this->gateway.counters.answered : this->gateway.counters.failed);
  this->Finish(success ? "answered" : "failure_relayed", this->head.status);
}

/// Returns where to try again, if that is allowed and there is such a place.
std::optional<ProxiedRequest::Target> ProxiedRequest::ChooseAgain(
    AttemptOutcome end) {
  const TimePoint now = this->gateway.loop.Now();
  if (now >= this->what.deadline) return std::nullopt;
  if (!attempts::MayRetry(*this->what.route, this->tries, end)) {
    return std::nullopt;
  }
  auto next = this->Choose();
  if (!next) return std::nullopt;
  // A connection that never was caused no arrival.
  if (end == AttemptOutcome::kNotSent) return next;
  const bool granted =
      this->gateway.budget.TakeExtra(this->what.service->name, now);
  ++(granted ? this->gateway.counters.extra_arrivals
             : this->gateway.counters.retries_denied);
  return granted ? next : std::nullopt;
}

/// Returns the part of an engine's room that is taken, as far as is known.
double ProxiedRequest::RoomUsed(const std::string& id) const {
  const InstanceState& state = this->gateway.state;
  const endpoints::Endpoint* endpoint = state.endpoints.Find(id);
  if (endpoint == nullptr || !this->IsModel()) return 0;
  const placement::EngineModel& model = *this->what.service->engine;
  const placement::AcceleratorKind* kind = model.FindKind(endpoint->kind);
  if (kind == nullptr) return 0;
  const placement::Engine engine =
      state.loads.ToEngine(*endpoint, this->gateway.loop.Now());
  const double room =
      placement::TokenLayerCapacity(model, *kind, engine.layers.Count());
  return room > 0 ? engine.token_layers / room : 1;
}

void ProxiedRequest::NoteRefusal(const std::string& endpoint, bool full) {
  if (!this->gateway.settings.mechanisms.refusal_pauses) return;
  this->gateway.state.loads.OnRefusal(endpoint, full, this->gateway.loop.Now());
}

/// Ends the try under way and goes on with what the policy says.
void ProxiedRequest::EndTry(AttemptOutcome end, std::string_view why) {
  this->CancelCall();
  this->ReleaseLoad();
  const TimePoint now = this->gateway.loop.Now();
  this->excluded.insert(this->target.endpoint);
  Fields fields;
  const bool surely_not =
      end == AttemptOutcome::kNotSent || end == AttemptOutcome::kNotRun;
  if (surely_not) --this->tries.may_have_run;
  if (end == AttemptOutcome::kNotRun) {
    const std::string_view fault =
        this->head.headers.Get(this->gateway.names.at_fault);
    for (const pipeline::Stage& stage : this->target.stages) {
      if (stage.address != fault) continue;
      this->excluded.insert(stage.endpoint);
      this->excluded.erase(this->target.endpoint);
      // How full it was taken to be tells a wrong belief from a full fleet.
      const double used = this->RoomUsed(stage.endpoint);
      this->NoteRefusal(stage.endpoint, used > kFull);
      fields.Text("fault", stage.endpoint)
          .Count("fault_layers", stage.layers.Count())
          .Count("fault_room_used_percent",
                 static_cast<std::int64_t>(used * kPercent));
    }
  }
  fields.Text("endpoint", this->target.endpoint)
      .Text("why", why)
      .Count("status", this->has_head ? this->head.status : 0)
      .Text("at_fault", this->head.headers.Get(this->gateway.names.at_fault))
      .Millis("took_ms", now - this->try_began)
      .Count("retries_left",
             static_cast<std::int64_t>(
                 this->gateway.budget.Remaining(this->what.service->name, now)))
      .Count("budget_shared_by", static_cast<std::int64_t>(
                                     this->gateway.budget.Sharers().instances));
  this->Log(Level::kNotable, "try_ended", fields);
  this->Proceed(end, why);
}

void ProxiedRequest::Proceed(AttemptOutcome end, std::string_view why) {
  if (this->abandoned) {
    this->Finish("left_by_caller", 0);
    return;
  }
  const auto next = this->ChooseAgain(end);
  switch (attempts::NextStepAfter(*this->what.route, this->tries, end,
                                  next.has_value())) {
    case NextStep::kRetry:
      ++(this->tries.answer_started ? this->gateway.counters.resumed
                                    : this->gateway.counters.retried);
      this->Send(*next);
      return;
    case NextStep::kRefuse:
      this->Refuse(why);
      return;
    case NextStep::kUnknownOutcome:
      this->Fail(http::kBadGateway, why);
      return;
    case NextStep::kRelayFailure:
      this->FinishPlain();
      return;
    case NextStep::kAbort:
      if (attempts::MayRetry(*this->what.route, this->tries, end)) {
        this->AwaitPlace(end, why);
        return;
      }
      ++this->gateway.counters.aborted;
      this->exchange->Abort();
      this->Finish("broken_off", 0);
      return;
  }
}

void ProxiedRequest::OnDeadline() {
  if (this->finished) return;
  ++this->gateway.counters.timed_out;
  if (this->tries.answer_started) {
    this->exchange->Abort();
    this->Finish("deadline_in_answer", 0);
    return;
  }
  this->Fail(http::kGatewayTimeout, "deadline");
}

void ProxiedRequest::OnCallerGone() {
  if (this->finished) return;
  ++this->gateway.counters.caller_disconnected;
  if (this->what.route->kind == routes::RequestKind::kNonIdempotent &&
      this->call != 0) {
    // Work that must not run twice goes on once it was sent: nobody can tell
    // how far it came, and the endpoint would be cut in the middle of it.
    this->abandoned = true;
    return;
  }
  this->Finish("left_by_caller", 0);
}

void ProxiedRequest::Refuse(std::string_view why) {
  if (this->tries.answer_started) {
    ++this->gateway.counters.aborted;
    this->exchange->Abort();
    this->Finish("broken_off", 0);
    return;
  }
  if (this->tries.may_have_run > 0) {
    this->Fail(http::kBadGateway, why);
    return;
  }
  const Duration wait = this->lack == placement::NoPathReason::kMissingLayers
                            ? kRetryForLayers
                            : kRetryForRoom;
  this->gateway.Refuse(*this->exchange, http::kUnavailable, wait, why);
  this->Finish("refused", http::kUnavailable);
}

void ProxiedRequest::Fail(int status, std::string_view why) {
  http::ResponseHead out;
  out.status = status;
  out.headers.Add("Content-Type", "text/plain");
  this->exchange->Respond(
      out, absl::StrCat("the request may have run: ",
                        absl::string_view(why.data(), why.size()), "\n"));
  ++this->gateway.counters.failed;
  this->Log(Level::kNotable, "failed",
            Fields().Text("why", why).Count("status", status));
  this->Finish("failed", status);
}

void ProxiedRequest::Finish(std::string_view outcome, int status) {
  if (std::exchange(this->finished, true)) return;
  this->CancelCall();
  this->ReleaseLoad();
  this->gateway.loop.Cancel(this->deadline_timer);
  this->gateway.loop.Cancel(this->silence_timer);
  this->exchange->OnDisconnect(nullptr);
  const Level level = outcome == "answered" ? Level::kRoutine : Level::kNotable;
  this->Log(
      level, "finished",
      Fields()
          .Text("outcome", outcome)
          .Count("status", status)
          .Count("tries", this->tries.total)
          .Text("endpoint", this->target.endpoint)
          .Count("stages",
                 static_cast<std::int64_t>(this->target.stages.size()))
          .Count("pieces", this->chunks_written)
          .Millis("first_event_ms", this->first_event_after)
          .Millis("longest_pause_ms", this->pace.LongestPause())
          .Count("expected_token_us",
                 static_cast<std::int64_t>(this->target.token_millis *
                                           kMicrosPerMilli))
          .Millis("took_ms", this->gateway.loop.Now() - this->what.arrived));
}

void ProxiedRequest::CancelCall() {
  const http::CallId open = std::exchange(this->call, 0);
  if (open == 0) return;
  this->gateway.client.Cancel(open);
}

void ProxiedRequest::ReleaseLoad() {
  for (const auto& load : this->counted) {
    this->gateway.state.loads.RemoveInFlight(load);
  }
  this->counted.clear();
}

void ProxiedRequest::Log(Level level, std::string_view event,
                         const Fields& more) const {
  Fields fields;
  fields.Text("request", this->request_id)
      .Text("route", this->what.route->name);
  fields.Append(more);
  this->gateway.logger.Write(level, event, fields, this->gateway.loop.Now());
}

}  // namespace toucanwharf::instance
