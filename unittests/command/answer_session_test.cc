#include "toucanwharf/command/answer_session.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpOutcome;
using Kind = AnswerStep::Kind;
using State = AnswerSession::State;

const std::vector<std::string> kEntries = {"a:1", "b:1", "c:1"};

AnswerQuery Query() { return AnswerQuery{true, "m", "hello", 8, 5}; }

std::string TokenEvent(const std::string& id, std::uint32_t index) {
  const json chunk = {
      {"id", id},
      {"choices", {{{"delta", {{"content", " w" + std::to_string(index)}}}}}},
      {"index_in_answer", index}};
  return transport::FormatEvent(chunk.dump());
}

HttpOutcome LostConnection() {
  HttpOutcome outcome;
  outcome.sent = true;
  return outcome;
}

HttpOutcome Answer(int status, const json& body = nullptr) {
  HttpOutcome outcome;
  outcome.end = CallEnd::kAnswered;
  outcome.sent = true;
  outcome.status = status;
  if (!body.is_null()) outcome.body = body.dump();
  return outcome;
}

BOOST_AUTO_TEST_CASE(WholeAnswerEndsWithItsFinalEvent) {
  AnswerSession session(Query(), kEntries);
  BOOST_TEST(session.OnBytes(TokenEvent("r", 0) + TokenEvent("r", 1)) == 2u);
  session.OnBytes(transport::FormatEvent("[DONE]"));
  session.OnEnd(Answer(200));
  BOOST_TEST((session.Status() == State::kComplete));
  BOOST_TEST(session.Tokens().size() == 2u);
}

// The router that streams an answer is killed after two tokens. The caller
// must not treat the closed connection as the end of the answer.
BOOST_AUTO_TEST_CASE(BrokenStreamIsResumedElsewhere) {
  AnswerSession session(Query(), kEntries);
  session.OnBytes(TokenEvent("r", 0) + TokenEvent("r", 1));
  session.OnEnd(LostConnection());
  BOOST_TEST((session.Next() == AnswerStep{Kind::kResume, "b:1"}));
  BOOST_TEST(session.Call("k").url == "http://b:1/v1/requests/r?from=2");
  session.OnBytes(TokenEvent("r", 2) + transport::FormatEvent("[DONE]"));
  session.OnEnd(Answer(200));
  BOOST_TEST((session.Status() == State::kComplete));
  BOOST_TEST(session.Tokens().size() == 3u);
  BOOST_TEST(session.Interruptions() == 1u);
}

// No other router knows the answer of the killed one. The repeated request
// yields the first tokens a second time; the caller must not append them again.
BOOST_AUTO_TEST_CASE(UnknownAnswerIsRequestedAgainAndMerged) {
  AnswerSession session(Query(), kEntries);
  session.OnBytes(TokenEvent("r", 0) + TokenEvent("r", 1));
  session.OnEnd(LostConnection());
  session.OnEnd(Answer(404));
  BOOST_TEST((session.Next() == AnswerStep{Kind::kResume, "c:1"}));
  session.OnEnd(Answer(404));
  BOOST_TEST((session.Next().kind == Kind::kRequest));
  session.OnBytes(TokenEvent("s", 0) + TokenEvent("s", 1) + TokenEvent("s", 2) +
                  transport::FormatEvent("[DONE]"));
  session.OnEnd(Answer(200));
  BOOST_TEST((session.Status() == State::kComplete));
  BOOST_TEST(session.Tokens().size() == 3u);
}

// The stream closes cleanly but without its final event: a partial answer must
// not pass for a complete one.
BOOST_AUTO_TEST_CASE(EndWithoutFinalEventIsNotTheEnd) {
  AnswerSession session(Query(), kEntries);
  session.OnBytes(TokenEvent("r", 0));
  session.OnEnd(Answer(200));
  BOOST_TEST((session.Status() == State::kRunning));
  BOOST_TEST((session.Next().kind == Kind::kResume));
}

