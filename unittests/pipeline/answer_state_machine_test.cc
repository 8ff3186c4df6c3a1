#include "toucanwharf/pipeline/answer_state_machine.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/pipeline/error.h"

namespace toucanwharf::pipeline {
namespace {

constexpr std::uint32_t kLayers = 4;
constexpr std::uint32_t kTokens = 5;
const PinnedModel kModel{"qa-model", "v1", ""};

AnswerRequest SomeRequest() {
  AnswerRequest request;
  request.id = "mine";
  request.model = kModel;
  request.layers = kLayers;
  request.prompt_tokens = 3;
  request.max_tokens = kTokens;
  request.deadline = TimePoint{std::chrono::seconds(30)};
  return request;
}

Stage SomeStage(const std::string& id, std::uint32_t begin, std::uint32_t end) {
  return {id, "127.0.0.1:1", {begin, end}};
}

Plan SomePlan(const std::string& first, const std::string& second) {
  Plan plan{kModel, {SomeStage(first, 0, 2), SomeStage(second, 2, 4)}, {}};
  plan.times = {Duration(0), std::chrono::milliseconds(20), Duration(100)};
  return plan;
}

TokenArrived GoodToken(std::uint32_t attempt, std::uint32_t index) {
  return {"mine",
          attempt,
          index,
          "t" + std::to_string(index),
          {{0, 2}, {2, 4}},
          index + 1 == kTokens};
}

template <typename T>
std::vector<T> Of(const Actions& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* typed = std::get_if<T>(&action)) found.push_back(*typed);
  }
  return found;
}

/// A machine whose first attempt runs on the plan a, b and gave two tokens.
struct Running {
  Running() {
    this->machine.Start(this->clock.Now());
    this->Send(PlanReady{0, SomePlan("a", "b")});
    this->Send(GoodToken(0, 0));
    this->clock.Advance(std::chrono::milliseconds(20));
    this->Send(GoodToken(0, 1));
  }

  Actions Send(const Event& event) {
    return this->machine.Handle(this->clock.Now(), event);
  }
  Actions After(Duration length) {
    this->clock.Advance(length);
    return this->Send(TimerFired{});
  }

  ManualClock clock;
  AnswerStateMachine machine{SomeRequest()};
};

constexpr Duration kLongSilence = std::chrono::seconds(1);

// A release note streams when the instance of its second stage is killed. The
// first stage reports the loss. The pharmacist's answer goes on with the next
// token, from another endpoint, with what was already said.
BOOST_AUTO_TEST_CASE(LostStageIsReplacedFromTheLastToken) {
  Running run;
  const Actions lost =
      run.Send(StreamFailed{0, StreamFault::kStageLost, 1, Ran::kPartly});
  BOOST_TEST((Of<SuspectEndpoint>(lost) ==
              std::vector<SuspectEndpoint>{SuspectEndpoint{"b"}}));
  BOOST_TEST(Of<RequestPlan>(lost).at(0).excluded.contains("b"));
  const auto start =
      Of<StartAttempt>(run.Send(PlanReady{1, SomePlan("a", "c")})).at(0);
  BOOST_TEST(start.attempt == 1u);
  BOOST_TEST(start.first_index == 2u);
  BOOST_TEST((start.tokens == std::vector<std::string>{"t0", "t1"}));
  BOOST_TEST(start.imports.empty());  // The only copy died with the stage.
  BOOST_TEST(Of<EmitToken>(run.Send(GoodToken(1, 2))).size() == 1u);
}

// Something between router and engine forgets an open connection; the engine
// is fine. Tokens stop without an error. A fresh connection to the same engine
// brings the next token, and only connections are suspected.
BOOST_AUTO_TEST_CASE(SilentConnectionIsNotADeadEndpoint) {
  Running run;
  const Actions silent = run.After(kLongSilence);
  const auto start = Of<StartAttempt>(silent).at(0);
  BOOST_TEST(start.fresh_connection);
  BOOST_TEST((start.plan == SomePlan("a", "b")));
  BOOST_TEST(Of<ProbeStages>(silent).size() == 1u);
  BOOST_TEST(Of<SuspectEndpoint>(silent).empty());
  const Actions next = run.Send(GoodToken(1, 2));
  BOOST_TEST((Of<SuspectConnection>(next) ==
              std::vector<SuspectConnection>{SuspectConnection{"a"}}));
  BOOST_TEST(Of<SuspectEndpoint>(next).empty());
  BOOST_TEST(Of<RecordRecovery>(next).size() == 1u);
}

// The second stage's process is frozen: connections stay open, nothing comes.
// The fresh connection to the first stage is silent too. The probe names the
// frozen endpoint, and the answer moves before the fresh attempt times out.
BOOST_AUTO_TEST_CASE(FrozenStageIsNamedByItsProbe) {
  Running run;
  run.After(kLongSilence);
  BOOST_TEST(run.Send(ProbeCompleted{1, "a", true}).empty());
  const Actions dead = run.Send(ProbeCompleted{1, "b", false});
  BOOST_TEST(Of<SuspectEndpoint>(dead).size() == 1u);
  BOOST_TEST(Of<RequestPlan>(dead).at(0).excluded.contains("b"));
  BOOST_TEST(Of<RequestPlan>(dead).at(0).attempt == 2u);
}

