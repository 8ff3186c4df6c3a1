#include <algorithm>
#include <string>
#include <utility>

#include "passage.h"

namespace toucanwharf::instance {
namespace {

using attempts::TryEnd;
using eventlog::Fields;
using eventlog::Level;

/// An engine that fell silent gets nothing new for this long; by then it has
/// been asked for its report, and is left out if it gave none.
constexpr Duration kBrokenFor = std::chrono::milliseconds(1000);
/// Silence before an answer's first event after which its engine is asked why:
/// queueing, prefill and a few steps take 60 ms on a path that works.
constexpr Duration kFirstEventSilence = std::chrono::milliseconds(400);
/// Silence between two events. Usual gaps are 30 to 60 ms, and callers count
/// a pause above 200 ms as late.
constexpr Duration kEventSilence = std::chrono::milliseconds(150);
/// An engine's report is some hundred milliseconds old, so the first question
/// may come too early. Each further one waits twice as long: under overload
/// every answer is silent for a while, and a question costs the engine a probe.
constexpr Duration kAskAgain = std::chrono::milliseconds(70);
constexpr int kMostAskDoublings = 3;
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
constexpr Duration kRepathTimeout = std::chrono::milliseconds(200);
/// An idempotent request without any answer for so long is tried elsewhere.
constexpr Duration kPlainSilence = std::chrono::milliseconds(400);

}  // namespace

/// Part of the answer is out, and nowhere is room for the rest of it yet. The
/// caller waits for the next event anyway, so the answer is given up only when
/// the caller would be gone.
void Passage::AwaitPlace(TryEnd end, std::string_view why) {
  const TimePoint now = this->gateway.loop.Now();
  if (now - this->last_data > kCallersPatience) {
    ++this->gateway.counters.broken_off;
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

Duration Passage::Patience() const {
  if (!this->IsStream()) return kPlainSilence;
  return this->any_event ? kEventSilence : kFirstEventSilence;
}

void Passage::WatchSilence(Duration delay) {
  if (!this->what.route->Repeatable()) return;
  this->gateway.loop.Cancel(this->silence_timer);
  this->silence_timer =
      this->gateway.loop.After(delay, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) self->OnSilence();
      });
}

void Passage::OnSilence() {
  if (this->finished || this->call == 0 || this->asking) return;
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
  this->asking = true;
  this->gateway.AskReport(
      this->target.address,
      [self = this->shared_from_this(),
       asked_of = this->call](const std::optional<EndpointReport>& report) {
        self->asking = false;
        const bool same = !self->finished && self->call == asked_of;
        if (same) self->OnReport(report);
      });
}

/// The first engine of the path has said why no event came, or nothing.
void Passage::OnReport(const std::optional<EndpointReport>& report) {
  const Duration silent = this->gateway.loop.Now() - this->last_data;
  if (silent < this->Patience()) {
    this->WatchSilence(this->Patience() - silent);
    return;
  }
  if (!report) {
    ++this->gateway.counters.stalls;
    this->SuspectAt(this->target.address);
    this->TryElsewhere("first_engine_silent");
    return;
  }
  bool named = false;
  for (const StalledAnswer& one : report->stalled) {
    this->SuspectAt(one.address);
    named = named || one.request_id == this->request_id;
  }
  if (named) {
    ++this->gateway.counters.stalls;
    this->Repath();
    return;
  }
  if (silent > kLongSilence) {
    this->TryElsewhere("silent");
    return;
  }
  this->WatchSilence(kAskAgain * (1 << this->asked_again));
  this->asked_again = std::min(this->asked_again + 1, kMostAskDoublings);
}

void Passage::SuspectAt(const std::string& address) {
  const TimePoint until = this->gateway.loop.Now() + kBrokenFor;
  for (const pipeline::Stage& stage : this->target.stages) {
    if (stage.address != address) continue;
    this->gateway.beliefs.loads.Suspect(stage.endpoint, until);
  }
}

/// Ends the try under way if there is another place; a silent endpoint may
/// still answer, and is better than none.
void Passage::TryElsewhere(std::string_view why) {
  const bool place =
      attempts::MayTryAgain(*this->what.route, this->tries, TryEnd::kUnknown) &&
      this->Choose().has_value();
  if (!place) {
    this->WatchSilence(kPlaceLook);
    return;
  }
  this->EndTry(TryEnd::kUnknown, why);
}

/// Leads the answer around the engines that are suspected. The engines that
/// stay keep what they hold of it, so only the new ones read it again.
void Passage::Repath() {
  const auto next = this->ChoosePath(this->target.stages.front());
  if (!next) {
    this->TryElsewhere("no_way_around");
    return;
  }
  this->asking = true;
  http::Request order =
      this->gateway.calls.repath(RepathOrder{this->request_id, next->stages});
  order.headers.Set(this->gateway.names.expected_endpoint,
                    this->target.endpoint);
  http::Fetch(this->gateway.loop, this->gateway.client, this->target.address,
              order, kRepathTimeout,
              [self = this->shared_from_this(), asked_of = this->call,
               stages = next->stages](const http::CallResult& result,
                                      const http::ResponseHead& head,
                                      const std::string&) {
                self->asking = false;
                const bool same = !self->finished && self->call == asked_of;
                const bool whole = result.end == http::CallEnd::kComplete;
                if (same) self->OnRepathed(stages, whole ? head.status : 0);
              });
}

void Passage::OnRepathed(const std::vector<pipeline::Stage>& stages,
                         int status) {
  const TimePoint now = this->gateway.loop.Now();
  this->Log(Level::kNotable, "repathed",
            Fields()
                .Text("endpoint", this->target.endpoint)
                .Count("status", status)
                .Millis("silent_ms", now - this->last_data));
  constexpr int kRefused = 400;
  if (status == 0 || status >= kRefused) {
    this->TryElsewhere("repath_refused");
    return;
  }
  ++this->gateway.counters.repathed;
  this->ReleaseLoad();
  this->target.stages = stages;
  this->CountLoad();
  // The new engines read the answer so far before the next event.
  this->WatchSilence(kFirstEventSilence);
}

}  // namespace toucanwharf::instance
