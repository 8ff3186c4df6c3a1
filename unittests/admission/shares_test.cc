#include "toucanwharf/admission/shares.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace toucanwharf::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Serves `count` pieces of `cost` tokens to the next customer in order, all
/// customers having endless work. Returns the tokens of each.
std::map<CustomerNumber, double> Serve(Shares& shares, int count, double cost) {
  std::map<CustomerNumber, double> served;
  for (int piece = 0; piece < count; ++piece) {
    const CustomerNumber next = shares.Turns().begin()->second;
    shares.Charge(next, cost);
    served[next] += cost;
  }
  return served;
}

RC_BOOST_PROP(TokensFollowWeights, ()) {
  const auto weights =
      *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(1, 10));
  Shares shares;
  double total = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const CustomerNumber customer = shares.NumberOf(std::to_string(i));
    shares.SetWeight(customer, weights[i]);
    shares.Activate(customer);
    total += weights[i];
  }
  const auto served = Serve(shares, 2000, 10);
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const double share = served.at(static_cast<CustomerNumber>(i)) / 20000;
    RC_ASSERT(share > weights[i] / total - 0.02);
    RC_ASSERT(share < weights[i] / total + 0.02);
  }
}

BOOST_AUTO_TEST_CASE(FourHundredEightyCustomersGetEqualShares) {
  Shares shares;
  for (int i = 0; i < 480; ++i) {
    shares.Activate(shares.NumberOf("customer-" + std::to_string(i)));
  }
  for (const auto& [customer, tokens] : Serve(shares, 4800, 10)) {
    BOOST_TEST(tokens >= 90.0);
    BOOST_TEST(tokens <= 110.0);
  }
}

// A customer was idle all night and sends a burst in the morning. If unused
// share were saved up, everyone else would wait until the night is paid back.
BOOST_AUTO_TEST_CASE(IdleTimeIsSavedUpToTheCreditOnly) {
  Shares shares;
  const CustomerNumber busy = shares.NumberOf("busy");
  const CustomerNumber idle = shares.NumberOf("silent");
  shares.Activate(busy);
  Serve(shares, 1000, 100);
  shares.Activate(idle);
  // An even half, less half of the credit that it may save up.
  const auto served = Serve(shares, 400, 100);
  const double credit = SharesSettings{}.credit;
  BOOST_TEST(served.at(busy) >= 20000 - credit / 2 - 100);
}

/// Simulates two instances of equal speed. `large` has work on both, `small` on
/// the first only. Returns the fraction of all tokens that `small` got.
double FractionOfSmall(bool gossip, bool partitioned_later) {
  std::vector<Shares> shares(2);
  double small_tokens = 0;
  double total = 0;
  TimePoint now;
  for (Shares& each : shares) each.Activate(each.NumberOf("large"));
  shares[0].Activate(shares[0].NumberOf("small"));
  for (int round = 0; round < 400; ++round) {
    now = now + milliseconds(100);
    for (Shares& each : shares) {
      const CustomerNumber next = each.Turns().begin()->second;
      each.Charge(next, 100);
      total += 100;
      if (each.NameOf(next) == "small") small_tokens += 100;
    }
    const bool connected = gossip && !(partitioned_later && round >= 100);
    if (connected && round % 5 == 0) {
      shares[0].MergePeerUsage(now, "b", shares[1].Served());
      shares[1].MergePeerUsage(now, "a", shares[0].Served());
    }
    for (Shares& each : shares) each.Tick(now);
  }
  return small_tokens / total;
}

// A large customer sends to both instances, a small one to one of them. With
// shares per instance alone the large one gets three quarters.
BOOST_AUTO_TEST_CASE(SharesHoldOverAllInstances) {
  BOOST_TEST(FractionOfSmall(false, false) < 0.27);
  BOOST_TEST(FractionOfSmall(true, false) > 0.45);
}

// The instances are partitioned after ten seconds and both continue to serve.
// Without a charge for the unresponsive peer the large customer's share jumps
// back to three quarters for as long as the partition lasts.
BOOST_AUTO_TEST_CASE(UnresponsivePeerIsChargedAtItsLastRate) {
  BOOST_TEST(FractionOfSmall(true, true) > 0.43);
}

// An answer ends shorter than it was charged for, so its customer's use here
// decreases. A peer that took the lower total for a restart would charge all of
// it again, and the customer would get nothing there.
BOOST_AUTO_TEST_CASE(CorrectionIsNotTakenForARestart) {
  Shares here;
  Shares peer;
  const CustomerNumber there = peer.NumberOf("c");
  TimePoint now;
  for (int answer = 0; answer < 100; ++answer) {
    now = now + milliseconds(500);
    peer.Charge(there, 100);
    here.MergePeerUsage(now, "p", peer.Served());
    peer.Correct(there, -50);
    here.MergePeerUsage(now + milliseconds(1), "p", peer.Served());
    here.Tick(now);
  }
  // Nothing is used here; all of the customer's use is remote.
  here.Charge(here.NumberOf("d"), 5000);
  here.Tick(now + milliseconds(500));
  // `d` uses 3,000 tokens per second at this instance, `c` 100 at the peer.
  BOOST_TEST(here.PoolShare().value_or(0) > 0.5);
}

// A customer far over its share fills one of two instances, small customers the
// other. With equal fractions the small ones wait while the other instance
// serves the large one.
BOOST_AUTO_TEST_CASE(InstanceOfSmallCustomersIsEntitledToMore) {
  Shares small;
  Shares large;
  TimePoint now;
  for (int round = 0; round < 40; ++round) {
    now = now + milliseconds(500);
    for (int i = 0; i < 4; ++i) {
      small.Charge(small.NumberOf(std::to_string(i)), 100);
    }
    large.Charge(large.NumberOf("large"), 1000);
    small.MergePeerUsage(now, "l", large.Served());
    large.MergePeerUsage(now, "s", small.Served());
    small.Tick(now);
    large.Tick(now);
  }
  BOOST_TEST(*small.PoolShare() > 0.55);
  BOOST_TEST(*large.PoolShare() < 0.45);
}

// A peer's total arrives twice, and an older one after a newer one.
BOOST_AUTO_TEST_CASE(RepeatedGossipChargesNothing) {
  Shares shares;
  const CustomerNumber customer = shares.NumberOf("c");
  const CustomerNumber other = shares.NumberOf("d");
  shares.MergePeerUsage(TimePoint{seconds(1)}, "p", Usage{{{"c", 100}}});
  shares.MergePeerUsage(TimePoint{seconds(2)}, "p", Usage{{{"c", 300}}});
  shares.MergePeerUsage(TimePoint{seconds(3)}, "p", Usage{{{"c", 300}}});
  shares.Activate(customer);
  shares.Activate(other);
  // The customer owes 200: the other gets two pieces of 100 first.
  const auto served = Serve(shares, 2, 100);
  BOOST_TEST(served.at(other) == 200.0);
}

}  // namespace
}  // namespace toucanwharf::admission
