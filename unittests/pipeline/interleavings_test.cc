#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/pipeline/answer_state_machine.h"
#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

constexpr std::uint32_t kLayers = 6;
const PinnedModel kModel{"brush-model", "v2", "kigali"};
const std::string kForbiddenText = "must never be emitted";

std::string ExpectedText(std::uint32_t index) {
  return "w" + std::to_string(index);
}

/// The event or fault in one step of a schedule.
enum class Step : std::uint8_t {
  kToken,
  kDuplicateToken,
  kLostToken,
  kEarlierAttemptToken,
  kOtherRequestToken,
  kSwappedTrace,
  kMissingLayerTrace,
  kReset,
  kConnectFailed,
  kStageLost,
  kEndedEarly,
  kRefused,
  kStall,
  kShortWait,
  kProbeFailed,
  kProbeSucceeded,
  kNoCover,
  kIncompletePlan,
  kCount,
};

/// The engines, network and caller of one state machine. Tokens that must not
/// be emitted carry kForbiddenText, which the checks of emitted tokens detect.
class World {
 public:
  explicit World(std::uint32_t length)
      : answer_tokens(length), machine(Request(length)) {
    this->Apply(this->machine.Start(this->now));
  }

  void Run(Step step, std::uint32_t pick) {
    if (this->requested_attempt && step != Step::kNoCover &&
        step != Step::kIncompletePlan) {
      this->SendPlan(pick);
      return;
    }
    switch (step) {
      case Step::kToken:
        return this->Token(this->NextIndex(), ExpectedText(this->NextIndex()),
                           this->Trace());
      case Step::kDuplicateToken:
        if (this->NextIndex() == 0) return;
        return this->Token(this->NextIndex() - 1, kForbiddenText,
                           this->Trace());
      case Step::kLostToken:
        return this->Token(this->NextIndex() + 1 + pick % 3, kForbiddenText,
                           this->Trace());
      case Step::kEarlierAttemptToken:
        if (this->machine.Attempt() == 0) return;
        return this->Send(TokenArrived{"mine", pick % this->machine.Attempt(),
                                       this->NextIndex(), kForbiddenText,
                                       this->Trace(), pick % 2 == 0});
      case Step::kOtherRequestToken:
        return this->Send(TokenArrived{"theirs", this->machine.Attempt(),
                                       this->NextIndex(), kForbiddenText,
                                       this->Trace(), pick % 2 == 0});
      case Step::kSwappedTrace: {
        auto trace = this->Trace();
        std::reverse(trace.begin(), trace.end());
        if (trace.size() < 2) trace.push_back({0, kLayers});
        return this->Token(this->NextIndex(), kForbiddenText, trace);
      }
      case Step::kMissingLayerTrace: {
        auto trace = this->Trace();
        if (!trace.empty()) trace.pop_back();
        return this->Token(this->NextIndex(), kForbiddenText, trace);
      }
      case Step::kReset:
        return this->Fault(StreamFault::kConnectionLost, {});
      case Step::kConnectFailed:
        return this->Fault(StreamFault::kConnectFailed, {});
      case Step::kStageLost:
        return this->Fault(StreamFault::kStageLost, pick % 5);
      case Step::kEndedEarly:
        return this->Send(StreamEnded{this->machine.Attempt()});
      case Step::kRefused:
        if (this->machine.Tokens().size() != this->tokens_at_start) return;
        return this->Send(AttemptRefused{this->machine.Attempt(), pick % 4});
      case Step::kStall:
        this->now = this->now + std::chrono::milliseconds(200 + pick % 3000);
        return this->Send(TimerFired{});
      case Step::kShortWait:
        this->now = this->now + std::chrono::milliseconds(pick % 60);
        return this->Send(TimerFired{});
      case Step::kProbeFailed:
      case Step::kProbeSucceeded:
        return this->Send(ProbeCompleted{pick % 8,
                                         "e" + std::to_string(pick % 9),
                                         step == Step::kProbeSucceeded});
      case Step::kNoCover:
        this->requested_attempt.reset();
        return this->Send(PlanFailed{this->machine.Attempt(), Error::kNoCover});
      case Step::kIncompletePlan:
        this->requested_attempt.reset();
        return this->Send(PlanReady{this->machine.Attempt(),
                                    Plan{kModel, {{"e1", "", {1, 6}}}, {}}});
      case Step::kCount:
        return;
    }
  }

  /// Fires only timers until the answer ends; checks that it does.
  void LetTimePass() {
    constexpr int kMaxRounds = 1000;
    for (int round = 0; round < kMaxRounds; ++round) {
      if (this->machine.Done()) break;
      RC_ASSERT(this->timer_deadline.has_value() ||
                this->requested_attempt.has_value());
      if (this->requested_attempt) {
        this->SendPlan(0);
        continue;
      }
      this->now = std::max(this->now, *this->timer_deadline);
      this->timer_deadline.reset();
      this->Send(TimerFired{});
    }
    RC_ASSERT(this->machine.Done());
    RC_ASSERT(this->ended);
  }

 private:
  static AnswerRequest Request(std::uint32_t tokens) {
    AnswerRequest request;
    request.id = "mine";
    request.model = kModel;
    request.layers = kLayers;
    request.max_tokens = tokens + 3;
    request.deadline = TimePoint{std::chrono::seconds(60)};
    return request;
  }

