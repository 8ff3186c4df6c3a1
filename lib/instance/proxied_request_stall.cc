#include <algorithm>
#include <string>
#include <utility>

#include "proxied_request.h"

namespace toucanwharf::instance {
namespace {

using attempts::AttemptOutcome;
using eventlog::Fields;
using eventlog::Level;

/// An engine's report is some hundred milliseconds old, so the first question
/// may come too early. Each further one waits twice as long: under overload
/// every answer is silent for a while, and a question costs the engine a probe.
constexpr Duration kAskAgain = std::chrono::milliseconds(70);
constexpr int kMostAskDoublings = 3;
/// A report serves all answers that ask for it within this time.
constexpr Duration kReportLives = std::chrono::milliseconds(80);
/// What other answers showed of an engine counts if it came after this part of
/// the silence: what it had passed on before it died may still arrive then.
constexpr int kSignAfterPercent = 60;
constexpr int kPercent = 100;
/// Questions in vain put further ones off up to here, where callers' pause is
/// nearly over.
constexpr Duration kMostRestrained = std::chrono::milliseconds(160);
/// Ways around that were refused, after which the answer goes on elsewhere.
constexpr int kMostRefusedChanges = 2;
/// An answer that is silent for so long though its engine names nobody is
/// tried elsewhere: callers leave after two seconds.
constexpr Duration kLongSilence = std::chrono::milliseconds(1200);
/// Callers leave a stream after two seconds without an event, or later where
/// their objective is long; until then an answer that lost its path may find
/// another, and the caller's own close ends the wait.
constexpr Duration kCallersPatience = std::chrono::seconds(4);
/// Between looks for a place for an answer that lost its own.
constexpr Duration kPlaceLook = std::chrono::milliseconds(60);
/// An engine answers an order in a millisecond; without an answer the change of
/// path may not have been taken.
constexpr Duration kRepathTimeout = std::chrono::milliseconds(100);
/// An idempotent request without any answer for so long is tried elsewhere.
constexpr Duration kPlainSilence = std::chrono::milliseconds(400);

}  // namespace

/// Part of the answer is out, and nowhere is room for the rest of it yet. The
/// caller waits for the next event anyway, so the answer is given up only when
/// the caller would be gone.
void ProxiedRequest::AwaitPlace(AttemptOutcome end, std::string_view why) {
  const TimePoint now = this->gateway.loop.Now();
  if (now - this->last_data > kCallersPatience) {
    ++this->gateway.counters.aborted;
    this->exchange->Abort();
    this->Finish("broken_off", 0);
    return;
  }
  this->gateway.loop.Cancel(this->silence_timer);
  this->silence_timer = this->gateway.loop.After(
      kPlaceLook,
      [self = this->shared_from_this(), end, reason = std::string(why)] {
        if (!self->finished) self->Proceed(end, reason);
      });
}

Duration ProxiedRequest::Patience() const {
  if (!this->IsStream()) return kPlainSilence;
  if (this->HasSilentEngine()) return this->pace.SuspectedStallTimeout();
  const Duration usual = this->pace.StallTimeout();
  const double factor =
      this->gateway.restraint.Factor(this->gateway.loop.Now());
  const Duration restrained(
      static_cast<std::int64_t>(static_cast<double>(usual.count()) * factor));
  return std::max(usual, std::min(restrained, kMostRestrained));
}

bool ProxiedRequest::HasSilentEngine() const {
  const TimePoint now = this->gateway.loop.Now();
  const auto& stages = this->target.stages;
  return std::any_of(stages.begin(), stages.end(), [&](const auto& stage) {
    return this->gateway.state.loads.IsUnresponsive(stage.endpoint, now);
  });
}

std::optional<endpoints::LivenessEvidence> ProxiedRequest::Sign() const {
  const bool shows =
      this->call != 0 && this->any_event && this->last_data > this->try_began;
  if (!shows) return std::nullopt;
  return endpoints::LivenessEvidence{this->target.stages, this->last_data};
}

void ProxiedRequest::OnEngineSilent(const std::string& endpoint) {
  if (this->finished || this->call == 0) return;
  if (!RunsThrough(this->target.stages, endpoint)) return;
  this->WatchSilence(std::max(
      Duration(0),
      this->Patience() - (this->gateway.loop.Now() - this->last_data)));
}

void ProxiedRequest::WatchSilence(Duration delay) {
  if (!this->what.route->Repeatable()) return;
  this->gateway.loop.Cancel(this->silence_timer);
  this->silence_timer =
      this->gateway.loop.After(delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) self->OnSilence();
      });
}

