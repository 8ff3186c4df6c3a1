#include <boost/test/unit_test.hpp>
#include <numeric>

#include "test/soak/checks.h"

namespace toucanwharf::soak {
namespace {

ObservedRequest Answered(const std::string& id, RequestKind kind) {
  ObservedRequest request;
  request.id = id;
  request.kind = kind;
  request.sent = Clock::now();
  request.answer.status = 200;
  request.answer.complete = true;
  request.answer.body = "ran at plain-0";
  request.answer.headers = {{"x-request-id", id}, {"x-server-stamp", "stamp"}};
  if (kind == RequestKind::kStream) {
    request.events.resize(standins::fleet::Endpoints::kEvents);
    std::iota(request.events.begin(), request.events.end(), 1);
  }
  return request;
}

std::vector<standins::fleet::Run> Runs(const std::string& id, int count) {
  standins::fleet::Run run;
  run.request_id = id;
  return std::vector<standins::fleet::Run>(static_cast<std::size_t>(count),
                                           run);
}

// Guards against soak checks that miss a violation: each check is given one.
BOOST_AUTO_TEST_CASE(ValidAnswersViolateNothing) {
  const ObservedRequest read = Answered("r", RequestKind::kRead);
  const ObservedRequest stream = Answered("s", RequestKind::kStream);
  auto runs = Runs("r", 2);
  runs.push_back(Runs("s", 1).front());
  BOOST_TEST(FindViolations({read, stream}, runs, {}).empty());
}

BOOST_AUTO_TEST_CASE(SignatureThatRanTwiceIsSeen) {
  const ObservedRequest sign = Answered("x", RequestKind::kSign);
  BOOST_TEST(FindViolations({sign}, Runs("x", 1), {}).empty());
  BOOST_TEST(FindViolations({sign}, Runs("x", 2), {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalOfWhatRanIsSeen) {
  ObservedRequest sign = Answered("x", RequestKind::kSign);
  sign.answer.status = 503;
  BOOST_TEST(FindViolations({sign}, Runs("x", 0), {}).empty());
  BOOST_TEST(FindViolations({sign}, Runs("x", 1), {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RepeatsBeyondTheBoundAreSeen) {
  const process_test::ArrivalBound bound{0.5, 1};
  const ObservedRequest stream = Answered("s", RequestKind::kStream);
  const ObservedRequest read = Answered("r", RequestKind::kRead);
  const TimePoint now = BootClock().Now();
  std::vector<standins::fleet::Arrival> arrivals(3, {"model", "a", "s", now});
  BOOST_TEST(FindRepeatViolations({stream, read}, arrivals, bound).size() ==
             1U);
  arrivals.pop_back();
  BOOST_TEST(FindRepeatViolations({stream, read}, arrivals, bound).empty());
  arrivals.push_back({"model", "a", "s", now + 2 * kRepeatWindow});
  BOOST_TEST(FindRepeatViolations({stream, read}, arrivals, bound).empty());
}

BOOST_AUTO_TEST_CASE(MissingAndForeignEventsAreSeen) {
  ObservedRequest stream = Answered("x", RequestKind::kStream);
  stream.events.pop_back();
  BOOST_TEST(FindViolations({stream}, Runs("x", 1), {}).size() == 1U);
  stream.answer.complete = false;
  BOOST_TEST(FindViolations({stream}, Runs("x", 1), {}).empty());
  stream.events[3] = 9;
  BOOST_TEST(FindViolations({stream}, Runs("x", 1), {}).size() == 1U);
  ObservedRequest other = Answered("x", RequestKind::kRead);
  other.answer.headers["x-request-id"] = "y";
  BOOST_TEST(FindViolations({other}, Runs("x", 1), {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunWithARevokedKeyIsSeen) {
  const ObservedRequest read = Answered("x", RequestKind::kSecondCustomer);
  const RevocationPeriod late{read.sent - kRevocationBound / 2,
                              TimePoint{Duration::max()}};
  const RevocationPeriod early{read.sent - 2 * kRevocationBound,
                               TimePoint{Duration::max()}};
  BOOST_TEST(FindViolations({read}, Runs("x", 1), {late}).empty());
  BOOST_TEST(FindViolations({read}, Runs("x", 1), {early}).size() == 1U);
}

// Guards against a report of a request that waited at a router while its key
// was restored, and against missing one that ran just before.
BOOST_AUTO_TEST_CASE(RunAfterTheKeyIsRestoredIsAllowed) {
  const ObservedRequest read = Answered("x", RequestKind::kSecondCustomer);
  constexpr TimePoint kRestored{std::chrono::hours(1)};
  const RevocationPeriod period{read.sent - 2 * kRevocationBound, kRestored};
  auto runs = Runs("x", 1);
  runs.front().at = kRestored - Duration(1);
  BOOST_TEST(FindViolations({read}, runs, {period}).size() == 1U);
  runs.front().at = kRestored;
  BOOST_TEST(FindViolations({read}, runs, {period}).empty());
}

BOOST_AUTO_TEST_CASE(CrashingRequestThatRunsOnIsSeen) {
  constexpr TimePoint kStart{std::chrono::hours(1)};
  std::vector<standins::fleet::Run> runs;
  for (std::uint64_t number = 0; number < 7; ++number) {
    standins::fleet::Run run;
    run.request_id = CrashingId(CrashCause::kContent, number, 2);
    run.at = kStart + std::chrono::seconds(4) * number;
    runs.push_back(run);
  }
  BOOST_TEST(FindCrashViolations(runs, {}).size() == 1U);
  const RouterFaultPeriod other{1, kStart, kStart + std::chrono::minutes(1)};
  BOOST_TEST(FindCrashViolations(runs, {other}).size() == 1U);
  const RouterFaultPeriod same{2, runs[5].at, runs[5].at};
  BOOST_TEST(FindCrashViolations(runs, {same}).empty());
}

BOOST_AUTO_TEST_CASE(CrashingPartThatRunsOnIsSeen) {
  const auto runs_at = [](std::uint64_t endpoints) {
    constexpr TimePoint kStart{std::chrono::hours(1)};
    std::vector<standins::fleet::Run> runs;
    for (std::uint64_t number = 0; number < 9; ++number) {
      standins::fleet::Run run;
      run.request_id = CrashingId(CrashCause::kPromptPart, number, 2);
      run.endpoint = std::to_string(number % endpoints);
      run.at = kStart + std::chrono::seconds(4) * number;
      runs.push_back(run);
    }
    return runs;
  };
  BOOST_TEST(FindCrashViolations(runs_at(9), {}).size() == 1U);
  // Two runs at an endpoint share a crash.
  BOOST_TEST(FindCrashViolations(runs_at(4), {}).empty());
}

BOOST_AUTO_TEST_CASE(EndpointOverItsLimitIsSeen) {
  constexpr TimePoint kStart{std::chrono::hours(1)};
  const ObservedRequest read = Answered("x", RequestKind::kRead);
  const LimitPeriod limit{"plain-0", 1, kStart,
                          kStart + std::chrono::minutes(1)};
  std::vector<standins::fleet::Run> runs;
  for (int number = 0; number < 30; ++number) {
    standins::fleet::Run run;
    run.endpoint = "plain-0";
    run.request_id = "x";
    run.at = kStart + std::chrono::milliseconds(300) * number;
    runs.push_back(run);
  }
  BOOST_TEST(FindLimitViolations({read}, runs, {limit}, {}).size() == 1U);
  const RouterFaultPeriod fault{0, kStart, limit.until};
  BOOST_TEST(FindLimitViolations({read}, runs, {limit}, {fault}).empty());
  for (auto& run : runs) run.endpoint = "plain-1";
  BOOST_TEST(FindLimitViolations({read}, runs, {limit}, {}).empty());
}

BOOST_AUTO_TEST_CASE(AnswerThatLooksWholeAndIsNotIsSeen) {
  ObservedRequest read = Answered("x", RequestKind::kRead);
  read.body_defect = "7 bytes of 14, cut";
  BOOST_TEST(FindViolations({read}, Runs("x", 1), {}).size() == 1U);
  read.answer.complete = false;
  BOOST_TEST(FindViolations({read}, Runs("x", 1), {}).empty());
  read.has_more = true;
  BOOST_TEST(FindViolations({read}, Runs("x", 1), {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(BodyThatIsNotWholeIsSeen) {
  using standins::fleet::Endpoints;
  const std::string target = Endpoints::kOwnLongAnswer;
  process_test::Answer answer;
  answer.headers["x-server-stamp"] = "stamp-of-plain-0";
  const std::string whole = Endpoints::PlainBody("plain-0", "x", target);
  for (const std::string& body :
       {whole, whole.substr(1), whole.substr(0, whole.size() - 1), whole + "x",
        Endpoints::PlainBody("plain-0", "y", target),
        Endpoints::PlainBody("plain-1", "x", target)}) {
    answer.body = body;
    BOOST_TEST(BodyDefect(RequestKind::kRead, "x", target, answer).empty() ==
               (body == whole));
  }
  answer.body = Endpoints::EventsText();
  BOOST_TEST(BodyDefect(RequestKind::kStream, "x", "", answer).empty());
  answer.body.pop_back();
  BOOST_TEST(!BodyDefect(RequestKind::kStream, "x", "", answer).empty());
}

BOOST_AUTO_TEST_CASE(RequestCutByAPlannedStopIsSeen) {
  const Clock::time_point begin = Clock::now();
  const TimePoint from{
      std::chrono::duration_cast<Duration>(begin.time_since_epoch())};
  const auto call = [&](Duration sent, Duration ended) {
    ObservedRequest sign = Answered("x", RequestKind::kSign);
    sign.answer = {};
    sign.sent = begin + sent;
    sign.ended = begin + ended;
    return sign;
  };
  using std::chrono::milliseconds;
  const std::vector<standins::fleet::Arrival> arrivals = {
      {"plain", "plain-0", "x", from}};
  const PlannedStop stop{0, from, from + std::chrono::seconds(9)};
  const ObservedRequest late = call(milliseconds(4100), milliseconds(7900));
  BOOST_TEST(FindCutByStops({late}, arrivals, {stop}, false).size() == 1U);
  BOOST_TEST(FindCutByStops({late}, {}, {stop}, false).size() == 1U);
  BOOST_TEST(FindCutByStops({late}, arrivals, {}, false).empty());
  ObservedRequest answered = late;
  answered.answer.complete = true;
  BOOST_TEST(FindCutByStops({answered}, arrivals, {stop}, false).empty());
  const ObservedRequest early = call(milliseconds(2900), milliseconds(6800));
  BOOST_TEST(FindCutByStops({early}, arrivals, {stop}, false).empty());
  const ObservedRequest soon = call(milliseconds(2900), milliseconds(4000));
  BOOST_TEST(FindCutByStops({soon}, arrivals, {stop}, false).size() == 1U);
  const ObservedRequest timed_out = call(milliseconds(0), milliseconds(4000));
  BOOST_TEST(FindCutByStops({timed_out}, arrivals, {stop}, false).empty());
  const ObservedRequest unread = call(milliseconds(2900), milliseconds(3000));
  BOOST_TEST(FindCutByStops({unread}, {}, {stop}, false).empty());
  ObservedRequest broken_off = late;
  broken_off.answer.status = 200;
  BOOST_TEST(FindCutByStops({broken_off}, arrivals, {stop}, true).empty());
  BOOST_TEST(FindCutByStops({broken_off}, arrivals, {stop}, false).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(SoundRequestInQuarantineIsSeen) {
  ObservedRequest read = Answered("x", RequestKind::kRead);
  read.answer.status = 503;
  read.answer.body = "not run: quarantined\n";
  BOOST_TEST(FindViolations({read}, {}, {}).size() == 1U);
}

}  // namespace
}  // namespace toucanwharf::soak
