#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::Endpoints;
using standins::fleet::LinkFault;

constexpr std::size_t kRouters = 4;
constexpr std::size_t kCallersPerRouter = 3;
constexpr std::chrono::milliseconds kDetection{1000};
constexpr std::chrono::milliseconds kObserved{4000};
constexpr std::chrono::milliseconds kCallerPause{60};
/// First tries at routers that are cut off are served at this part of the rate
/// at the others, and of those at the others this part is served.
constexpr double kMinServedPart = 0.9;
constexpr double kMinServed = 0.97;

enum Kind : std::size_t { kStream, kRead, kSign, kKinds };

/// First tries at one router, by kind.
struct Served {
  std::array<std::atomic<int>, kKinds> sent{};
  std::array<std::atomic<int>, kKinds> served{};

  double Share(Kind kind) const {
    const int all = this->sent[kind];
    return all == 0 ? 0 : static_cast<double>(this->served[kind]) / all;
  }
};

using ServedByRouter = std::array<Served, kRouters>;

bool IsServed(PlatformFleet& fleet, std::size_t router, Kind kind,
              const std::string& id) {
  switch (kind) {
    case kStream: {
      const auto stream = fleet.Stream(router, id);
      return stream.answer.status == http::kOk &&
             stream.ids.size() == Endpoints::kEvents;
    }
    case kRead:
      return fleet.Plain(router, "/read/x", id).status == http::kOk;
    default:
      return fleet.Plain(router, "/sign/x", id).status == http::kOk;
  }
}

