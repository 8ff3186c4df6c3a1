#include "toucanwharf/gossip/forward_choice.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace toucanwharf::gossip {
namespace {

/// Returns the share of requests that each candidate gets.
std::map<std::string, double> Shares(
    const std::vector<ForwardCandidate>& candidates) {
  constexpr int kRequests = 10000;
  Random random(1);
  std::map<std::string, double> shares;
  for (int i = 0; i < kRequests; ++i) {
    shares[*ChooseForward(candidates, random)] += 1.0 / kRequests;
  }
  return shares;
}

BOOST_AUTO_TEST_CASE(NobodyIsChosenWithoutCandidates) {
  Random random(1);
  BOOST_TEST(!ChooseForward({}, random).has_value());
}

// Guards against one peer that gets the requests of a whole failure domain
// while others idle.
BOOST_AUTO_TEST_CASE(EqualPeersShareTheRequests) {
  const auto shares = Shares(
      {{"a", false, 30, 0.25}, {"b", false, 30, 0.25}, {"c", false, 30, 0.25}});
  for (const auto& [peer, share] : shares) {
    BOOST_TEST(share > 0.2, peer);
    BOOST_TEST(share < 0.5, peer);
  }
}

// Guards against requests that cross the links between failure domains without
// need.
BOOST_AUTO_TEST_CASE(PeerInTheOwnDomainIsPreferredWhileItHasRoom) {
  const auto shares =
      Shares({{"near", true, 10, 0.25}, {"far", false, 5, 0.25}});
  BOOST_TEST(shares.at("near") == 1, boost::test_tools::tolerance(1e-9));
}

// Guards against a peer that is flooded because it is near.
BOOST_AUTO_TEST_CASE(LoadedPeerInTheOwnDomainIsSpared) {
  const auto shares =
      Shares({{"near", true, 40, 0.25}, {"far", false, 5, 0.25}});
  BOOST_TEST(shares.at("far") == 1, boost::test_tools::tolerance(1e-9));
}

// Guards against a weak instance that gets as much as a strong one.
BOOST_AUTO_TEST_CASE(StrongerPeerGetsMoreAtEqualLoad) {
  const auto shares =
      Shares({{"weak", true, 10, 0.05}, {"strong", true, 10, 0.25}});
  BOOST_TEST(shares.at("strong") == 1, boost::test_tools::tolerance(1e-9));
}

}  // namespace
}  // namespace toucanwharf::gossip
