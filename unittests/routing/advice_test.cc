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
  for (int i = 0; i < 6; ++i) {
    const std::string number = std::to_string(i);
    instances.push_back(EntryInstance{"r" + number, "10.0.0." + number,
                                      "domain-" + std::to_string(i / 2), false,
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
// one, it would fill that instance while five idle.
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

// An instance is stopped on purpose. Callers with advice from just before
// connect to it for half a minute; if it closed its listener immediately, each
// of them would be refused.
BOOST_AUTO_TEST_CASE(LeavingInstanceServesUntilAllAdviceExpires) {
  const EntryAdvisor advisor;
  Random random(3);
  std::vector<EntryInstance> instances = SixInstances();
  const TimePoint announced{seconds(100)};
  const TimePoint received = announced + seconds(3);
  for (int caller = 0; caller < 1000; ++caller) {
    const Advice advice = advisor.For("c", 0.5, instances, random);
    BOOST_TEST(
        (received + advice.time_to_live <= advisor.ServeUntil(announced)));
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
  const std::uint64_t short_prefix = HashPrefix("master formula");
  const std::uint64_t long_prefix = HashPrefix("master formula, lot 7");
  index.Apply(Endpoint{0}, {1, CacheEvent::Kind::kStored, short_prefix, 100});
  index.Apply(Endpoint{1}, {1, CacheEvent::Kind::kStored, long_prefix, 180});
  const std::vector<std::uint64_t> prompt{long_prefix, short_prefix};
  BOOST_TEST(
      (index.Find(prompt, kAnyEndpoint) == CachedPrefix{Endpoint{1}, 180}));
  index.Apply(Endpoint{1}, {2, CacheEvent::Kind::kEvicted, long_prefix, 180});
  BOOST_TEST(
      (index.Find(prompt, kAnyEndpoint) == CachedPrefix{Endpoint{0}, 100}));
}

// Event 2, an eviction, is lost, and the index still has the entry; at its full
// length, requests would be sent far for a cache that isn't there.
BOOST_AUTO_TEST_CASE(EntriesFromBeforeAGapCountHalf) {
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
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    index.Apply(Endpoint{0}, {i, CacheEvent::Kind::kStored, i, 10});
  }
  int found = 0;
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    const std::vector<std::uint64_t> prompt{i};
    if (index.Find(prompt, kAnyEndpoint)) ++found;
  }
  BOOST_TEST(found == 8);
}

}  // namespace
}  // namespace toucanwharf::routing
