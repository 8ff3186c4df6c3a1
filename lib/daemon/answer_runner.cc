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

/// One answer, queued or running.
struct AnswerRunner::ActiveAnswer {
  AnswerJob job;
  AnswerHandlers handlers;
  pipeline::AnswerStateMachine machine;
  // Queues events while the actions of an earlier one are performed, so that an
  // action that completes synchronously does not reenter the state machine.
  std::deque<pipeline::Event> events;
  bool processing = false;
  bool closed = false;
  std::uint32_t stream_attempt = 0;
  transport::CallId stream = 0;
  transport::EventStreamParser parser;
  transport::TimerId timer = 0;
  /// The plan made at admission, until the first RequestPlan uses it.
  std::optional<pipeline::Plan> first_plan;
  std::optional<pipeline::Plan> plan;
  TimePoint start;
  std::optional<TimePoint> last_token;

  ActiveAnswer(AnswerJob new_job, AnswerHandlers new_handlers, TimePoint now)
      : job(std::move(new_job)),
        handlers(std::move(new_handlers)),
        machine(this->job.request),
        start(now) {}
};

AnswerRunner::AnswerRunner(transport::EventLoop& loop,
                           transport::HttpClient& client,
                           AnswerAdmission& answer_admission, Metrics& metrics,
                           timeline::Buffer& events)
    : loop(loop),
      client(client),
      answer_admission(answer_admission),
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
  AdmissionHandlers admission_handlers;
  admission_handlers.on_plan = [this, run](const pipeline::Plan& plan) {
    this->Begin(run, plan);
  };
  admission_handlers.on_refuse = [this,
                                  run](const admission::Refusal& refusal) {
    this->Refuse(run, refusal);
  };
  this->answer_admission.Offer(run->job.request, run->job.customer,
                               std::move(admission_handlers));
}

void AnswerRunner::Begin(const Run& run, const pipeline::Plan& plan) {
  run->first_plan = plan;
  run->plan = plan;
  const pipeline::Actions actions = run->machine.Start(this->loop.Now());
  run->processing = true;
  this->PerformAll(run, actions);
  run->processing = false;
  this->ProcessEvents(run);
}

void AnswerRunner::Refuse(const Run& run, const admission::Refusal& refusal) {
  this->RecordEvent(timeline::EventKind::kAnswerFailed, run, "",
                    std::string(admission::RemedyOf(refusal.reason)));
  this->Close(run);
  run->handlers.on_refuse(refusal);
}

void AnswerRunner::Abandon(const std::string& id) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  const Run run = found->second;
  if (this->answer_admission.Cancel(id)) {
    this->Refuse(run, {id, admission::RefusalReason::kDeadline, Duration(0)});
    return;
  }
  this->Dispatch(run, pipeline::CallerDisconnected{});
}

void AnswerRunner::Dispatch(const Run& run, pipeline::Event event) {
  run->events.push_back(std::move(event));
  this->ProcessEvents(run);
}

void AnswerRunner::ProcessEvents(const Run& run) {
  if (run->processing) return;
  run->processing = true;
  while (!run->events.empty()) {
    const pipeline::Event event = std::move(run->events.front());
    run->events.pop_front();
    const auto actions = run->machine.Handle(this->loop.Now(), event);
    this->PerformAll(run, actions);
  }
  run->processing = false;
  if (run->machine.Done()) this->Close(run);
}

void AnswerRunner::PerformAll(const Run& run,
                              const pipeline::Actions& actions) {
  for (const pipeline::Action& action : actions) {
    std::visit(
        [&](const auto& typed_action) { this->Perform(run, typed_action); },
        action);
  }
}

void AnswerRunner::Close(const Run& run) {
  if (run->closed) return;
  run->closed = true;
  this->loop.CancelTimer(run->timer);
  this->client.Cancel(run->stream);
  this->running.erase(run->job.request.id);
}

