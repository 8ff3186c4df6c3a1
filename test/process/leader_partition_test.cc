#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::LinkFault;

bool Leads(PlatformFleet& fleet, std::size_t router) {
  return fleet.Metrics(router).find("\ntoucanwharf_leads 1\n") !=
         std::string::npos;
}

std::uint64_t Orders(PlatformFleet& fleet) {
  std::uint64_t orders = 0;
  fleet.RunOnLoop([&] { orders = fleet.Endpoints().Orders(); });
  return orders;
}

// Guards against a leader without a path to engines that keeps the others from
// placing layers, and has all layers loaded anew when its path is back.
BOOST_AUTO_TEST_CASE(LeaderThatCannotReachEnginesHandsOverAndLeavesTheLayout) {
  PlatformFleet fleet(3);
  std::size_t leader = 0;
  BOOST_REQUIRE(PlatformFleet::Eventually([&] {
    while (leader < 2 && !Leads(fleet, leader)) ++leader;
    return Leads(fleet, leader);
  }));
  const std::uint64_t orders = Orders(fleet);
  fleet.CutLinks(leader, LinkFault::kSilent);
  const bool handed_over = PlatformFleet::Eventually(
      [&] {
        for (std::size_t router = 0; router < 3; ++router) {
          if (router != leader && Leads(fleet, router)) return true;
        }
        return false;
      },
      4000);
  BOOST_TEST(handed_over);
  BOOST_TEST(!Leads(fleet, leader));
  // The old leader would count the engines as lost by now.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet.HealLinks(leader);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  BOOST_TEST(Orders(fleet) == orders);
  BOOST_TEST(fleet.Stream(leader, "after").answer.status == http::kOk);
}

const std::vector<std::string> kFirstDomain = {
    "domain-a-0", "domain-a-1", "domain-a-2", "domain-a-3", "domain-a-4"};

// Guards against a leader that takes the engines which it alone can't reach for
// lost, and moves the layers of the fleet.
BOOST_AUTO_TEST_CASE(LeaderWithoutAPathToADomainLeavesTheLayoutAlone) {
  PlatformFleet fleet(3);
  std::size_t leader = 0;
  BOOST_REQUIRE(PlatformFleet::Eventually([&] {
    while (leader < 2 && !Leads(fleet, leader)) ++leader;
    return Leads(fleet, leader);
  }));
  const std::uint64_t orders = Orders(fleet);
  fleet.CutLinks(leader, LinkFault::kSilent, kFirstDomain);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  BOOST_TEST(Orders(fleet) == orders);
  BOOST_TEST(fleet.Stream(leader, "during").answer.status == http::kOk);
}

}  // namespace
}  // namespace toucanwharf::process_test
