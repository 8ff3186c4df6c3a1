#include "toucanwharf/daemon/answer_runner.h"

#include <cassert>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "toucanwharf/daemon/engine_protocol.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/timeline/event.h"

namespace toucanwharf::daemon {
namespace {

using transport::CallEnd;
using transport::HttpCall;
using transport::HttpOutcome;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kCancelTimeout = std::chrono::seconds(2);

bool IsRefusal(const HttpOutcome& outcome) {
  const bool refused =
      outcome.status == kConflict || outcome.status == kTooManyRequests;
  return refused && ReportsNotRun(outcome.body);
}

/// "e1[0,16) e2[16,32) from token 4".
std::string PlanText(const pipeline::StartAttempt& start) {
  std::string text;
  for (const pipeline::Stage& stage : start.plan.stages) {
    absl::StrAppend(&text, stage.endpoint, "[", stage.layers.begin, ",",
                    stage.layers.end, ") ");
  }
  absl::StrAppend(&text, "from token ", start.first_index);
  return text;
}

pipeline::Event EndEvent(std::uint32_t attempt, const HttpOutcome& outcome) {
  if (outcome.end == CallEnd::kAnswered) {
    if (outcome.status == kOk) return pipeline::StreamEnded{attempt};
    if (IsRefusal(outcome)) {
      return pipeline::AttemptRefused{attempt, std::nullopt};
    }
  }
  pipeline::StreamFailed failure;
  failure.attempt = attempt;
  if (!outcome.sent) {
    failure.fault = pipeline::StreamFault::kConnectFailed;
    failure.ran = pipeline::Ran::kNo;
  }
  return failure;
}

}  // namespace

/// One answer under way.
struct AnswerRunner::ActiveAnswer {
  AnswerJob job;
  AnswerHandlers handlers;
  pipeline::AnswerStateMachine machine;
  // Events wait here while the actions of an earlier one are carried out, so
  // that an action which answers itself does not reenter the machine.
  std::deque<pipeline::Event> events;
  bool draining = false;
  bool closed = false;
  std::uint32_t stream_attempt = 0;
  transport::CallId stream = 0;
  transport::EventStreamParser parser;
  transport::TimerId timer = 0;
  /// The plan that came with the answer's turn.
  std::optional<pipeline::Plan> first_plan;
  std::optional<pipeline::Plan> plan;
  TimePoint began;
  std::optional<TimePoint> last_token;

  ActiveAnswer(AnswerJob new_job, AnswerHandlers new_handlers, TimePoint now)
      : job(std::move(new_job)),
        handlers(std::move(new_handlers)),
        machine(this->job.request),
        began(now) {}
};

AnswerRunner::AnswerRunner(transport::EventLoop& loop,
                           transport::HttpClient& client, AnswerAdmission& gate,
                           Metrics& metrics, timeline::Buffer& events)
    : loop(loop),
      client(client),
      gate(gate),
      metrics(metrics),
      events(events) {}

AnswerRunner::~AnswerRunner() = default;

void AnswerRunner::Start(AnswerJob job, AnswerHandlers handlers) {
  const std::string id = job.request.id;
  assert(!this->running.contains(id) && "an answer runs once at a time");
  const TimePoint now = this->loop.Now();
  const auto run =
      std::make_shared<ActiveAnswer>(std::move(job), std::move(handlers), now);
  this->running.emplace(id, run);
  this->metrics.Count("toucanwharf_answers_total");
  AdmissionHandlers turn;
  turn.on_plan = [this, run](const pipeline::Plan& plan) {
    this->Begin(run, plan);
  };
  turn.on_refuse = [this, run](const admission::Refusal& refusal) {
    this->Refuse(run, refusal);
  };
  this->gate.Offer(run->job.request, run->job.customer, std::move(turn));
}

void AnswerRunner::Begin(const Run& run, const pipeline::Plan& plan) {
  run->first_plan = plan;
  run->plan = plan;
  const pipeline::Actions actions = run->machine.Start(this->loop.Now());
  run->draining = true;
  this->PerformAll(run, actions);
  run->draining = false;
  this->Drain(run);
}

void AnswerRunner::Refuse(const Run& run, const admission::Refusal& refusal) {
  this->Note(timeline::EventKind::kAnswerFailed, run, "",
             std::string(admission::RemedyOf(refusal.reason)));
  this->Close(run);
  run->handlers.on_refuse(refusal);
}

void AnswerRunner::Abandon(const std::string& id) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  const Run run = found->second;
  if (this->gate.Cancel(id)) {
    this->Refuse(run, {id, admission::RefusalReason::kDeadline, Duration(0)});
    return;
  }
  this->Feed(run, pipeline::CallerDisconnected{});
}

