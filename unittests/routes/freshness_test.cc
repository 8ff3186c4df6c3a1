#include "toucanwharf/routes/freshness.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::routes {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

// A key is revoked while an instance can't read the store. It must stop
// admitting keys before the bound is over, counted from the beginning of its
// last read.
BOOST_AUTO_TEST_CASE(ConfirmationExpiresBeforeTheBound) {
  Freshness freshness(milliseconds(5000), milliseconds(100));
  BOOST_TEST(!freshness.Holds(At(0)));
  freshness.Confirm(At(1000));
  BOOST_TEST(freshness.Holds(At(5899)));
  BOOST_TEST(!freshness.Holds(At(5900)));
}

// Responses arrive out of order; an older confirmation must not replace a newer
// one.
BOOST_AUTO_TEST_CASE(OlderConfirmationChangesNothing) {
  Freshness freshness(milliseconds(5000), milliseconds(100));
  freshness.Confirm(At(3000));
  freshness.Confirm(At(1000));
  BOOST_TEST((freshness.Age(At(3500)) == milliseconds(500)));
}

// While the store is unreachable hundreds of instances request confirmations
// that are about to expire, 30 times a second each.
BOOST_AUTO_TEST_CASE(OldConfirmationIsNotWorthARequest) {
  Freshness freshness(milliseconds(5000), milliseconds(100));
  // Confirmed up to a second after those that expire now.
  BOOST_TEST((milliseconds(3900) >= freshness.MaxRequestedAge()));
  // Confirmed by the leader's regular read.
  BOOST_TEST((milliseconds(1500) < freshness.MaxRequestedAge()));
}

}  // namespace
}  // namespace toucanwharf::routes
