#include "toucanwharf/store/mirror.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::store {
namespace {

Object Named(const std::string& name, std::uint64_t version) {
  return Object{{"records", name}, {0, version}, "w", "{}"};
}

// A watch broke while a record was deleted, and the platform no longer has the
// revision to resume from. The new listing shows the deletion.
BOOST_AUTO_TEST_CASE(ListingAfterExpiredRevisionFindsDeletions) {
  Mirror mirror;
  mirror.OnListing({{0, 5}, {Named("a", 3), Named("b", 5)}});
  mirror.OnGone();
  BOOST_TEST(mirror.Next().list);
  const auto changes = mirror.OnListing({{0, 9}, {Named("b", 8)}});
  BOOST_TEST(changes.size() == 2u);
  BOOST_TEST(!mirror.Objects().contains("a"));
  BOOST_TEST((mirror.Next() == Mirror::Call{false, {0, 9}}));
}

// A lagging replica of the platform answers the listing with old state.
// Applying it would restore a deleted record.
BOOST_AUTO_TEST_CASE(OlderListingIsIgnored) {
  Mirror mirror;
  mirror.OnListing({{0, 5}, {Named("a", 3)}});
  mirror.OnEvents({0, 5}, {0, 7}, {{true, Named("a", 7)}});
  mirror.OnGone();
  BOOST_TEST(mirror.OnListing({{0, 5}, {Named("a", 3)}}).empty());
  BOOST_TEST(mirror.Objects().empty());
  BOOST_TEST(mirror.Next().list);
}

// The answer of a watch that timed out arrives after a newer one. It reports a
// record that was deleted since; the record must stay deleted.
BOOST_AUTO_TEST_CASE(AnswerOfAnOldWatchIsIgnored) {
  Mirror mirror;
  mirror.OnListing({{0, 5}, {Named("a", 3)}});
  mirror.OnEvents({0, 5}, {0, 8},
                  {{false, Named("b", 6)}, {true, Named("b", 8)}});
  const auto changes =
      mirror.OnEvents({0, 5}, {0, 6}, {{false, Named("b", 6)}});
  BOOST_TEST(changes.empty());
  BOOST_TEST(!mirror.Objects().contains("b"));
}

}  // namespace
}  // namespace toucanwharf::store
