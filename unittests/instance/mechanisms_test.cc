#include "toucanwharf/instance/mechanisms.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::instance {
namespace {

BOOST_AUTO_TEST_CASE(NamedMechanismsAreOff) {
  const ParsedMechanisms parsed =
      WithoutMechanisms("room-queue,spread-resumed");
  BOOST_TEST(parsed.problems.empty());
  Mechanisms expected;
  expected.room_queue = false;
  expected.spread_resumed = false;
  BOOST_TEST((parsed.mechanisms == expected));
  BOOST_TEST((WithoutMechanisms("").mechanisms == Mechanisms()));
}

// A name with a typing error would leave the mechanism on and the measurement
// worthless; the operator is told which names there are.
BOOST_AUTO_TEST_CASE(UnknownNameIsNamedWithTheKnownOnes) {
  const ParsedMechanisms parsed = WithoutMechanisms("room-queue,rom-queue");
  BOOST_REQUIRE(parsed.problems.size() == 1U);
  BOOST_TEST(parsed.problems[0].find("'rom-queue'") != std::string::npos);
  BOOST_TEST(parsed.problems[0].find("room-queue, ") != std::string::npos);
}

}  // namespace
}  // namespace toucanwharf::instance
