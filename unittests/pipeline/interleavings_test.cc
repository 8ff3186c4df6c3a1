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
const std::string kWrong = "must never be handed out";

std::string Right(std::uint32_t index) { return "w" + std::to_string(index); }

/// What goes wrong, or right, in one step of a schedule.
enum class Step : std::uint8_t {
  kToken,
  kDoubledToken,
  kLostToken,
  kOldAttemptToken,
  kOtherRequestToken,
  kSwappedTrace,
  kMissingLayerTrace,
  kReset,
  kConnectFailed,
  kStageLost,
  kEndedEarly,
  kRefused,
  kSilence,
  kShortWait,
  kProbeDead,
  kProbeAlive,
  kNoCover,
  kBrokenPlan,
  kCount,
};

/// Engines and network around one machine, and the caller who reads it.
/// Tokens that must not pass carry text that the caller would notice.
class World {
 public:
  explicit World(std::uint32_t length)
      : answer_tokens(length), machine(Request(length)) {
    this->Take(this->machine.Start(this->now));
  }

  void Play(Step step, std::uint32_t pick) {
    if (this->asked && step != Step::kNoCover && step != Step::kBrokenPlan) {
      this->AnswerPlan(pick);
      return;
    }
    switch (step) {
      case Step::kToken:
        return this->Token(this->Next(), Right(this->Next()), this->Trace());
      case Step::kDoubledToken:
        if (this->Next() == 0) return;
        return this->Token(this->Next() - 1, kWrong, this->Trace());
      case Step::kLostToken:
        return this->Token(this->Next() + 1 + pick % 3, kWrong, this->Trace());
      case Step::kOldAttemptToken:
        if (this->machine.Attempt() == 0) return;
        return this->Send(TokenArrived{"mine", pick % this->machine.Attempt(),
                                       this->Next(), kWrong, this->Trace(),
                                       pick % 2 == 0});
      case Step::kOtherRequestToken:
        return this->Send(TokenArrived{"theirs", this->machine.Attempt(),
                                       this->Next(), kWrong, this->Trace(),
                                       pick % 2 == 0});
      case Step::kSwappedTrace: {
        auto trace = this->Trace();
        std::reverse(trace.begin(), trace.end());
        if (trace.size() < 2) trace.push_back({0, kLayers});
        return this->Token(this->Next(), kWrong, trace);
      }
      case Step::kMissingLayerTrace: {
        auto trace = this->Trace();
        if (!trace.empty()) trace.pop_back();
        return this->Token(this->Next(), kWrong, trace);
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
      case Step::kSilence:
        this->now = this->now + std::chrono::milliseconds(200 + pick % 3000);
        return this->Send(TimerFired{});
      case Step::kShortWait:
        this->now = this->now + std::chrono::milliseconds(pick % 60);
        return this->Send(TimerFired{});
      case Step::kProbeDead:
      case Step::kProbeAlive:
        return this->Send(ProbeCompleted{pick % 8,
                                         "e" + std::to_string(pick % 9),
                                         step == Step::kProbeAlive});
      case Step::kNoCover:
        this->asked.reset();
        return this->Send(PlanFailed{this->machine.Attempt(), Error::kNoCover});
      case Step::kBrokenPlan:
        this->asked.reset();
        return this->Send(PlanReady{this->machine.Attempt(),
                                    Plan{kModel, {{"e1", "", {1, 6}}}, {}}});
      case Step::kCount:
        return;
    }
  }

  /// Lets only time pass until the machine ends; checks that it does.
  void LetTimePass() {
    constexpr int kMostRounds = 1000;
    for (int round = 0; round < kMostRounds; ++round) {
      if (this->machine.Done()) break;
      RC_ASSERT(this->armed.has_value() || this->asked.has_value());
      if (this->asked) {
        this->AnswerPlan(0);
        continue;
      }
      this->now = std::max(this->now, *this->armed);
      this->armed.reset();
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

  std::uint32_t Next() const {
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

  void AnswerPlan(std::uint32_t pick) {
    const std::uint32_t attempt = *this->asked;
    this->asked.reset();
    Plan plan{kModel, {}, {}};
    plan.times.token_gap = std::chrono::milliseconds(20);
    const std::uint32_t step = 1 + pick % 3;
    for (std::uint32_t at = 0; at < kLayers; at += step) {
      const std::string id = "e" + std::to_string((pick + at) % 9);
      plan.stages.push_back({id, "", {at, at + step}});
    }
    this->Send(PlanReady{attempt, plan});
  }

  void Send(const Event& event) {
    const bool over = this->machine.Done();
    const Actions actions = this->machine.Handle(this->now, event);
    if (over) RC_ASSERT(actions.empty());
    this->Take(actions);
  }

  void Take(const Actions& actions) {
    for (const Action& action : actions) {
      RC_ASSERT(!this->ended);
      std::visit([this](const auto& typed) { this->Check(typed); }, action);
    }
  }

  // I2: each token once, in order, the caller's own.
  void Check(const EmitToken& token) {
    RC_ASSERT(token.index == this->Next());
    RC_ASSERT(token.text == Right(token.index));
    this->answer.push_back(token.text);
  }
  void Check(const Finish& finish) {
    RC_ASSERT(finish.tokens == this->Next());
    RC_ASSERT(this->Next() == this->answer_tokens);
    this->ended = true;
  }
  void Check(const Fail& fail) {
    RC_ASSERT(fail.error.value() != 0);
    if (!this->answer.empty()) RC_ASSERT(fail.ran == Ran::kPartly);
    if (this->silent_or_lost) RC_ASSERT(fail.ran != Ran::kNo);
    this->ended = true;
  }
  void Check(const StartAttempt& start) {
    RC_ASSERT(!this->last_attempt || start.attempt > *this->last_attempt);
    RC_ASSERT(start.tokens == this->answer);
    RC_ASSERT(start.first_index == this->Next());
    RC_ASSERT(start.plan.model == kModel);
    std::vector<LayerRange> ranges;
    for (const Stage& stage : start.plan.stages) ranges.push_back(stage.layers);
    RC_ASSERT(IsExactCover(ranges, kLayers));
    this->last_attempt = start.attempt;
    this->tokens_at_start = this->answer.size();
  }
  void Check(const RequestPlan& ask) { this->asked = ask.attempt; }
  void Check(const ArmTimer& timer) { this->armed = timer.at; }
  void Check(const ProbeStages& /*probe*/) { this->silent_or_lost = true; }
  template <typename Other>
  void Check(const Other& /*other*/) {}

  std::uint32_t answer_tokens;
  TimePoint now;
  AnswerStateMachine machine;
  std::vector<std::string> answer;
  std::optional<std::uint32_t> asked;
  std::optional<TimePoint> armed;
  std::optional<std::uint32_t> last_attempt;
  std::size_t tokens_at_start = 0;
  bool silent_or_lost = false;
  bool ended = false;
};

using Schedule = std::vector<std::pair<std::uint8_t, std::uint32_t>>;

/// Schedules in which most steps are tokens, so that answers get on.
rc::Gen<Schedule> Schedules() {
  const auto fault = rc::gen::inRange<std::uint8_t>(
      0, static_cast<std::uint8_t>(Step::kCount));
  const auto step = rc::gen::weightedOneOf<std::uint8_t>(
      {{3, rc::gen::just(static_cast<std::uint8_t>(Step::kToken))},
       {2, fault}});
  const auto pick = rc::gen::inRange<std::uint32_t>(0, 100000);
  return rc::gen::container<Schedule>(rc::gen::pair(step, pick));
}

// I1, I2: whatever comes late, doubled, lost, out of order, from an old
// attempt, from another request or with a wrong trace, and whatever dies in
// between, the caller reads the right tokens in order, and the answer is whole
// or says that it is not.
RC_BOOST_PROP(AnswerIsWholeOrSaysThatItIsNot, ()) {
  constexpr int kSchedules = 20;
  for (int schedule = 0; schedule < kSchedules; ++schedule) {
    World world(*rc::gen::inRange<std::uint32_t>(1, 12));
    for (const auto& [step, pick] : *Schedules()) {
      world.Play(static_cast<Step>(step), pick);
    }
    world.LetTimePass();
  }
}

}  // namespace
}  // namespace toucanwharf::pipeline
