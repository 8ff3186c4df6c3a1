#include "toucanwharf/quarantine/fingerprint.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::quarantine {
namespace {

constexpr RequestContent kContent{"customer", "POST", "/chat/one", "a prompt"};

BOOST_AUTO_TEST_CASE(RepeatsShareAFingerprint) {
  const RequestContent repeat = kContent;
  BOOST_TEST((FingerprintOf(repeat) == FingerprintOf(kContent)));
  BOOST_TEST(ToText(FingerprintOf(kContent)).size() == 16U);
}

BOOST_AUTO_TEST_CASE(EveryPartDistinguishesRequests) {
  const Fingerprint whole = FingerprintOf(kContent);
  RequestContent other = kContent;
  other.customer = "another";
  BOOST_TEST((FingerprintOf(other) != whole));
  other = kContent;
  other.method = "GET";
  BOOST_TEST((FingerprintOf(other) != whole));
  other = kContent;
  other.target = "/chat/two";
  BOOST_TEST((FingerprintOf(other) != whole));
  other = kContent;
  other.body = "another prompt";
  BOOST_TEST((FingerprintOf(other) != whole));
}

}  // namespace
}  // namespace toucanwharf::quarantine
