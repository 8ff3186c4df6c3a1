#ifndef TOUCANWHARF_PIPELINE_ANSWER_H_
#define TOUCANWHARF_PIPELINE_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/support/clock.h"

/// Events that the state machine of one answer handles, and the actions that
/// it returns. All are values; the daemon turns bytes and timers into events
/// and carries the actions out in the order given.
namespace toucanwharf::pipeline {

/// Whether a request ran, as reported to its caller.
enum class Ran { kNo, kUnknown, kPartly };

/// Returns the name of \p ran in the caller interface.
/// Thread safety: safe.
const char* RanName(Ran ran);

/// One request for an answer.
struct AnswerRequest {
  std::string id;
  PinnedModel model;
  std::uint32_t layers = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 1;
  /// By when the last token must have reached the caller.
  TimePoint deadline;
};

// ---- Events -----------------------------------------------------------------

/// The router received a token; its request and attempt need not be current.
struct TokenArrived {
  std::string request;
  std::uint32_t attempt = 0;
  std::uint32_t index = 0;
  std::string text;
  /// Layers that ran for this token, in order.
  std::vector<LayerRange> trace;
  bool last = false;
};

/// How a stream of an attempt failed.
enum class StreamFault {
  /// No connection could be made to the first stage's endpoint.
  kConnectFailed,
  /// The connection was reset or ended without the last token.
  kConnectionLost,
  /// The first stage's endpoint reports the loss of a later stage.
  kStageLost,
  /// The endpoint sent data that violates the protocol.
  kMalformed,
};

/// The stream of \p attempt failed.
struct StreamFailed {
  std::uint32_t attempt = 0;
  StreamFault fault = StreamFault::kConnectionLost;
  /// Position of the lost stage in the plan; only with kStageLost.
  std::optional<std::size_t> stage;
  /// Whether the attempt may have run: kNo only if no byte of it was sent.
  Ran ran = Ran::kUnknown;
};

/// The stream of \p attempt ended without an error; a fault unless the last
/// token was received before.
struct StreamEnded {
  std::uint32_t attempt = 0;
};

/// The first stage's endpoint refused \p attempt before anything ran.
struct AttemptRefused {
  std::uint32_t attempt = 0;
  /// Position of the stage that refused, if reported.
  std::optional<std::size_t> stage;
};

/// The timer set by `ArmTimer` expired.
struct TimerFired {};

/// The caller closed its connection and did not ask to keep the answer running.
struct CallerDisconnected {};

/// The plan in response to `RequestPlan`.
struct PlanReady {
  std::uint32_t attempt = 0;
  Plan plan;
};

/// No plan satisfies `RequestPlan`.
struct PlanFailed {
  std::uint32_t attempt = 0;
  std::error_code error;
};

/// The result of one liveness probe of `ProbeStages`.
struct ProbeCompleted {
  std::uint32_t attempt = 0;
  std::string endpoint;
  /// Whether it answered on a fresh connection within the deadline.
  bool alive = false;
};

using Event = std::variant<TokenArrived, StreamFailed, StreamEnded,
                           AttemptRefused, TimerFired, CallerDisconnected,
                           PlanReady, PlanFailed, ProbeCompleted>;

// ---- Actions ----------------------------------------------------------------

/// Plan attempt \p attempt without the endpoints in \p excluded; respond with
/// PlanReady or PlanFailed.
struct RequestPlan {
  std::uint32_t attempt = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::set<std::string> excluded;

  friend bool operator==(const RequestPlan&, const RequestPlan&) = default;
};

/// A KV cache that stage `to` may copy from stage `from` instead of a prefill.
struct KvImport {
  Stage from;
  Stage to;

  friend bool operator==(const KvImport&, const KvImport&) = default;
};

/// Start \p attempt on \p plan. The engine receives the prompt, the tokens so
/// far and the sampling seed, which is the same for every attempt, and resumes
/// at `first_index`.
struct StartAttempt {
  std::uint32_t attempt = 0;
  Plan plan;
  std::uint32_t first_index = 0;
  std::vector<std::string> tokens;
  /// Whether the attempt must use a newly opened connection.
  bool fresh_connection = false;
  /// Optional: skip an import that fails or that takes longer than the first
  /// token would without it.
  std::vector<KvImport> imports;

  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

/// Send the token to the caller, and retain it for a resume.
struct EmitToken {
  std::uint32_t index = 0;
  std::string text;

  friend bool operator==(const EmitToken&, const EmitToken&) = default;
};

/// Close the attempt's stream and cancel it at all stages of its plan.
struct Cancel {
  std::uint32_t attempt = 0;
  Plan plan;

  friend bool operator==(const Cancel&, const Cancel&) = default;
};

/// Request the status of each stage's endpoint over a new connection; report
/// each with ProbeCompleted, no later than \p deadline.
struct ProbeStages {
  std::uint32_t attempt = 0;
  std::vector<Stage> stages;
  TimePoint deadline;

  friend bool operator==(const ProbeStages&, const ProbeStages&) = default;
};

/// A connection to the endpoint stalled while a new one works: close the idle
/// connections of the same age, since the same cause may affect them.
struct SuspectConnection {
  std::string endpoint;

  friend bool operator==(const SuspectConnection&,
                         const SuspectConnection&) = default;
};

/// A new connection to the endpoint or its probe failed, or another stage
/// reported its loss: count a failure of the endpoint.
struct SuspectEndpoint {
  std::string endpoint;

  friend bool operator==(const SuspectEndpoint&,
                         const SuspectEndpoint&) = default;
};

/// Send TimerFired at \p at; replaces the previously armed timer.
struct ArmTimer {
  TimePoint at;

  friend bool operator==(const ArmTimer&, const ArmTimer&) = default;
};

/// Record the durations of a recovery on the time line, once its first token is
/// emitted.
struct RecordRecovery {
  std::uint32_t attempt = 0;
  /// From the last progress before the fault to its detection.
  Duration detection{0};
  /// From there to the start of the attempt that made progress, including
  /// failed attempts in between.
  Duration replanning{0};
  /// From there to the next token.
  Duration resuming{0};

  friend bool operator==(const RecordRecovery&,
                         const RecordRecovery&) = default;
};

/// The answer is complete. No action follows.
struct Finish {
  std::uint32_t tokens = 0;

  friend bool operator==(const Finish&, const Finish&) = default;
};

/// The answer failed; report it to the caller immediately. No action follows.
struct Fail {
  Ran ran = Ran::kUnknown;
  std::error_code error;

  friend bool operator==(const Fail&, const Fail&) = default;
};

using Action = std::variant<RequestPlan, StartAttempt, EmitToken, Cancel,
                            ProbeStages, SuspectConnection, SuspectEndpoint,
                            ArmTimer, RecordRecovery, Finish, Fail>;
using Actions = std::vector<Action>;

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_ANSWER_H_
