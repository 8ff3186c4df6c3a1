#include "toucanwharf/endpoints/life_proofs.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::endpoints {
namespace {

TimePoint At(int millis) {
  return TimePoint{std::chrono::milliseconds(millis)};
}

// Guards against an endpoint that has ended meanwhile and is still vouched for.
BOOST_AUTO_TEST_CASE(ProofsAndDisputesExpire) {
  LifeProofs proofs;
  proofs.Dispute("a", At(0));
  proofs.OnPeerProof("b", At(0));
  BOOST_TEST(proofs.IsDisputed("a", At(999)));
  BOOST_TEST(!proofs.IsDisputed("a", At(1000)));
  BOOST_TEST(proofs.IsProven("b", At(1499)));
  BOOST_TEST(!proofs.IsProven("b", At(1500)));
  BOOST_TEST(proofs.Disputed(At(1000)).empty());
}

// Guards against a proof that is passed on from peer to peer and never ends.
BOOST_AUTO_TEST_CASE(ProofsOfPeersAreNotPassedOn) {
  LifeProofs proofs;
  proofs.OnPeerProof("a", At(0));
  BOOST_TEST(proofs.Disputed(At(1)).empty());
  BOOST_TEST(!proofs.IsDisputed("a", At(1)));
}

}  // namespace
}  // namespace toucanwharf::endpoints
