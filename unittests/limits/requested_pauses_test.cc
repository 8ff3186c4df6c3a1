#include "toucanwharf/limits/requested_pauses.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::limits {
namespace {

constexpr std::uint32_t kEndpoint = 7;
constexpr Duration kSecond = std::chrono::seconds(1);

TimePoint At(int millis) {
  return TimePoint{std::chrono::milliseconds(millis)};
}

BOOST_AUTO_TEST_CASE(SecondsMayHaveFractions) {
  BOOST_TEST((ParseRetryAfter("3") == 3 * kSecond));
  BOOST_TEST((ParseRetryAfter("0.25") == kSecond / 4));
  BOOST_TEST((ParseRetryAfter("0") == Duration(0)));
}

// Guards against bad input that makes an endpoint unusable, or for ever.
BOOST_AUTO_TEST_CASE(AnyOtherTextAsksForNothing) {
  for (const std::string& text :
       {std::string(""), std::string("-3"), std::string("nan"),
        std::string("inf"), std::string("1e308"), std::string("3, 4"),
        std::string("Fri, 31 Dec 2027 23:59:59 GMT"), std::string(5000, '9')}) {
    BOOST_TEST(!ParseRetryAfter(text).has_value(), text.substr(0, 30));
  }
  BOOST_TEST((ParseRetryAfter("99999999999") == RequestedPauses::kMaxPause));
}

// Guards against an endpoint that is asked again before its pause is over.
BOOST_AUTO_TEST_CASE(NothingIsSentUntilThePauseIsOver) {
  RequestedPauses pauses;
  BOOST_TEST(pauses.Empty());
  pauses.OnPause(kEndpoint, 3 * kSecond, At(0), At(10));
  BOOST_TEST((pauses.Wait(kEndpoint, At(10)) == 3 * kSecond));
  BOOST_TEST((pauses.Wait(kEndpoint, At(3009)) > Duration(0)));
  BOOST_TEST((pauses.Wait(kEndpoint, At(3010)) == Duration(0)));
  BOOST_TEST((pauses.Wait(kEndpoint + 1, At(10)) == Duration(0)));
  BOOST_TEST(pauses.Count(At(10)) == 1U);
  BOOST_TEST(pauses.Count(At(3010)) == 0U);
}

// Guards against answers that overtake each other: the oldest would win.
BOOST_AUTO_TEST_CASE(AnswerToTheNewestRequestCounts) {
  RequestedPauses pauses;
  pauses.OnPause(kEndpoint, 1 * kSecond, At(5), At(20));
  pauses.OnPause(kEndpoint, 9 * kSecond, At(0), At(30));
  BOOST_TEST((pauses.Wait(kEndpoint, At(20)) == kSecond));
  pauses.OnPause(kEndpoint, 5 * kSecond, At(6), At(40));
  BOOST_TEST((pauses.Wait(kEndpoint, At(40)) == 5 * kSecond));
}

// Guards against all requests that waited for the end of a pause, which an
// endpoint that still turns them away gets at one moment.
BOOST_AUTO_TEST_CASE(OneRequestFollowsAPauseAndTheOthersItsAnswer) {
  RequestedPauses pauses;
  pauses.OnPause(kEndpoint, kSecond, At(0), At(0));
  BOOST_TEST((pauses.Wait(kEndpoint, At(1000)) == Duration(0)));
  pauses.OnSend(kEndpoint, At(1000));
  BOOST_TEST((pauses.Wait(kEndpoint, At(1001)) > Duration(0)));
  BOOST_TEST((pauses.Wait(kEndpoint, At(1300)) == Duration(0)));
  pauses.OnTaken(kEndpoint, At(1000));
  BOOST_TEST((pauses.Wait(kEndpoint, At(1001)) == Duration(0)));
  BOOST_TEST(pauses.Empty());
}

// Guards against an endpoint that turns some requests away: the next one, sent
// before the refusal came, is taken and must not end the pause.
BOOST_AUTO_TEST_CASE(AnswerToARequestSentBeforeTheEndOfAPauseEndsNone) {
  RequestedPauses pauses;
  pauses.OnPause(kEndpoint, 3 * kSecond, At(0), At(5));
  pauses.OnTaken(kEndpoint, At(2));
  BOOST_TEST((pauses.Wait(kEndpoint, At(6)) > Duration(0)));
  pauses.OnTaken(kEndpoint, At(3005));
  BOOST_TEST(pauses.Empty());
}

// Guards against an endpoint that refuses for long and costs a caller an answer
// twice a second.
BOOST_AUTO_TEST_CASE(PausesWithoutATimeGrowUntilARequestIsTaken) {
  RequestedPauses pauses;
  pauses.OnRefusal(kEndpoint, At(0), At(0));
  pauses.OnRefusal(kEndpoint, At(0), At(1));
  BOOST_TEST((pauses.Wait(kEndpoint, At(0)) == At(400) - At(0)));
  pauses.OnRefusal(kEndpoint, At(400), At(400));
  BOOST_TEST((pauses.Wait(kEndpoint, At(400)) == At(800) - At(0)));
  pauses.OnRefusal(kEndpoint, At(1200), At(1200));
  BOOST_TEST((pauses.Wait(kEndpoint, At(1200)) == At(1600) - At(0)));
  pauses.OnRefusal(kEndpoint, At(2800), At(2800));
  BOOST_TEST((pauses.Wait(kEndpoint, At(2800)) == At(1600) - At(0)));
  pauses.OnTaken(kEndpoint, At(4400));
  pauses.OnRefusal(kEndpoint, At(4500), At(4500));
  BOOST_TEST((pauses.Wait(kEndpoint, At(4500)) == At(400) - At(0)));
}

// Guards against an answer that was under way when the endpoint asked.
BOOST_AUTO_TEST_CASE(AnswerToAnOlderRequestEndsNoPause) {
  RequestedPauses pauses;
  pauses.OnPause(kEndpoint, kSecond, At(10), At(11));
  pauses.OnTaken(kEndpoint, At(5));
  BOOST_TEST((pauses.Wait(kEndpoint, At(12)) > Duration(0)));
}

// Guards against an endpoint that starts anew, or another one at its address,
// and is never used.
BOOST_AUTO_TEST_CASE(EndpointsThatAreGoneAreForgotten) {
  RequestedPauses pauses;
  pauses.OnPause(kEndpoint, 3 * kSecond, At(0), At(0));
  BOOST_TEST(pauses.OnLeaving(kEndpoint));
  BOOST_TEST(!pauses.OnLeaving(kEndpoint));
  pauses.RetainOnly({kEndpoint}, At(100));
  BOOST_TEST(pauses.IsLeaving(kEndpoint));
  BOOST_TEST(!pauses.IsLeaving(kEndpoint + 1));
  pauses.RetainOnly({kEndpoint + 1}, At(100));
  BOOST_TEST(pauses.Empty());
}

}  // namespace
}  // namespace toucanwharf::limits