void ProxiedRequest::OnSilence() {
  if (this->finished || this->call == 0 || this->changing_path) return;
  const Duration silent = this->gateway.loop.Now() - this->last_data;
  const Duration left = this->Patience() - silent;
  if (left > Duration(0)) {
    this->WatchSilence(left);
    return;
  }
  if (!this->IsModel()) {
    this->TryElsewhere("silent");
    return;
  }
  if (this->HasSilentEngine()) {
    this->GoAround();
    return;
  }
  this->AskEngines();
}

/// Asks the first engine why no event comes, and those of the others that may
/// be the cause whether they live: the first engine's report tells of a silent
/// one only after some hundred milliseconds.
void ProxiedRequest::AskEngines() {
  if (this->asking) return;
  this->asking = true;
  const TimePoint now = this->gateway.loop.Now();
  this->gateway.probe.Ask(
      this->target.address, now - kReportLives, this->gateway.Askers(),
      [self = this->shared_from_this(),
       asked_of = this->call](const ProbeAnswer& answer) {
        self->asking = false;
        const bool same = !self->finished && self->call == asked_of;
        if (same) self->OnFirstEngine(answer);
      });
  if (!this->gateway.AsksWholePaths(now)) return;
  const TimePoint since =
      this->last_data + this->Patience() * kSignAfterPercent / kPercent;
  auto doubted = endpoints::EnginesWithoutEvidence(
      this->target.stages, since, this->gateway.SignsBeside(*this));
  std::erase_if(doubted, [this](const pipeline::Stage& stage) {
    return stage.endpoint == this->target.endpoint;
  });
  this->gateway.Doubt(doubted, since);
}

/// The first engine of the path has said why no event came, or nothing.
void ProxiedRequest::OnFirstEngine(const ProbeAnswer& answer) {
  const Duration silent = this->gateway.loop.Now() - this->last_data;
  if (silent < this->Patience()) {
    this->WatchSilence(this->Patience() - silent);
    return;
  }
  if (!answer.alive) {
    this->NoteSilentAt(this->target.address);
    this->GoAround();
    return;
  }
  if (answer.report) {
    for (const StalledAnswer& one : answer.report->stalled) {
      this->NoteSilentAt(one.address);
    }
  }
  if (this->changing_path) return;
  if (this->HasSilentEngine()) {
    this->GoAround();
    return;
  }
  if (silent > kLongSilence) {
    this->TryElsewhere("silent");
    return;
  }
  this->WatchSilence(kAskAgain * (1 << this->asked_again));
  this->asked_again = std::min(this->asked_again + 1, kMostAskDoublings);
}

/// Takes the engine at \p address as silent, which leads the answers around it
/// that have stopped, this one too.
void ProxiedRequest::NoteSilentAt(const std::string& address) {
  const auto stages = this->target.stages;
  for (const pipeline::Stage& stage : stages) {
    if (stage.address == address) this->gateway.NoteSilent(stage.endpoint);
  }
}

