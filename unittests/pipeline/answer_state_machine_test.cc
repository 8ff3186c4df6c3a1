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

/// A state machine whose first attempt runs on stages a and b and has produced
/// two tokens.
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

constexpr Duration kLongStall = std::chrono::seconds(1);

// The instance of the second stage is killed while an answer streams, and the
// first stage reports the loss. The answer must resume at the next token with
// another endpoint, given the tokens so far.
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
  BOOST_TEST(start.imports.empty());  // The lost stage had the only copy.
  BOOST_TEST(Of<EmitToken>(run.Send(GoodToken(1, 2))).size() == 1u);
}

// A device between router and engine drops the state of an open connection, so
// tokens stop without an error while the engine works. A new connection to the
// same engine delivers the next token; only connections may be suspected.
BOOST_AUTO_TEST_CASE(StalledConnectionDoesNotSuspectTheEndpoint) {
  Running run;
  const Actions stalled = run.After(kLongStall);
  const auto start = Of<StartAttempt>(stalled).at(0);
  BOOST_TEST(start.fresh_connection);
  BOOST_TEST((start.plan == SomePlan("a", "b")));
  BOOST_TEST(Of<ProbeStages>(stalled).size() == 1u);
  BOOST_TEST(Of<SuspectEndpoint>(stalled).empty());
  const Actions next = run.Send(GoodToken(1, 2));
  BOOST_TEST((Of<SuspectConnection>(next) ==
              std::vector<SuspectConnection>{SuspectConnection{"a"}}));
  BOOST_TEST(Of<SuspectEndpoint>(next).empty());
  BOOST_TEST(Of<RecordRecovery>(next).size() == 1u);
}

// The second stage's process is frozen: connections stay open, but no data
// arrives, also on the new connection to the first stage. The probe identifies
// the frozen endpoint, and the answer moves before the new attempt times out.
BOOST_AUTO_TEST_CASE(FailedProbeIdentifiesTheFrozenStage) {
  Running run;
  run.After(kLongStall);
  BOOST_TEST(run.Send(ProbeCompleted{1, "a", true}).empty());
  const Actions failed = run.Send(ProbeCompleted{1, "b", false});
  BOOST_TEST(Of<SuspectEndpoint>(failed).size() == 1u);
  BOOST_TEST(Of<RequestPlan>(failed).at(0).excluded.contains("b"));
  BOOST_TEST(Of<RequestPlan>(failed).at(0).attempt == 2u);
}

// Every probe succeeds, yet no token arrives on the new connection: the link
// between the stages is faulty. No endpoint may be suspected; the answer moves,
// and the new stages import the KV caches of the old ones.
BOOST_AUTO_TEST_CASE(FaultBetweenStagesAvoidsThePlanAndImportsItsCache) {
  Running run;
  run.After(kLongStall);
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

// The instance of the first stage is killed. Its kernel resets the connection
// and refuses the new one within a round trip; only then may the endpoint be
// suspected.
BOOST_AUTO_TEST_CASE(ResetThenRefusedConnectionSuspectsTheEndpoint) {
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

// Every engine that could serve a new request refuses it. The answer must fail
// immediately, correctly reported as not run.
BOOST_AUTO_TEST_CASE(RefusalByAllEndpointsIsReportedAsNotRun) {
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

// An attempt stalled and a later one was refused. The first may have run, so
// reporting "not run" would be wrong (I3).
BOOST_AUTO_TEST_CASE(RefusalDoesNotClearAnEarlierAttempt) {
  AnswerStateMachine machine(SomeRequest());
  machine.Start({});
  machine.Handle({}, PlanReady{0, SomePlan("a", "b")});
  const TimePoint later{std::chrono::seconds(5)};
  machine.Handle(later, TimerFired{});
  machine.Handle(later, AttemptRefused{1, {}});
  BOOST_TEST((machine.RanSoFar() == Ran::kUnknown));
}

// An engine accepts each attempt and resets it. Each attempt costs a prefill on
// shared engines, so the attempts must end long before the deadline.
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
  BOOST_TEST(attempt == policy.max_idle_attempts);
}

// The delay of the link between two engines grows a hundredfold. Every token
// still arrives before its deadline, but takes six times as long as planned.
// The answer must move to another plan, and only once.
BOOST_AUTO_TEST_CASE(SlowPlanIsReplacedOnce) {
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
    const auto requests = Of<RequestPlan>(machine.Handle(clock.Now(), token));
    if (requests.empty()) continue;
    BOOST_TEST(index <= 15u);
    BOOST_TEST((requests[0].excluded == std::set<std::string>{"a", "b"}));
    ++moves;
    machine.Handle(clock.Now(),
                   PlanReady{machine.Attempt(), SomePlan("c", "d")});
  }
  BOOST_TEST(moves == 1);
  BOOST_TEST(machine.Tokens().size() == 40u);
}

BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheAttempt) {
  Running run;
  const Actions actions = run.Send(CallerDisconnected{});
  BOOST_TEST(Of<Cancel>(actions).size() == 1u);
  BOOST_TEST((Of<Fail>(actions).at(0).ran == Ran::kPartly));
  BOOST_TEST(run.machine.Done());
}

BOOST_AUTO_TEST_CASE(TokensDoNotRearmThePendingTimer) {
  Running run;
  BOOST_TEST(Of<ArmTimer>(run.Send(GoodToken(0, 2))).empty());
}

}  // namespace
}  // namespace toucanwharf::pipeline