  std::uint32_t NextIndex() const {
    return static_cast<std::uint32_t>(this->answer.size());
  }

  std::vector<LayerRange> Trace() const {
    std::vector<LayerRange> trace;
    if (!this->machine.CurrentPlan()) return trace;
    for (const Stage& stage : this->machine.CurrentPlan()->stages) {
      trace.push_back(stage.layers);
    }
    return trace;
  }

  void Token(std::uint32_t index, const std::string& text,
             const std::vector<LayerRange>& trace) {
    this->Send(TokenArrived{"mine", this->machine.Attempt(), index, text, trace,
                            index + 1 == this->answer_tokens});
  }

  void Fault(StreamFault fault, std::optional<std::size_t> stage) {
    this->Send(
        StreamFailed{this->machine.Attempt(), fault, stage, Ran::kUnknown});
  }

  void SendPlan(std::uint32_t pick) {
    const std::uint32_t attempt = *this->requested_attempt;
    this->requested_attempt.reset();
    Plan plan{kModel, {}, {}};
    plan.times.token_gap = std::chrono::milliseconds(20);
    const std::uint32_t step = 1 + pick % 3;
    for (std::uint32_t layer = 0; layer < kLayers; layer += step) {
      const std::string id = "e" + std::to_string((pick + layer) % 9);
      plan.stages.push_back({id, "", {layer, layer + step}});
    }
    this->Send(PlanReady{attempt, plan});
  }

  void Send(const Event& event) {
    const bool was_done = this->machine.Done();
    const Actions actions = this->machine.Handle(this->now, event);
    if (was_done) RC_ASSERT(actions.empty());
    this->Apply(actions);
  }

  void Apply(const Actions& actions) {
    for (const Action& action : actions) {
      RC_ASSERT(!this->ended);
      std::visit([this](const auto& typed) { this->Check(typed); }, action);
    }
  }

  // I2: each token once, in order, and only of this request.
  void Check(const EmitToken& token) {
    RC_ASSERT(token.index == this->NextIndex());
    RC_ASSERT(token.text == ExpectedText(token.index));
    this->answer.push_back(token.text);
  }
  void Check(const Finish& finish) {
    RC_ASSERT(finish.tokens == this->NextIndex());
    RC_ASSERT(this->NextIndex() == this->answer_tokens);
    this->ended = true;
  }
  void Check(const Fail& fail) {
    RC_ASSERT(fail.error.value() != 0);
    if (!this->answer.empty()) RC_ASSERT(fail.ran == Ran::kPartly);
    if (this->probed) RC_ASSERT(fail.ran != Ran::kNo);
    this->ended = true;
  }
  void Check(const StartAttempt& start) {
    RC_ASSERT(!this->last_attempt || start.attempt > *this->last_attempt);
    RC_ASSERT(start.tokens == this->answer);
    RC_ASSERT(start.first_index == this->NextIndex());
    RC_ASSERT(start.plan.model == kModel);
    std::vector<LayerRange> ranges;
    for (const Stage& stage : start.plan.stages) ranges.push_back(stage.layers);
    RC_ASSERT(IsExactCover(ranges, kLayers));
    this->last_attempt = start.attempt;
    this->tokens_at_start = this->answer.size();
  }
  void Check(const RequestPlan& ask) { this->requested_attempt = ask.attempt; }
  void Check(const ArmTimer& timer) { this->timer_deadline = timer.at; }
  void Check(const ProbeStages& /*probe*/) { this->probed = true; }
  template <typename Other>
  void Check(const Other& /*other*/) {}

  std::uint32_t answer_tokens;
  TimePoint now;
  AnswerStateMachine machine;
  std::vector<std::string> answer;
  std::optional<std::uint32_t> requested_attempt;
  std::optional<TimePoint> timer_deadline;
  std::optional<std::uint32_t> last_attempt;
  std::size_t tokens_at_start = 0;
  bool probed = false;
  bool ended = false;
};

using Schedule = std::vector<std::pair<std::uint8_t, std::uint32_t>>;

/// Schedules in which most steps are tokens, so that answers make progress.
rc::Gen<Schedule> Schedules() {
  const auto fault = rc::gen::inRange<std::uint8_t>(
      0, static_cast<std::uint8_t>(Step::kCount));
  const auto step = rc::gen::weightedOneOf<std::uint8_t>(
      {{3, rc::gen::just(static_cast<std::uint8_t>(Step::kToken))},
       {2, fault}});
  const auto pick = rc::gen::inRange<std::uint32_t>(0, 100000);
  return rc::gen::container<Schedule>(rc::gen::pair(step, pick));
}

// I1, I2: tokens are late, duplicated, lost, out of order, from an earlier
// attempt or another request, or have a wrong trace, and endpoints fail in
// between. The caller must read the correct tokens in order, and the answer
// must be complete or reported as failed.
RC_BOOST_PROP(AnswerIsCompleteOrReportedAsFailed, ()) {
  constexpr int kSchedules = 20;
  for (int schedule = 0; schedule < kSchedules; ++schedule) {
    World world(*rc::gen::inRange<std::uint32_t>(1, 12));
    for (const auto& [step, pick] : *Schedules()) {
      world.Run(static_cast<Step>(step), pick);
    }
    world.LetTimePass();
  }
}

}  // namespace
}  // namespace toucanwharf::pipeline
