#include "toucanwharf/instance/mechanisms.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::instance {
namespace {

BOOST_AUTO_TEST_CASE(NamedMechanismsAreDisabled) {
  const ParsedMechanisms parsed =
      WithoutMechanisms("room-queue,spread-resumed");
  BOOST_TEST(parsed.problems.empty());
  Mechanisms expected;
  expected.capacity_queue = false;
  expected.spread_resumed = false;
  BOOST_TEST((parsed.mechanisms == expected));
  BOOST_TEST((WithoutMechanisms("").mechanisms == Mechanisms()));
}

// Guards against a misspelled name that leaves the mechanism enabled and makes
// the measurement worthless: the operator gets the list of known names.
BOOST_AUTO_TEST_CASE(UnknownNameIsReportedWithTheKnownOnes) {
  const ParsedMechanisms parsed = WithoutMechanisms("room-queue,rom-queue");
  BOOST_REQUIRE(parsed.problems.size() == 1U);
  BOOST_TEST(parsed.problems[0].find("'rom-queue'") != std::string::npos);
  BOOST_TEST(parsed.problems[0].find("room-queue, ") != std::string::npos);
}

}  // namespace
}  // namespace toucanwharf::instance