/// Sends requests of all kinds to all routers for kObserved.
void CallAll(PlatformFleet& fleet, ServedByRouter& observed) {
  std::atomic<int> numbers{0};
  const auto until = std::chrono::steady_clock::now() + kObserved;
  std::vector<std::thread> callers;
  for (std::size_t caller = 0; caller < kRouters * kCallersPerRouter;
       ++caller) {
    callers.emplace_back([&, caller] {
      const std::size_t router = caller % kRouters;
      while (std::chrono::steady_clock::now() < until) {
        const int number = ++numbers;
        const auto kind =
            static_cast<Kind>(static_cast<std::size_t>(number) % kKinds);
        ++observed[router].sent[kind];
        const std::string id = "during-" + std::to_string(number);
        if (IsServed(fleet, router, kind, id)) {
          ++observed[router].served[kind];
        }
        std::this_thread::sleep_for(kCallerPause);
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
}

/// A fleet of which the links of the first routers are cut.
class CutFleet {
 public:
  /// Cuts the links to the endpoints \p ids, or to all if there are none.
  CutFleet(std::size_t cut_routers, LinkFault how,
           const std::vector<std::string>& ids = {})
      : fleet(kRouters), cut(cut_routers) {
    for (std::size_t router = 0; router < this->cut; ++router) {
      this->fleet.CutLinks(router, how, ids);
    }
    this->CallDuringDetection();
    CallAll(this->fleet, this->observed);
  }

  /// Checks how first tries at the routers with a path were served.
  void CheckOthers() {
    for (const Kind kind : {kStream, kRead, kSign}) {
      for (std::size_t router = this->cut; router < kRouters; ++router) {
        const double share = this->observed[router].Share(kind);
        BOOST_TEST(share >= kMinServed,
                   "router " << router << ", kind " << kind << ": " << share);
      }
    }
    this->CheckEndpoints();
  }

  /// Checks how first tries at the routers without a path were served, against
  /// those of the others.
  void CheckCut() {
    for (const Kind kind : {kStream, kRead, kSign}) {
      double at_others = 1;
      for (std::size_t router = this->cut; router < kRouters; ++router) {
        at_others = std::min(at_others, this->observed[router].Share(kind));
      }
      BOOST_TEST(at_others > 0, "kind " << kind << " is served nowhere");
      for (std::size_t router = 0; router < this->cut; ++router) {
        const double share = this->observed[router].Share(kind);
        BOOST_TEST(share >= kMinServedPart * at_others,
                   "router " << router << ", kind " << kind << ": " << share
                             << ", others " << at_others);
      }
    }
    this->CheckEndpoints();
  }

 private:
  void CallDuringDetection() {
    const auto until = std::chrono::steady_clock::now() + kDetection;
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
      const auto router = static_cast<std::size_t>(i) % kRouters;
      IsServed(this->fleet, router, kRead, "early-" + std::to_string(i));
    }
  }

  void CheckEndpoints() {
    std::vector<std::string> violations;
    this->fleet.RunOnLoop(
        [&] { violations = this->fleet.Endpoints().Violations(); });
    BOOST_TEST(violations.empty());
  }

  PlatformFleet fleet;
  std::size_t cut;
  ServedByRouter observed;
};

// Guards against the word of a router without a path to endpoints that makes
// the others avoid them.
BOOST_AUTO_TEST_CASE(OthersServeWhileOneRouterCannotReachEndpoints) {
  CutFleet(1, LinkFault::kSilent).CheckOthers();
}

// The same where the links of most routers are reset and stay so.
BOOST_AUTO_TEST_CASE(OneServesWhileMostRoutersAreResetByEndpoints) {
  CutFleet(3, LinkFault::kReset).CheckOthers();
}

// Guards against a router without a path to endpoints that fails its callers,
// though others could serve them.
BOOST_AUTO_TEST_CASE(CallersOfARouterThatCannotReachEndpointsAreServed) {
  CutFleet(1, LinkFault::kSilent).CheckCut();
}

// The same where the links of most routers are reset and stay so.
BOOST_AUTO_TEST_CASE(CallersOfMostRoutersAreServedByTheOneThatIsNotReset) {
  CutFleet(3, LinkFault::kReset).CheckCut();
}

// Guards against callers that are refused at a router which reaches the engines
// and none of the endpoints of another service, while others reach them.
BOOST_AUTO_TEST_CASE(CallersOfAServiceThatOneRouterCannotReachAreServed) {
  CutFleet(1, LinkFault::kSilent, {"plain-0", "plain-1"}).CheckCut();
}

// Guards against a request that is given up because the only router that could
// serve it takes long.
BOOST_AUTO_TEST_CASE(SlowAnswerByWayOfTheOnlyOtherRouterIsAwaited) {
  PlatformFleet fleet(2);
  fleet.CutLinks(0, LinkFault::kSilent);
  BOOST_REQUIRE(PlatformFleet::Eventually(
      [&] {
        fleet.Plain(0, "/read/x", "finds-out");
        return !fleet.Ready(0);
      },
      3000));
  fleet.RunOnLoop([&] {
    for (const char* id : {"plain-0", "plain-1"}) {
      fleet.Endpoints().SetFault(id, standins::fleet::EndpointFault::kSlow);
    }
  });
  BOOST_TEST(fleet.Plain(0, "/read/x", "slow").status == http::kOk);
}

// Guards against callers that go on by way of other routers, or are sent
// nowhere, after the path is back.
BOOST_AUTO_TEST_CASE(RouterServesItselfWithinASecondOfTheReturnOfItsPath) {
  PlatformFleet fleet(2);
  fleet.CutLinks(0, LinkFault::kSilent);
  const bool found_out = PlatformFleet::Eventually(
      [&] {
        fleet.Plain(0, "/read/x", "finds-out");
        return !fleet.Ready(0);
      },
      3000);
  BOOST_TEST(found_out);
  BOOST_TEST(fleet.Advice(1).size() == 1U);
  fleet.HealLinks(0);
  BOOST_TEST(PlatformFleet::Eventually([&] { return fleet.Ready(0); }, 1000));
  BOOST_TEST(PlatformFleet::Eventually(
      [&] { return fleet.Advice(1).size() == 2U; }, 1000));
  const std::string before = fleet.Metrics(0);
  BOOST_TEST(fleet.Stream(0, "direct").answer.status == http::kOk);
  const auto forwarded = [](const std::string& metrics) {
    const std::string name = "\ntoucanwharf_forwarded_total ";
    return std::stoi(metrics.substr(metrics.find(name) + name.size()));
  };
  BOOST_TEST(forwarded(fleet.Metrics(0)) == forwarded(before));
}

}  // namespace
}  // namespace toucanwharf::process_test