void AnswerRunner::Feed(const Run& run, pipeline::Event event) {
  run->events.push_back(std::move(event));
  this->Drain(run);
}

void AnswerRunner::Drain(const Run& run) {
  if (run->draining) return;
  run->draining = true;
  while (!run->events.empty()) {
    const pipeline::Event event = std::move(run->events.front());
    run->events.pop_front();
    const auto actions = run->machine.Handle(this->loop.Now(), event);
    this->PerformAll(run, actions);
  }
  run->draining = false;
  if (run->machine.Done()) this->Close(run);
}

void AnswerRunner::PerformAll(const Run& run,
                              const pipeline::Actions& actions) {
  for (const pipeline::Action& action : actions) {
    std::visit([&](const auto& wanted) { this->Perform(run, wanted); }, action);
  }
}

void AnswerRunner::Close(const Run& run) {
  if (run->closed) return;
  run->closed = true;
  this->loop.CancelTimer(run->timer);
  this->client.Cancel(run->stream);
  this->running.erase(run->job.request.id);
}

void AnswerRunner::Note(timeline::EventKind kind, const Run& run,
                        const std::string& endpoint, std::string reason) {
  timeline::EventDetails details;
  details.kind = kind;
  details.request = run->job.request.id;
  details.endpoint = endpoint;
  details.attempt = run->machine.Attempt();
  details.reason = std::move(reason);
  this->events.Add(WallMillis(), std::move(details));
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::RequestPlan& action) {
  pipeline::PlanQuery query;
  query.model = run->job.request.model;
  query.layers = run->job.request.layers;
  query.prompt_tokens = action.prompt_tokens;
  query.output_tokens = action.output_tokens;
  query.excluded = action.excluded;
  if (run->first_plan) {
    run->events.push_back(
        pipeline::PlanReady{action.attempt, *run->first_plan});
    run->first_plan.reset();
    return;
  }
  const auto plan = this->gate.Replan(query);
  if (plan) {
    run->events.push_back(pipeline::PlanReady{action.attempt, plan.value()});
    return;
  }
  run->events.push_back(pipeline::PlanFailed{action.attempt, plan.error()});
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::StartAttempt& action) {
  this->client.Cancel(run->stream);
  run->parser = transport::EventStreamParser();
  run->stream_attempt = action.attempt;
  run->plan = action.plan;
  this->gate.RecordPlan(run->job.request.id, action.plan);
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + action.plan.stages.front().address + "/v1/generate";
  call.headers = {{"Content-Type", "application/json"}};
  call.body =
      GenerateBody(run->job.request, run->job.prompt, run->job.seed, action);
  call.connect_timeout = kConnectTimeout;
  // The machine's own timer watches progress.
  call.total_timeout = Duration(0);
  if (action.fresh_connection) call.reuse = transport::Reuse::kNever;
  this->Note(timeline::EventKind::kAttemptStarted, run,
             action.plan.stages.front().endpoint, PlanText(action));
  const std::uint32_t attempt = action.attempt;
  transport::CallHandlers handlers;
  handlers.on_data = [this, run, attempt](std::string_view bytes) {
    this->TakeData(run, attempt, bytes);
  };
  handlers.on_done = [this, run, attempt](const HttpOutcome& outcome) {
    this->TakeEnd(run, attempt, outcome);
  };
  run->stream = this->client.Start(std::move(call), std::move(handlers));
}

void AnswerRunner::TakeData(const Run& run, std::uint32_t attempt,
                            std::string_view bytes) {
  if (run->closed || run->stream_attempt != attempt) return;
  for (const std::string& data : run->parser.Feed(bytes)) {
    this->Feed(run, ParseEngineEvent(attempt, data));
    if (run->closed || run->stream_attempt != attempt) return;
  }
}

void AnswerRunner::TakeEnd(const Run& run, std::uint32_t attempt,
                           const HttpOutcome& outcome) {
  if (run->closed || run->stream_attempt != attempt) return;
  run->stream = 0;
  if (IsRefusal(outcome) && run->plan) {
    this->gate.RecordEndpointRefusal(run->job.request.id,
                                     run->plan->stages.front().endpoint);
  }
  this->Feed(run, EndEvent(attempt, outcome));
}

