#include "toucanwharf/instance/registration.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::instance {
namespace {

BOOST_AUTO_TEST_CASE(RegistrationCanBeReadBack) {
  const Registration registration{"10.0.0.1:80", "a", 0.5};
  BOOST_CHECK(RegistrationFromText(ToText(registration)) == registration);
}

// Guards against a new instance that does not find those of the previous build.
BOOST_AUTO_TEST_CASE(AddressAloneIsARegistration) {
  const auto read = RegistrationFromText("\"10.0.0.1:80\"");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->address == "10.0.0.1:80");
}

// Guards against an entry of another writer that terminates the process.
BOOST_AUTO_TEST_CASE(MalformedEntriesAreRejected) {
  for (const char* text : {"", "7", "{", "[]", "{}", "{\"address\":1}",
                           "{\"address\":\"x\",\"domain\":2,\"share\":3}"}) {
    BOOST_CHECK(!RegistrationFromText(text));
  }
}

}  // namespace
}  // namespace toucanwharf::instance