/// Goes on with the answer without the engine that is silent. It begins anew on
/// another path where that is allowed: all answers of a path stop together, and
/// one stand-in would have to read them all, while other paths share the work.
void ProxiedRequest::GoAround() {
  ++this->gateway.counters.stalls;
  const TimePoint now = this->gateway.loop.Now();
  const bool first_silent =
      this->gateway.state.loads.IsUnresponsive(this->target.endpoint, now);
  const bool resume_first = this->gateway.settings.mechanisms.resume_first;
  if (first_silent || (resume_first && this->HasPlaceElsewhere())) {
    this->TryElsewhere("engine_silent");
    return;
  }
  this->Repath();
}

bool ProxiedRequest::HasPlaceElsewhere() {
  return attempts::MayRetry(*this->what.route, this->tries,
                            AttemptOutcome::kUnknown) &&
         this->gateway.budget.HasExtra(this->what.service->name,
                                       this->gateway.loop.Now()) &&
         this->Choose().has_value();
}

/// Ends the try under way if there is another place; a silent endpoint may
/// still answer, and is better than none.
void ProxiedRequest::TryElsewhere(std::string_view why) {
  if (!this->HasPlaceElsewhere()) {
    this->WatchSilence(kPlaceLook);
    return;
  }
  this->EndTry(AttemptOutcome::kUnknown, why);
}

/// Leads the answer around the engines that are silent. The engines that stay
/// keep what they hold of it, so only the new ones read it again.
void ProxiedRequest::Repath() {
  const auto next = this->ChoosePath(this->target.stages);
  if (!next) {
    this->TryElsewhere("no_way_around");
    return;
  }
  this->changing_path = true;
  http::Request order =
      this->gateway.calls.repath(RerouteOrder{this->request_id, next->stages});
  order.headers.Set(this->gateway.names.expected_endpoint,
                    this->target.endpoint);
  http::Fetch(this->gateway.loop, this->gateway.client, this->target.address,
              order, kRepathTimeout,
              [self = this->shared_from_this(), asked_of = this->call,
               stages = next->stages](const http::CallResult& result,
                                      const http::ResponseHead& head,
                                      const std::string& body) {
                self->changing_path = false;
                const bool same = !self->finished && self->call == asked_of;
                const bool whole = result.end == http::CallEnd::kComplete;
                if (same) {
                  self->OnRepathed(stages, whole ? head.status : 0, body);
                }
              });
}

void ProxiedRequest::OnRepathed(const std::vector<pipeline::Stage>& stages,
                                int status, const std::string& body) {
  const TimePoint now = this->gateway.loop.Now();
  const std::string fault = this->gateway.calls.repath_fault(body);
  this->Log(Level::kNotable, "repathed",
            Fields()
                .Text("endpoint", this->target.endpoint)
                .Count("status", status)
                .Text("at_fault", fault)
                .Millis("silent_ms", now - this->last_data));
  constexpr int kRefused = 400;
  if (status == 0 || status >= kRefused) {
    this->OnRepathRefused(stages, fault);
    return;
  }
  ++this->gateway.counters.rerouted;
  this->ReleaseLoad();
  this->target.stages = stages;
  this->CountLoad();
  this->asked_again = 0;
  // The new engines read the answer so far before the next event.
  this->WatchSilence(this->what.route->pause_objective);
}

/// Tries another way around, without the engine that has no room or has lost
/// its part, while the answer's caller still waits.
void ProxiedRequest::OnRepathRefused(const std::vector<pipeline::Stage>& stages,
                                     const std::string& fault) {
  bool named = false;
  for (const pipeline::Stage& stage : stages) {
    if (stage.address != fault || stage.endpoint == this->target.endpoint) {
      continue;
    }
    named = true;
    this->excluded.insert(stage.endpoint);
    this->NoteRefusal(stage.endpoint, this->RoomUsed(stage.endpoint) > kFull);
  }
  if (named && ++this->refused_changes <= kMostRefusedChanges) {
    this->Repath();
    return;
  }
  this->TryElsewhere("repath_refused");
}

}  // namespace toucanwharf::instance