BOOST_AUTO_TEST_CASE(ChangedOrSkippedTokenBreaksTheAnswer) {
  AnswerSession session(Query(), kEntries);
  session.OnBytes(TokenEvent("r", 0) + TokenEvent("r", 2));
  session.OnEnd(Answer(200));
  BOOST_TEST((session.Status() == State::kFailed));
}

BOOST_AUTO_TEST_CASE(RefusalIsFinalAndKeepsItsDetails) {
  AnswerSession session(Query(), kEntries);
  session.OnEnd(Answer(503, {{"error", {{"message", "busy"}, {"code", "busy"}}},
                             {"ran", "no"},
                             {"retry_after_s", 3u}}));
  BOOST_TEST((session.Status() == State::kRefused));
  BOOST_TEST((session.Failure() == AnswerFailure{503, "busy", "no", 3}));
}

BOOST_AUTO_TEST_CASE(InstanceThatIsNotReadyIsSkipped) {
  AnswerSession session(Query(), kEntries);
  session.OnEnd(Answer(503, {{"error", {{"code", "not_ready"}}}}));
  BOOST_TEST((session.Next() == AnswerStep{Kind::kRequest, "b:1"}));
}

BOOST_AUTO_TEST_CASE(ErrorEventBreaksTheAnswer) {
  AnswerSession session(Query(), kEntries);
  session.OnBytes(TokenEvent("r", 0));
  session.OnBytes(transport::FormatEvent(
      R"({"error": {"message": "stage lost"}, "ran": "partly"})"));
  session.OnEnd(Answer(200));
  BOOST_TEST((session.Status() == State::kFailed));
  BOOST_TEST(session.Failure().ran == "partly");
}

BOOST_AUTO_TEST_CASE(DeadEntriesEndTheSession) {
  AnswerSession session(Query(), kEntries);
  int calls = 0;
  while (session.Next().kind != Kind::kEnd) {
    BOOST_REQUIRE(++calls < 100);
    session.OnEnd(HttpOutcome{});
  }
  BOOST_TEST((session.Status() == State::kFailed));
  BOOST_TEST(session.Interruptions() == 0u);
}

RC_BOOST_PROP(AnyCutsAndResumesGiveTheWholeAnswer,
              (const std::vector<std::uint8_t>& cuts)) {
  constexpr std::uint32_t kLength = 6;
  AnswerSession session(Query(), kEntries);
  for (std::size_t call = 0; session.Next().kind != Kind::kEnd; ++call) {
    const bool resume = session.Next().kind == Kind::kResume;
    const bool resumable = call < cuts.size() && cuts[call] % 3 != 0;
    if (resume && !resumable) {
      session.OnEnd(Answer(404));
      continue;
    }
    const auto from =
        resume ? static_cast<std::uint32_t>(session.Tokens().size()) : 0;
    std::string bytes;
    for (std::uint32_t index = from; index < kLength; ++index) {
      bytes += TokenEvent("r" + std::to_string(call), index);
    }
    bytes += transport::FormatEvent("[DONE]");
    const std::size_t received =
        call < cuts.size() ? bytes.size() * cuts[call] / 256 : bytes.size();
    session.OnBytes(bytes.substr(0, received));
    session.OnEnd(LostConnection());
  }
  RC_ASSERT(session.Status() != State::kComplete ||
            session.Tokens().size() == kLength);
  for (std::size_t index = 0; index < session.Tokens().size(); ++index) {
    RC_ASSERT(session.Tokens()[index] == " w" + std::to_string(index));
  }
}

RC_BOOST_PROP(AnyBytesAreTaken, (const std::string& bytes)) {
  AnswerSession session(Query(), kEntries);
  session.OnBytes("data: " + bytes + "\n\n");
  session.OnEnd(Answer(200));
  RC_ASSERT(session.Status() != State::kComplete || !bytes.empty());
}

}  // namespace
}  // namespace toucanwharf::command
