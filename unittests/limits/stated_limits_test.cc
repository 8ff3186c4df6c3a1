#include "toucanwharf/limits/stated_limits.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::limits {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint32_t kEngine = 7;
constexpr TimePoint kStart{std::chrono::hours(1)};

BOOST_AUTO_TEST_CASE(PlainDecimalNumbersAreRates) {
  BOOST_TEST(ParseRate("4.6").value() == 4.6);
  BOOST_TEST(ParseRate("12").value() == 12);
  BOOST_TEST(ParseRate("0").value() == 0);
}

// Guards against a value of another writer that changes how much is sent.
BOOST_AUTO_TEST_CASE(OtherTextsAreNoRates) {
  for (const std::string& text :
       {std::string(), std::string("-1"), std::string("nan"),
        std::string("inf"), std::string("1e308"), std::string("4.6/s"),
        std::string("4.6, 5"), std::string("1.2.3"), std::string(" 4"),
        std::string("."), std::string("0x10"), std::string(5000, '9')}) {
    BOOST_TEST(!ParseRate(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(LimitHoldsUntilAnAnswerWithoutIt) {
  StatedLimits limits;
  BOOST_TEST(!limits.OnAnswer(kEngine, std::nullopt, kStart, kStart));
  BOOST_TEST(limits.Empty());
  BOOST_TEST(limits.OnAnswer(kEngine, 4.0, kStart, kStart + seconds(1)));
  BOOST_TEST(limits.Find(kEngine, kStart + seconds(2)).value() == 4);
  BOOST_TEST(limits.OnAnswer(kEngine, 2.0, kStart, kStart + seconds(2)));
  // Sent before the limit was stated.
  BOOST_TEST(!limits.OnAnswer(kEngine, std::nullopt, kStart + seconds(1),
                              kStart + seconds(3)));
  BOOST_TEST(limits.Find(kEngine, kStart + seconds(3)).value() == 2);
  BOOST_TEST(limits.OnAnswer(kEngine, std::nullopt, kStart + seconds(3),
                             kStart + seconds(4)));
  BOOST_TEST(!limits.Find(kEngine, kStart + seconds(4)).has_value());
}

// Guards against an endpoint that is never used again, because it can't tell
// that its need is over.
BOOST_AUTO_TEST_CASE(LimitEndsWithoutAnswers) {
  StatedLimits limits;
  limits.OnAnswer(kEngine, 4.0, kStart, kStart);
  limits.OnAnswer(8, 0.05, kStart, kStart);
  limits.OnAnswer(9, 0.0, kStart, kStart);
  BOOST_TEST(limits.Count(kStart + seconds(29)) == 3U);
  BOOST_TEST(!limits.Find(kEngine, kStart + seconds(31)).has_value());
  BOOST_TEST(!limits.Find(9, kStart + seconds(31)).has_value());
  BOOST_TEST(limits.Find(8, kStart + seconds(79)).has_value());
  BOOST_TEST(!limits.Find(8, kStart + seconds(81)).has_value());
  limits.Reports(kStart + minutes(2), true);
  BOOST_TEST(limits.Empty());
}

// Guards against a limit that only the instance knows to which it was stated.
BOOST_AUTO_TEST_CASE(NewestStatementHoldsAtAllInstances) {
  StatedLimits told;
  StatedLimits other;
  told.OnAnswer(kEngine, 4.0, kStart, kStart);
  const TimePoint later = kStart + seconds(1);
  BOOST_TEST(other.Merge(told.Reports(later, false).front(), later));
  BOOST_TEST(!other.Merge(told.Reports(later, false).front(), later));
  BOOST_TEST(other.Find(kEngine, later).value() == 4);
  BOOST_TEST(other.OnAnswer(kEngine, std::nullopt, later + milliseconds(1),
                            later + milliseconds(50)));
  const TimePoint last = later + seconds(1);
  BOOST_TEST(!other.Merge(told.Reports(last, false).front(), last));
  BOOST_TEST(told.Merge(other.Reports(last, false).front(), last));
  BOOST_TEST(!told.Find(kEngine, last).has_value());
}

// Guards against an instance that starts between two answers of an endpoint
// that takes a request in many seconds, and is told nothing.
BOOST_AUTO_TEST_CASE(LimitIsReportedAsLongAsItHolds) {
  StatedLimits limits;
  limits.OnAnswer(kEngine, 0.05, kStart, kStart);
  BOOST_TEST(limits.Reports(kStart + seconds(60), false).size() == 1U);
  BOOST_TEST(limits.Reports(kStart + seconds(81), false).empty());
  limits.OnAnswer(kEngine, 0.05, kStart, kStart + seconds(90));
  limits.OnAnswer(kEngine, std::nullopt, kStart + seconds(91),
                  kStart + seconds(92));
  BOOST_TEST(limits.Reports(kStart + seconds(101), false).size() == 1U);
  BOOST_TEST(limits.Reports(kStart + seconds(103), false).empty());
}

// Guards against instances that keep a limit alive among themselves.
BOOST_AUTO_TEST_CASE(OnlyTheLeaderForwardsWhatItHeard) {
  StatedLimits limits;
  limits.Merge({kEngine, 4.0, seconds(1)}, kStart);
  BOOST_TEST(limits.Reports(kStart, false).empty());
  BOOST_TEST(limits.Reports(kStart, true).size() == 1U);
}

}  // namespace
}  // namespace toucanwharf::limits