void AnswerRunner::RecordEvent(timeline::EventKind kind, const Run& run,
                               const std::string& endpoint,
                               std::string reason) {
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
  const auto plan = this->answer_admission.Replan(query);
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
  this->answer_admission.RecordPlan(run->job.request.id, action.plan);
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + action.plan.stages.front().address + "/v1/generate";
  call.headers = {{"Content-Type", "application/json"}};
  call.body =
      GenerateBody(run->job.request, run->job.prompt, run->job.seed, action);
  call.connect_timeout = kConnectTimeout;
  // The state machine's timer detects missing progress.
  call.total_timeout = Duration(0);
  if (action.fresh_connection) call.reuse = transport::Reuse::kNever;
  this->RecordEvent(timeline::EventKind::kAttemptStarted, run,
                    action.plan.stages.front().endpoint, PlanText(action));
  const std::uint32_t attempt = action.attempt;
  transport::CallHandlers handlers;
  handlers.on_data = [this, run, attempt](std::string_view bytes) {
    this->OnStreamData(run, attempt, bytes);
  };
  handlers.on_done = [this, run, attempt](const HttpOutcome& outcome) {
    this->OnStreamEnd(run, attempt, outcome);
  };
  handlers.held_bytes = [run] { return run->parser.HeldBytes(); };
  run->stream = this->client.Start(std::move(call), std::move(handlers));
}

void AnswerRunner::OnStreamData(const Run& run, std::uint32_t attempt,
                                std::string_view bytes) {
  if (run->closed || run->stream_attempt != attempt) return;
  for (const std::string& data : run->parser.Feed(bytes)) {
    this->Dispatch(run, ParseEngineEvent(attempt, data));
    if (run->closed || run->stream_attempt != attempt) return;
  }
}

void AnswerRunner::OnStreamEnd(const Run& run, std::uint32_t attempt,
                               const HttpOutcome& outcome) {
  if (run->closed || run->stream_attempt != attempt) return;
  run->stream = 0;
  if (IsRefusal(outcome) && run->plan) {
    this->answer_admission.RecordEndpointRefusal(
        run->job.request.id, run->plan->stages.front().endpoint);
  }
  this->Dispatch(run, EndEvent(attempt, outcome));
}

void AnswerRunner::Perform(const Run& run, const pipeline::EmitToken& action) {
  const TimePoint now = this->loop.Now();
  if (run->last_token) {
    this->metrics.Observe("toucanwharf_token_gap_seconds",
                          now - *run->last_token);
  } else {
    this->metrics.Observe("toucanwharf_first_token_seconds", now - run->start);
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
    call.max_body_bytes = transport::kMaxReportBytes;
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
    call.max_body_bytes = transport::kMaxReportBytes;
    const auto on_done = [this, run, attempt = action.attempt,
                          endpoint =
                              stage.endpoint](const HttpOutcome& outcome) {
      if (run->closed) return;
      const bool alive =
          outcome.end == CallEnd::kAnswered && outcome.status == kOk;
      this->Dispatch(run, pipeline::ProbeCompleted{attempt, endpoint, alive});
    };
    this->client.Start(std::move(call), {nullptr, on_done});
  }
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::SuspectConnection& action) {
  this->RecordEvent(timeline::EventKind::kConnectionSuspected, run,
                    action.endpoint, "silent while a fresh connection works");
  this->metrics.Count("toucanwharf_suspect_connections_total");
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::SuspectEndpoint& action) {
  this->RecordEvent(timeline::EventKind::kStageLost, run, action.endpoint,
                    "a fresh connection failed too, or its neighbour lost it");
  this->metrics.Count("toucanwharf_suspect_endpoints_total");
  this->answer_admission.RecordEndpointFailure(run->job.request.id,
                                               action.endpoint);
}

void AnswerRunner::Perform(const Run& run, const pipeline::ArmTimer& action) {
  this->loop.CancelTimer(run->timer);
  const Duration wait = std::max(action.at - this->loop.Now(), Duration(0));
  run->timer = this->loop.After(
      wait, [this, run] { this->Dispatch(run, pipeline::TimerFired{}); });
}

void AnswerRunner::Perform(const Run& run,
                           const pipeline::RecordRecovery& action) {
  this->RecordEvent(
      timeline::EventKind::kAnswerResumed, run, "",
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
  this->RecordEvent(timeline::EventKind::kAnswerFinished, run, "",
                    absl::StrCat(action.tokens, " tokens"));
  this->Close(run);
  run->handlers.on_finish(action);
  this->answer_admission.RecordEnd(run->job.request.id, true, action.tokens);
}

void AnswerRunner::Perform(const Run& run, const pipeline::Fail& action) {
  this->metrics.Count("toucanwharf_answers_failed_total");
  this->RecordEvent(timeline::EventKind::kAnswerFailed, run, "",
                    action.error.message());
  this->Close(run);
  run->handlers.on_fail(action);
  const auto emitted = static_cast<std::uint32_t>(run->machine.Tokens().size());
  this->answer_admission.RecordEnd(run->job.request.id, false, emitted);
}

}  // namespace toucanwharf::daemon