void AnswerRunner::Perform(const Run& run, const pipeline::EmitToken& action) {
  const TimePoint now = this->loop.Now();
  if (run->last_token) {
    this->metrics.Observe("toucanwharf_token_gap_seconds",
                          now - *run->last_token);
  } else {
    this->metrics.Observe("toucanwharf_first_token_seconds", now - run->began);
  }
  run->last_token = now;
  this->metrics.Count("toucanwharf_tokens_total");
  run->handlers.on_token(action);
}

void AnswerRunner::Perform(const Run& run, const pipeline::Cancel& action) {
  if (run->stream_attempt == action.attempt) {
    this->client.Cancel(run->stream);
    run->stream = 0;
  }
  for (const pipeline::Stage& stage : action.plan.stages) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + stage.address + "/v1/cancel";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = CancelBody(run->job.request.id, action.attempt);
    call.total_timeout = kCancelTimeout;
    this->client.Start(std::move(call),
                       {nullptr, [](const HttpOutcome& /*outcome*/) {}});
  }
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::ProbeStages& action) {
  for (const pipeline::Stage& stage : action.stages) {
    HttpCall call;
    call.url = "http://" + stage.address + "/v1/status";
    call.reuse = transport::Reuse::kNever;
    call.total_timeout =
        std::max(action.deadline - this->loop.Now(), Duration(1000));
    call.connect_timeout = call.total_timeout;
    const auto on_done = [this, run, attempt = action.attempt,
                          endpoint =
                              stage.endpoint](const HttpOutcome& outcome) {
      if (run->closed) return;
      const bool alive =
          outcome.end == CallEnd::kAnswered && outcome.status == kOk;
      this->Feed(run, pipeline::ProbeCompleted{attempt, endpoint, alive});
    };
    this->client.Start(std::move(call), {nullptr, on_done});
  }
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::SuspectConnection& action) {
  this->Note(timeline::EventKind::kConnectionSuspected, run, action.endpoint,
             "silent while a fresh connection works");
  this->metrics.Count("toucanwharf_suspect_connections_total");
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::SuspectEndpoint& action) {
  this->Note(timeline::EventKind::kStageLost, run, action.endpoint,
             "a fresh connection failed too, or its neighbour lost it");
  this->metrics.Count("toucanwharf_suspect_endpoints_total");
  this->gate.RecordEndpointFailure(run->job.request.id, action.endpoint);
}

void AnswerRunner::Perform(const Run& run, const pipeline::ArmTimer& action) {
  this->loop.CancelTimer(run->timer);
  const Duration wait = std::max(action.at - this->loop.Now(), Duration(0));
  run->timer = this->loop.After(
      wait, [this, run] { this->Feed(run, pipeline::TimerFired{}); });
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::RecordRecovery& action) {
  this->Note(timeline::EventKind::kAnswerResumed, run, "",
             absl::StrCat("noticed in ", action.detection.count(),
                          " us, replanned in ", action.replanning.count(),
                          " us, resumed in ", action.resuming.count(), " us"));
  this->metrics.Count("toucanwharf_recoveries_total");
  this->metrics.Observe("toucanwharf_recovery_noticing_seconds",
                        action.detection);
  this->metrics.Observe("toucanwharf_recovery_replanning_seconds",
                        action.replanning);
  this->metrics.Observe("toucanwharf_recovery_resuming_seconds",
                        action.resuming);
}

void AnswerRunner::Perform(const Run& run, const pipeline::Finish& action) {
  this->metrics.Count("toucanwharf_answers_finished_total");
  this->Note(timeline::EventKind::kAnswerFinished, run, "",
             absl::StrCat(action.tokens, " tokens"));
  this->Close(run);
  run->handlers.on_finish(action);
  this->gate.RecordEnd(run->job.request.id, true, action.tokens);
}

void AnswerRunner::Perform(const Run& run, const pipeline::Fail& action) {
  this->metrics.Count("toucanwharf_answers_failed_total");
  this->Note(timeline::EventKind::kAnswerFailed, run, "",
             action.error.message());
  this->Close(run);
  run->handlers.on_fail(action);
  const auto emitted = static_cast<std::uint32_t>(run->machine.Tokens().size());
  this->gate.RecordEnd(run->job.request.id, false, emitted);
}

}  // namespace toucanwharf::daemon
