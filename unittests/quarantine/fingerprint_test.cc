#include "toucanwharf/quarantine/fingerprint.h"

#include <boost/test/unit_test.hpp>
#include <string>

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
        "+2345678-123456789abcdef0", "0x345678-123456789abcdef0", "part-",
        "part-12", "part-0x23456789abcdef", "part-123456789abcdef0a"}) {
    BOOST_TEST(!FingerprintFromText(text).has_value(), text);
  }
}

// Guards against a part that is not recognised in another prompt, and against
// requests that are taken for one another by the part that is their own.
BOOST_AUTO_TEST_CASE(SharedPartsAreRecognisedInAnyPrompt) {
  const auto parts =
      FingerprintsOfSharedParts("5c1e07a2:800,91bd3f06:410,e4:2");
  BOOST_REQUIRE(parts.size() == 2U);
  const auto others = FingerprintsOfSharedParts(" 91BD3F06:7 ,e4,e4:1,aa:3");
  BOOST_REQUIRE(others.size() == 2U);
  BOOST_TEST((others.front() == parts.back()));
  BOOST_TEST((parts.front() != parts.back()));
  BOOST_TEST(FingerprintsOfSharedParts("e4402b7d:250").empty());
  BOOST_TEST(FingerprintsOfSharedParts("").empty());
  BOOST_TEST((FingerprintFromText(ToText(parts.front())) == parts.front()));
}

BOOST_AUTO_TEST_CASE(OnlyTheFirstPartsOfLongListsCount) {
  std::string list;
  for (int number = 0; number < 1000; ++number) {
    list += std::to_string(number) + ":1,";
  }
  BOOST_TEST(FingerprintsOfSharedParts(list).size() == kMaxSharedParts);
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
