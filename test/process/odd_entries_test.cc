#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::Endpoints;

constexpr std::size_t kRouters = 2;
constexpr int kFollowsWithinMs = 6000;

/// An entry like that of an endpoint, with \p members in place of some.
std::string EntryWith(const std::string& members) {
  return R"({"service":"model","zone":"zone-1","version":"v1","slots":8,)"
         R"("state":"ready","cold_ms":0,"seq":1,"kind":"big",)" +
         members + "}";
}

std::string Nested(const std::string& open, const std::string& close) {
  constexpr int kLevels = 100'000;
  std::string text;
  for (int level = 0; level < kLevels; ++level) text += open;
  for (int level = 0; level < kLevels; ++level) text += close;
  return text;
}

/// Texts that another writer may leave among the endpoints, by what is odd.
std::vector<std::pair<std::string, std::string>> OddTexts() {
  const std::string address = R"("addr":"127.0.0.1:9")";
  return {
      {"nested lists", Nested("[", "]")},
      {"nested objects",
       EntryWith(address + R"(,"born":)" + Nested(R"({"a":[)", "]}"))},
      {"a number beyond range", EntryWith(address + R"(,"born":1e400)")},
      {"a number beyond an integer",
       EntryWith(address + R"(,"born":99999999999999999999999)")},
      {"layers beyond range",
       EntryWith(address + R"(,"layers":{"from":0,"target":4294967295})")},
      {"layers beyond the model",
       EntryWith(address + R"(,"layers":{"from":5,"target":900})")},
      {"a port beyond range", EntryWith(R"("addr":"127.0.0.1:99999")")},
      {"an address without a port", EntryWith(R"("addr":"127.0.0.1")")},
      {"half of a surrogate pair", R"({"service":"\ud800","addr":"x"})"},
      {"bytes that are no UTF-8", "{\"service\":\"\xff\xfe\"}"},
      {"a NUL", R"({"service":"\u0000","addr":"\u0000:1"})"},
      {"a key twice", EntryWith(address + R"(,"addr":[],"addr":7)")},
      {"a long string",
       EntryWith(R"("addr":")" + std::string(1UL << 20U, 'x') + "\"")},
  };
}

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
