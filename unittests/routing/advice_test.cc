#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/routing/entry_advice.h"
#include "toucanwharf/routing/prefix_index.h"

namespace toucanwharf::routing {
namespace {

using std::chrono::seconds;

std::vector<EntryInstance> SixInstances() {
  std::vector<EntryInstance> instances;
  for (int at = 0; at < 6; ++at) {
    const std::string number = std::to_string(at);
    instances.push_back(EntryInstance{"r" + number, "10.0.0." + number,
                                      "domain-" + std::to_string(at / 2), false,
                                      0});
  }
  return instances;
}

std::set<std::string> DomainsOf(const Advice& advice) {
  std::set<std::string> domains;
  for (const EntryInstance& instance : SixInstances()) {
    const auto named = std::find(advice.addresses.begin(),
                                 advice.addresses.end(), instance.address);
    if (named != advice.addresses.end()) {
      domains.insert(instance.failure_domain);
    }
  }
  return domains;
}

BOOST_AUTO_TEST_CASE(SmallCustomersSpreadOverInstancesAndDomains) {
  const EntryAdvisor advisor;
  Random random(1);
  std::map<std::string, int> first;
  for (int customer = 0; customer < 480; ++customer) {
    const Advice advice = advisor.For("customer-" + std::to_string(customer),
                                      0.002, SixInstances(), random);
    BOOST_TEST(DomainsOf(advice).size() == 3u);
    ++first[advice.addresses.front()];
  }
  BOOST_TEST(first.size() == 6u);
  for (const auto& [address, count] : first) {
    BOOST_TEST(count > 50);
    BOOST_TEST(count < 110);
  }
}

// One customer sends half of all traffic. Hashed to one instance like a small
// one it would fill that instance while five idle.
BOOST_AUTO_TEST_CASE(LargeCustomerIsSpreadOverAll) {
  const EntryAdvisor advisor;
  Random random(2);
  std::map<std::string, int> first;
  for (int caller = 0; caller < 600; ++caller) {
    const Advice advice = advisor.For("large", 0.5, SixInstances(), random);
    BOOST_TEST(advice.addresses.size() == 6u);
    ++first[advice.addresses.front()];
  }
  BOOST_TEST(first.size() == 6u);
  for (const auto& [address, count] : first) BOOST_TEST(count > 60);
}

// An instance is stopped on purpose. Callers that hold advice from just before
// connect to it for half a minute; had it closed its listener at once, each of
// them would have been refused.
BOOST_AUTO_TEST_CASE(LeavingInstanceServesOutAllAdvice) {
  const EntryAdvisor advisor;
  Random random(3);
  std::vector<EntryInstance> instances = SixInstances();
  const TimePoint announced{seconds(100)};
  const TimePoint heard = announced + seconds(3);
  for (int caller = 0; caller < 1000; ++caller) {
    const Advice advice = advisor.For("c", 0.5, instances, random);
    BOOST_TEST((heard + advice.time_to_live <= advisor.ServeUntil(announced)));
  }
  instances[4].leaving = true;
  const Advice after = advisor.For("c", 0.5, instances, random);
  BOOST_TEST(std::count(after.addresses.begin(), after.addresses.end(),
                        instances[4].address) == 0);
}

BOOST_AUTO_TEST_CASE(TimesToLiveAreSpread) {
  const EntryAdvisor advisor;
  Random random(4);
  std::set<std::int64_t> seconds_seen;
  for (int caller = 0; caller < 200; ++caller) {
    const Advice advice = advisor.For("c", 0, SixInstances(), random);
    seconds_seen.insert(advice.time_to_live.count() / 1000000);
  }
  BOOST_TEST(seconds_seen.size() >= 10u);
}

BOOST_AUTO_TEST_CASE(LossOfOneInstanceMovesOnlyItsCustomers) {
  const EntryAdvisor advisor;
  Random random(5);
  std::vector<EntryInstance> fewer = SixInstances();
  fewer.erase(fewer.begin());
  int moved = 0;
  for (int customer = 0; customer < 480; ++customer) {
    const std::string name = "customer-" + std::to_string(customer);
    const Advice before = advisor.For(name, 0, SixInstances(), random);
    const Advice after = advisor.For(name, 0, fewer, random);
    if (before.addresses.front() == "10.0.0.0") continue;
    if (before.addresses.front() != after.addresses.front()) ++moved;
  }
  BOOST_TEST(moved == 0);
}

const auto kAnyEndpoint = [](Endpoint) { return true; };

BOOST_AUTO_TEST_CASE(LongestCachedPrefixIsFound) {
  PrefixIndex index;
  const std::uint64_t brief = HashPrefix("master formula");
  const std::uint64_t full = HashPrefix("master formula, lot 7");
  index.Apply(Endpoint{0}, {1, CacheEvent::Kind::kStored, brief, 100});
  index.Apply(Endpoint{1}, {1, CacheEvent::Kind::kStored, full, 180});
  const std::vector<std::uint64_t> prompt{full, brief};
  BOOST_TEST((index.Find(prompt, kAnyEndpoint) == CachedAt{Endpoint{1}, 180}));
  index.Apply(Endpoint{1}, {2, CacheEvent::Kind::kEvicted, full, 180});
  BOOST_TEST((index.Find(prompt, kAnyEndpoint) == CachedAt{Endpoint{0}, 100}));
}

// Event 2, an eviction, is lost. The index still believes in the entry; taken
// at its full worth, requests would be sent far for a cache that isn't there.
BOOST_AUTO_TEST_CASE(EntriesFromBeforeAGapAreWorthLess) {
  PrefixIndex index;
  const std::vector<std::uint64_t> prompt{HashPrefix("a")};
  index.Apply(Endpoint{0}, {1, CacheEvent::Kind::kStored, prompt[0], 100});
  index.Apply(Endpoint{0}, {3, CacheEvent::Kind::kStored, HashPrefix("b"), 9});
  BOOST_TEST(index.Find(prompt, kAnyEndpoint)->tokens == 50.0);
  index.Apply(Endpoint{0}, {4, CacheEvent::Kind::kStored, prompt[0], 100});
  BOOST_TEST(index.Find(prompt, kAnyEndpoint)->tokens == 100.0);
}

BOOST_AUTO_TEST_CASE(IndexIsBounded) {
  PrefixIndex index(8);
  for (std::uint64_t at = 1; at <= 1000; ++at) {
    index.Apply(Endpoint{0}, {at, CacheEvent::Kind::kStored, at, 10});
  }
  int found = 0;
  for (std::uint64_t at = 1; at <= 1000; ++at) {
    const std::vector<std::uint64_t> prompt{at};
    if (index.Find(prompt, kAnyEndpoint)) ++found;
  }
  BOOST_TEST(found == 8);
}

}  // namespace
}  // namespace toucanwharf::routing
