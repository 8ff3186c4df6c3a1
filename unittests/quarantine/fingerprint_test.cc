#include "toucanwharf/quarantine/fingerprint.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::quarantine {
namespace {

constexpr RequestContent kContent{"customer", "POST", "/chat/one", "a prompt"};

BOOST_AUTO_TEST_CASE(RepeatsShareAFingerprint) {
  const RequestContent repeat = kContent;
  BOOST_TEST((FingerprintOf(repeat) == FingerprintOf(kContent)));
  const std::string text = ToText(FingerprintOf(kContent));
  BOOST_TEST((FingerprintFromText(text) == FingerprintOf(kContent)));
}

BOOST_AUTO_TEST_CASE(MalformedTextsAreNoFingerprints) {
  for (const char* text :
       {"", "12345678-123456789abcdef", "12345678_123456789abcdef0",
        "+2345678-123456789abcdef0", "0x345678-123456789abcdef0"}) {
    BOOST_TEST(!FingerprintFromText(text).has_value(), text);
  }
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
