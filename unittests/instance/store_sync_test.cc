#include "toucanwharf/instance/store_sync.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

// An engine said that it leaves, and one instance sent it a request 4 ms after
// the bound (I5): nobody vouched for its list any more, and its own read was
// begun so late that a slow answer came after the bound.
BOOST_AUTO_TEST_CASE(ReadAfterTheLastProofEndsWithinTheBound) {
  for (const int bound_millis : {2000, 3000}) {
    const Duration bound = milliseconds(bound_millis);
    const StoreSyncTimes times(bound);
    BOOST_CHECK(times.oldest_proof + times.look_period + kLongestStoreCall <=
                bound);
    // What the reader vouches for, and a beacon that is lost, come before it.
    BOOST_CHECK(times.reader_period + times.look_period + milliseconds(250) <
                times.oldest_proof);
  }
}

}  // namespace
}  // namespace toucanwharf::instance
