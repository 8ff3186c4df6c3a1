#include "toucanwharf/support/ids.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "toucanwharf/support/random.h"

namespace toucanwharf {
namespace {

RC_BOOST_PROP(IdKeepsItsTime,
              (std::uint64_t millis, std::uint64_t high, std::uint64_t low)) {
  const std::uint64_t kept = millis & 0xffffffffffffULL;
  RC_ASSERT(MillisOf(IdFrom(kept, high, low)) == kept);
}

RC_BOOST_PROP(AnyTextIsAnIdOrNothing, (const std::string& text)) {
  const auto millis = MillisOf(text);
  RC_ASSERT(!millis.has_value() || text.size() == 36);
}

BOOST_AUTO_TEST_CASE(NewIdsDiffer) {
  std::set<std::string> seen;
  for (int round = 0; round < 1000; ++round) seen.insert(NewId());
  BOOST_TEST(seen.size() == 1000u);
}

RC_BOOST_PROP(IdNamesItsOrigin, (const std::string& origin)) {
  const std::string id = NewIdOf(origin);
  RC_ASSERT(MillisOf(id).has_value());
  RC_ASSERT(IsIdOf(id, origin));
  RC_ASSERT(!IsIdOf(id, origin + "x"));
}

BOOST_AUTO_TEST_CASE(HashIsSha256) {
  BOOST_TEST(
      Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(RandomRepeatsForASeed) {
  Random first(7);
  Random second(7);
  for (int round = 0; round < 100; ++round) BOOST_TEST(first() == second());
  BOOST_TEST(first.Unit() < 1.0);
}

}  // namespace
}  // namespace toucanwharf
