#include "toucanwharf/admission/claim.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "toucanwharf/admission/request_size.h"
#include "toucanwharf/admission/usual_time.h"

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

// A caller's malformed size claims all capacity, or hides a long answer.
BOOST_AUTO_TEST_CASE(UnreadableSizeCountsAsNotStated) {
  const StatedSize sound{760, 43, false};
  BOOST_TEST((ReadStatedSize("760,150", "43") == sound));
  BOOST_TEST(
      (ReadStatedSize("760,100", std::nullopt) == StatedSize{760, 60, false}));
  const std::string digits(5000, '9');
  for (const std::string& hint :
       {std::string("nan"), std::string("-5"), std::string("inf"), digits,
        std::string("4x"), std::string()}) {
    BOOST_TEST((ReadStatedSize("760,100", hint) == StatedSize{760, 60, true}));
  }
  BOOST_TEST((ReadStatedSize("760,100", "0") == StatedSize{760, 0, false}));
  BOOST_TEST((ReadStatedSize("1e300,100", "9") == StatedSize{0, 9, true}));
  BOOST_TEST((ReadStatedSize("nonsense", "9") == StatedSize{0, 0, true}));
  BOOST_TEST((ReadStatedSize("", std::nullopt) == StatedSize{}));
}

// An operator's mistyped rank must not break the order of the others.
BOOST_AUTO_TEST_CASE(RankIsTheCustomersElseTheRoutesWithinItsRange) {
  BOOST_TEST(EffectiveRank(std::nullopt, std::nullopt) == kDefaultRank);
  BOOST_TEST(EffectiveRank(std::nullopt, 2) == 2);
  BOOST_TEST(EffectiveRank(1, 2) == 1);
  BOOST_TEST(EffectiveRank(-1, 2) == 0);
  BOOST_TEST(EffectiveRank(10, 2) == 9);
  BOOST_TEST(EffectiveRank(std::nullopt, 1'000'000'000) == 9);
}

// Retries counted as new requests would be promised to be on time.
BOOST_AUTO_TEST_CASE(RetryIsToldByTheTimeThatIsLeft) {
  UsualTime usual;
  const auto age = [&](int stated, int now) {
    return usual.RecordAttempt("r", milliseconds(stated), At(now));
  };
  BOOST_TEST((age(20000, 0) == Duration(0)));
  BOOST_TEST((age(20000, 1) == Duration(0)));
  BOOST_TEST((age(19200, 2) == milliseconds(800)));
  BOOST_TEST((age(9000, 3) == Duration(0)));
  BOOST_TEST((age(19960, 4) == Duration(0)));
  BOOST_TEST((age(20000, 12000) == Duration(0)));
  BOOST_TEST((age(19500, 12001) == milliseconds(500)));
  BOOST_TEST((usual.RecordAttempt("other", milliseconds(500), At(12002)) ==
              Duration(0)));
}

}  // namespace
}  // namespace toucanwharf::admission