// Every probe answers, yet no token comes on the fresh connection: the link
// between the stages is at fault. No endpoint is blamed, the answer moves, and
// the stages that were left hand over their KV cache.
BOOST_AUTO_TEST_CASE(FaultBetweenStagesAvoidsThePlanAndImportsItsCache) {
  Running run;
  run.After(kLongSilence);
  run.Send(ProbeCompleted{1, "a", true});
  run.Send(ProbeCompleted{1, "b", true});
  const Actions moved = run.After(std::chrono::seconds(3));
  BOOST_TEST(Of<SuspectEndpoint>(moved).empty());
  const auto ask = Of<RequestPlan>(moved).at(0);
  BOOST_TEST((ask.excluded == std::set<std::string>{"a", "b"}));
  const auto start =
      Of<StartAttempt>(run.Send(PlanReady{2, SomePlan("c", "d")})).at(0);
  BOOST_TEST(start.imports.size() == 2u);
}

// The instance of the first stage is killed. Its kernel resets the connection,
// and refuses the fresh one within a round trip; only then is it blamed.
BOOST_AUTO_TEST_CASE(ResetThenRefusedConnectionIsADeadEndpoint) {
  Running run;
  const Actions reset =
      run.Send(StreamFailed{0, StreamFault::kConnectionLost, {}, Ran::kPartly});
  BOOST_TEST(Of<SuspectEndpoint>(reset).empty());
  BOOST_TEST(Of<StartAttempt>(reset).at(0).fresh_connection);
  const Actions refused =
      run.Send(StreamFailed{1, StreamFault::kConnectFailed, {}, Ran::kNo});
  BOOST_TEST(Of<SuspectEndpoint>(refused).at(0).endpoint == "a");
  BOOST_TEST(Of<RequestPlan>(refused).at(0).excluded.contains("a"));
}

// Every engine that could serve a new request refuses it: the caller is told
// at once that it did not run, and that is true.
BOOST_AUTO_TEST_CASE(RefusedEverywhereIsToldAtOnceAsNotRun) {
  AnswerStateMachine machine(SomeRequest());
  machine.Start({});
  machine.Handle({}, PlanReady{0, SomePlan("a", "b")});
  const Actions refused = machine.Handle({}, AttemptRefused{0, {}});
  BOOST_TEST(Of<RequestPlan>(refused).size() == 1u);
  const Actions again = machine.Handle({}, PlanFailed{1, Error::kNoCover});
  BOOST_TEST(Of<RequestPlan>(again).at(0).excluded.empty());
  const Actions last = machine.Handle({}, PlanFailed{1, Error::kNoCover});
  BOOST_TEST(
      (Of<Fail>(last) == std::vector<Fail>{Fail{Ran::kNo, Error::kNoCover}}));
}

// An attempt went silent and a later one was refused. The first may have run,
// so "not run" would be false (I3).
BOOST_AUTO_TEST_CASE(ARefusalDoesNotUndoAnEarlierAttempt) {
  AnswerStateMachine machine(SomeRequest());
  machine.Start({});
  machine.Handle({}, PlanReady{0, SomePlan("a", "b")});
  const TimePoint later{std::chrono::seconds(5)};
  machine.Handle(later, TimerFired{});
  machine.Handle(later, AttemptRefused{1, {}});
  BOOST_TEST((machine.RanSoFar() == Ran::kUnknown));
}

// An engine takes each attempt and resets it. Attempts cost prefills on
// engines that others need, so they end long before the deadline.
BOOST_AUTO_TEST_CASE(AttemptsWithoutATokenAreBounded) {
  Running run;
  const DeadlinePolicy policy;
  std::uint32_t attempt = 0;
  while (!run.machine.Done() && attempt < 100) {
    attempt = run.machine.Attempt();
    run.Send(StreamFailed{attempt, StreamFault::kConnectionLost, {}, {}});
    run.Send(PlanReady{run.machine.Attempt(), SomePlan("a", "b")});
  }
  BOOST_TEST(run.machine.Done());
  BOOST_TEST(attempt == policy.idle_attempts);
}

// The link between two engines degrades a hundredfold. Every token still comes
// before its deadline, six times as late as planned. The answer moves, once.
BOOST_AUTO_TEST_CASE(SlowPlanIsLeftOnce) {
  AnswerRequest request = SomeRequest();
  request.max_tokens = 200;
  AnswerStateMachine machine(request);
  ManualClock clock;
  machine.Start(clock.Now());
  machine.Handle(clock.Now(), PlanReady{0, SomePlan("a", "b")});
  int moves = 0;
  for (std::uint32_t index = 0; index < 40; ++index) {
    TokenArrived token = GoodToken(machine.Attempt(), index);
    token.last = false;
    const bool slow = index > 10;
    clock.Advance(std::chrono::milliseconds(slow ? 120 : 20));
    const auto asks = Of<RequestPlan>(machine.Handle(clock.Now(), token));
    if (asks.empty()) continue;
    BOOST_TEST(index <= 15u);
    BOOST_TEST((asks[0].excluded == std::set<std::string>{"a", "b"}));
    ++moves;
    machine.Handle(clock.Now(),
                   PlanReady{machine.Attempt(), SomePlan("c", "d")});
  }
  BOOST_TEST(moves == 1);
  BOOST_TEST(machine.Tokens().size() == 40u);
}

BOOST_AUTO_TEST_CASE(CallerWhoLeavesCancelsTheWork) {
  Running run;
  const Actions left = run.Send(CallerDisconnected{});
  BOOST_TEST(Of<Cancel>(left).size() == 1u);
  BOOST_TEST((Of<Fail>(left).at(0).ran == Ran::kPartly));
  BOOST_TEST(run.machine.Done());
}

BOOST_AUTO_TEST_CASE(TokensMoveTheTimerOnlyWhenItFires) {
  Running run;
  BOOST_TEST(Of<ArmTimer>(run.Send(GoodToken(0, 2))).empty());
}

}  // namespace
}  // namespace toucanwharf::pipeline
