#include "test/process/odd_entries.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::Endpoints;

constexpr std::size_t kRouters = 2;
constexpr int kFollowsWithinMs = 6000;

/// Checks that all routers serve, and go on to follow the list: an endpoint
/// that begins to drain gets nothing new.
void CheckServes(PlatformFleet& fleet, const std::string& what) {
  for (std::size_t router = 0; router < kRouters; ++router) {
    const bool serves = PlatformFleet::Eventually(
        [&] {
          return fleet.Stream(router, "after " + what).ids.size() ==
                 Endpoints::kEvents;
        },
        kFollowsWithinMs);
    BOOST_TEST(serves, "router " << router << " doesn't serve beside " << what);
  }
}

// Guards against one entry of another writer that ends each router which reads
// the list of endpoints, or keeps it from reading the others.
BOOST_AUTO_TEST_CASE(OddEntryAmongTheEndpointsHidesNoOther) {
  for (const auto& [what, text] : OddTexts()) {
    PlatformFleet fleet(kRouters);
    fleet.RunOnLoop([&, &entry = text] {
      fleet.Store().PutText("servers", "an odd entry", entry);
    });
    CheckServes(fleet, what);
    // All endpoints are replaced, and all routers start again.
    for (const std::string& id : PlatformFleet::EngineIds()) {
      fleet.RunOnLoop([&] { fleet.Endpoints().CrashAndRestart(id); });
    }
    CheckServes(fleet, what + ", with other endpoints");
    for (std::size_t i = 0; i < kRouters; ++i) fleet.Router(i).Kill();
    for (std::size_t i = 0; i < kRouters; ++i) fleet.StartRouter(i);
    CheckServes(fleet, what + ", after a restart");
  }
}

}  // namespace
}  // namespace toucanwharf::process_test
