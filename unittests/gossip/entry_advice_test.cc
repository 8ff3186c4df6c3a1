#include "toucanwharf/gossip/entry_advice.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace toucanwharf::gossip {
namespace {

// Small instances would get as many callers as those with six times the core.
BOOST_AUTO_TEST_CASE(LargerInstancesAreDrawnMoreOften) {
  std::vector<AdvisedInstance> advised = {{"large", 0.5}};
  for (int i = 0; i < 99; ++i) advised.push_back({std::to_string(i), 0.084});
  Random random(7);
  std::map<std::string, int> drawn;
  constexpr int kRounds = 400;
  for (int i = 0; i < kRounds; ++i) {
    const auto chosen = DrawAdvised(advised, 64, random);
    BOOST_REQUIRE(chosen.size() == 64U);
    for (const std::string& address : chosen) ++drawn[address];
  }
  BOOST_TEST(drawn["large"] > kRounds * 95 / 100);
  BOOST_TEST(drawn["5"] < kRounds * 8 / 10);
  BOOST_TEST(DrawAdvised({{"a", 0}}, 64, random).size() == 1U);
}

}  // namespace
}  // namespace toucanwharf::gossip
