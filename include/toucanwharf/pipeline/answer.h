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

/// What one answer's state machine is told and what it asks for. All are
/// values; the daemon turns bytes and timers into events and carries the
/// actions out in the order given.
namespace toucanwharf::pipeline {

/// Whether a request ran, as its caller is told.
enum class Ran { kNo, kUnknown, kPartly };

/// Returns the word of the caller interface for \p ran.
/// Thread safety: safe.
const char* RanName(Ran ran);

/// One request for an answer.
struct AnswerRequest {
  std::string id;
  PinnedModel model;
  std::uint32_t layers = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 1;
  /// When the whole answer must have been given.
  TimePoint deadline;
};

// ---- Events -----------------------------------------------------------------

/// A token of some attempt of some request reached the router.
struct TokenArrived {
  std::string request;
  std::uint32_t attempt = 0;
  std::uint32_t index = 0;
  std::string text;
  /// Layers that ran, in order.
  std::vector<LayerRange> trace;
  bool last = false;
};

/// How a stream of an attempt broke.
enum class StreamFault {
  /// No connection could be made to the first stage's endpoint.
  kConnectFailed,
  /// The connection was reset or ended without the last token.
  kConnectionLost,
  /// The first stage's endpoint says that a later stage is lost.
  kStageLost,
  /// The endpoint sent what can't be read as the protocol.
  kMalformed,
};

/// The stream of \p attempt failed.
struct StreamFailed {
  std::uint32_t attempt = 0;
  StreamFault fault = StreamFault::kConnectionLost;
  /// Position of the lost stage in the plan; only with kStageLost.
  std::optional<std::size_t> stage;
  /// What the fault leaves open: kNo only if no byte of the attempt was sent.
  Ran ran = Ran::kUnknown;
};

/// The stream of \p attempt ended in good order; a fault unless the last
/// token came before.
struct StreamEnded {
  std::uint32_t attempt = 0;
};

/// The first stage's endpoint refused \p attempt before anything ran.
struct AttemptRefused {
  std::uint32_t attempt = 0;
  /// Position of the stage that refused, if it said.
  std::optional<std::size_t> stage;
};

/// The time of an `ArmTimer` came.
struct TimerFired {};

/// The caller closed its connection and did not ask for the answer to go on.
struct CallerDisconnected {};

/// The plan that `RequestPlan` asked for.
struct PlanReady {
  std::uint32_t attempt = 0;
  Plan plan;
};

/// There is no plan for what `RequestPlan` asked.
struct PlanFailed {
  std::uint32_t attempt = 0;
  std::error_code error;
};

/// The outcome of one probe of `ProbeStages`.
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

/// Plan attempt \p attempt without the endpoints in \p excluded and answer
/// with PlanReady or PlanFailed.
struct RequestPlan {
  std::uint32_t attempt = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::set<std::string> excluded;

  friend bool operator==(const RequestPlan&, const RequestPlan&) = default;
};

/// Copy of the KV cache that a new stage may start from.
struct KvImport {
  Stage from;
  Stage to;

  friend bool operator==(const KvImport&, const KvImport&) = default;
};

/// Start \p attempt on \p plan. The engine gets the prompt, the tokens so far
/// and the same sampling seed as every attempt, and goes on at `first_index`.
struct StartAttempt {
  std::uint32_t attempt = 0;
  Plan plan;
  std::uint32_t first_index = 0;
  std::vector<std::string> tokens;
  /// Whether only a connection opened for this attempt will do.
  bool fresh_connection = false;
  /// May be skipped when one fails or takes longer than the first token would.
  std::vector<KvImport> imports;

  friend bool operator==(const StartAttempt&, const StartAttempt&) = default;
};

/// Hand the token out to the caller, and keep it for a resume.
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

/// Ask each stage's endpoint for its status on a fresh connection; answer each
/// with ProbeCompleted, at the latest at \p deadline.
struct ProbeStages {
  std::uint32_t attempt = 0;
  std::vector<Stage> stages;
  TimePoint deadline;

  friend bool operator==(const ProbeStages&, const ProbeStages&) = default;
};

/// A connection to the endpoint went silent while a fresh one works: drop the
/// idle connections of the same age, which the same cause may have hit.
struct SuspectConnection {
  std::string endpoint;

  friend bool operator==(const SuspectConnection&,
                         const SuspectConnection&) = default;
};

/// A fresh connection to the endpoint failed too, or its neighbour lost it:
/// count it against the endpoint.
struct SuspectEndpoint {
  std::string endpoint;

  friend bool operator==(const SuspectEndpoint&,
                         const SuspectEndpoint&) = default;
};

/// Send TimerFired at \p at; replaces the timer armed before.
struct ArmTimer {
  TimePoint at;

  friend bool operator==(const ArmTimer&, const ArmTimer&) = default;
};

/// What a recovery took, once its first token is handed out; for the time line.
struct RecordRecovery {
  std::uint32_t attempt = 0;
  /// Last progress before the fault to the moment it was noticed.
  Duration detection{0};
  /// To the start of the attempt that then progressed, other attempts included.
  Duration replanning{0};
  /// To the next token.
  Duration resuming{0};

  friend bool operator==(const RecordRecovery&,
                         const RecordRecovery&) = default;
};

/// The answer is whole. Nothing follows.
struct Finish {
  std::uint32_t tokens = 0;

  friend bool operator==(const Finish&, const Finish&) = default;
};

/// The answer is given up; the caller is told so at once. Nothing follows.
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
