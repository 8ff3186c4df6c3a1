#include "toucanwharf/placement/expected_returns.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "models.h"

namespace toucanwharf::placement {
namespace {

Accelerator Engine(const std::string& id) {
  return {id, "a", "large", {0, 26}};
}

Accelerator EmptyEngine(const std::string& id) {
  return {id, "a", "large", {}};
}

BOOST_AUTO_TEST_CASE(LostEngineIsExpectedWithItsLayers) {
  ExpectedReturns returns;
  returns.Update({Engine("x")}, {}, At(0));
  returns.Update({}, {}, At(1));
  const auto expected = returns.Expected(At(1));
  BOOST_REQUIRE(expected.size() == 1U);
  BOOST_TEST((expected[0].engine.layers == pipeline::LayerRange{0, 26}));
  BOOST_TEST(expected[0].engine.Serves().Count() == 0U);
  BOOST_TEST(returns.Expected(At(7)).empty());
}

BOOST_AUTO_TEST_CASE(NewEngineOfTheKindReplacesTheLostOne) {
  ExpectedReturns returns;
  returns.Update({Engine("x")}, {}, At(0));
  returns.Update({}, {}, At(1));
  returns.Update({EmptyEngine("y")}, {}, At(2));
  BOOST_TEST(returns.Expected(At(2)).empty());
}

// Guards against waiting for an engine that was taken away.
BOOST_AUTO_TEST_CASE(DepartedEngineIsNotExpected) {
  ExpectedReturns returns;
  returns.Update({Engine("x")}, {}, At(0));
  returns.Update({}, {"x"}, At(1));
  BOOST_TEST(returns.Expected(At(1)).empty());
}

// Guards against waiting again and again where engines are lost for good.
BOOST_AUTO_TEST_CASE(NoneIsExpectedWhereNoneCameBack) {
  ExpectedReturns returns;
  returns.Update({Engine("x"), Engine("y"), Engine("z")}, {}, At(0));
  returns.Update({Engine("z")}, {}, At(1));
  returns.Update({Engine("z")}, {}, At(20));
  returns.Update({}, {}, At(21));
  BOOST_TEST(returns.Expected(At(21)).empty());
}

BOOST_AUTO_TEST_CASE(PatienceFollowsTheReturnsSeen) {
  ExpectedReturns returns;
  returns.Update({Engine("x")}, {}, At(0));
  returns.Update({}, {}, At(1));
  returns.Update({Engine("y")}, {}, At(2));
  returns.Update({}, {}, At(10));
  BOOST_TEST(returns.Expected(At(11.4)).size() == 1U);
  BOOST_TEST(returns.Expected(At(11.6)).empty());
}

}  // namespace
}  // namespace toucanwharf::placement
