#ifndef TOUCANWHARF_DAEMON_ANSWER_RUNNER_H_
#define TOUCANWHARF_DAEMON_ANSWER_RUNNER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "toucanwharf/daemon/answer_admission.h"
#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/pipeline/answer.h"
#include "toucanwharf/pipeline/answer_state_machine.h"
#include "toucanwharf/timeline/buffer.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/event_stream.h"
#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::daemon {

/// One answer to run.
struct AnswerJob {
  pipeline::AnswerRequest request;
  std::string customer;
  std::string prompt;
  std::uint64_t seed = 0;

  friend bool operator==(const AnswerJob&, const AnswerJob&) = default;
};

/// Callbacks for an answer's tokens and its end, on the loop's thread. Exactly
/// one of on_finish, on_fail and on_refuse is called, last; on_refuse is then
/// the only call.
struct AnswerHandlers {
  std::function<void(const pipeline::EmitToken&)> on_token;
  std::function<void(const pipeline::Finish&)> on_finish;
  std::function<void(const pipeline::Fail&)> on_fail;
  /// Nothing of the answer was handed to any endpoint (I3).
  std::function<void(const admission::Refusal&)> on_refuse;
};

/// Runs answers: performs the actions of their state machines (plans, streams
/// to engines, probes and timers) and passes the results back as events.
/// Thread safety: none; for the loop's thread.
class AnswerRunner {
 public:
  /// Precondition: all references outlive the runner.
  AnswerRunner(transport::EventLoop& loop, transport::HttpClient& client,
               AnswerAdmission& answer_admission, Metrics& metrics,
               timeline::Buffer& events);
  ~AnswerRunner();
  AnswerRunner(const AnswerRunner&) = delete;
  AnswerRunner& operator=(const AnswerRunner&) = delete;

  /// Offers an answer to admission and starts it once admitted. Its first
  /// callback may run before this returns.
  /// Precondition: no answer with the same id is running.
  void Start(AnswerJob job, AnswerHandlers handlers);

  /// Ends the answer \p id because it has no reader left; without effect when
  /// it is not running.
  void Abandon(const std::string& id);

  /// Returns the number of answers queued or running.
  std::size_t Running() const { return this->running.size(); }

 private:
  struct ActiveAnswer;
  using Run = std::shared_ptr<ActiveAnswer>;

  void Begin(const Run& run, const pipeline::Plan& plan);
  void Refuse(const Run& run, const admission::Refusal& refusal);
  void Dispatch(const Run& run, pipeline::Event event);
  void ProcessEvents(const Run& run);
  void PerformAll(const Run& run, const pipeline::Actions& actions);
  void Perform(const Run& run, const pipeline::RequestPlan& action);
  void Perform(const Run& run, const pipeline::StartAttempt& action);
  void Perform(const Run& run, const pipeline::EmitToken& action);
  void Perform(const Run& run, const pipeline::Cancel& action);
  void Perform(const Run& run, const pipeline::ProbeStages& action);
  void Perform(const Run& run, const pipeline::SuspectConnection& action);
  void Perform(const Run& run, const pipeline::SuspectEndpoint& action);
  void Perform(const Run& run, const pipeline::ArmTimer& action);
  void Perform(const Run& run, const pipeline::RecordRecovery& action);
  void Perform(const Run& run, const pipeline::Finish& action);
  void Perform(const Run& run, const pipeline::Fail& action);

  void OnStreamData(const Run& run, std::uint32_t attempt,
                    std::string_view bytes);
  void OnStreamEnd(const Run& run, std::uint32_t attempt,
                   const transport::HttpOutcome& outcome);
  void Close(const Run& run);
  void RecordEvent(timeline::EventKind kind, const Run& run,
                   const std::string& endpoint, std::string reason);

  transport::EventLoop& loop;
  transport::HttpClient& client;
  AnswerAdmission& answer_admission;
  Metrics& metrics;
  timeline::Buffer& events;
  std::map<std::string, Run> running;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ANSWER_RUNNER_H_
