#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRouters = 3;
/// From the store's acknowledgement of a change until it is in force
/// everywhere, and until endpoints that leave get nothing new; see the settings
/// of the fleet's routers.
constexpr milliseconds kBound{2000};
/// Every router has read once in this time.
constexpr milliseconds kReadByAll{1000};
/// How long the store is away before it returns.
constexpr milliseconds kAway{1200};
/// From the store's return until the operator and the endpoints have written
/// again what was lost.
constexpr milliseconds kWrittenAgainAfter{1500};
/// From the store's return until its answers confirm again what is in force,
/// and are known everywhere.
constexpr milliseconds kSettled{2500};
constexpr milliseconds kPause{20};

/// A fleet whose store has a copy that lacks many changes.
class ReturnFixture {
 public:
  ReturnFixture() {
    this->fleet.RunOnLoop([this] {
      this->fleet.Store().KeepCopy();
      for (int i = 0; i < kLostWrites; ++i) {
        this->fleet.Store().Put("unrelated", "object", i);
      }
    });
  }

  /// Lets the store return from the copy once all routers have read the changes
  /// since.
  void Return() {
    std::this_thread::sleep_for(kReadByAll);
    this->fleet.ReturnStore(kAway);
  }
  void WriteAgain() {
    this->fleet.RunOnLoop([this] { this->fleet.Store().WriteAgain(); });
  }

  Answer Read(std::size_t router, const std::string& key) {
    const std::string id = "read-" + std::to_string(++this->requests);
    const std::string route = key.empty() ? "/open/" : "/read/";
    return this->fleet.Plain(router, route + id, id, key);
  }
  /// Returns whether all routers answer requests with \p key by \p status.
  bool AllAnswer(const std::string& key, int status) {
    for (std::size_t router = 0; router < kRouters; ++router) {
      if (this->Read(router, key).status != status) return false;
    }
    return true;
  }
  /// Sends requests with \p key to all routers for \p time. Returns how many
  /// were answered by \p status.
  int CountAnswers(const std::string& key, int status, milliseconds time) {
    int count = 0;
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
      for (std::size_t router = 0; router < kRouters; ++router) {
        if (this->Read(router, key).status == status) ++count;
      }
      std::this_thread::sleep_for(kPause);
    }
    return count;
  }
  /// The same for requests that need no key.
  int CountOpen(int status, milliseconds time) {
    return this->CountAnswers("", status, time);
  }
  /// Returns whether a request ran at \p endpoint after \p from.
  bool RanAt(const std::string& endpoint, TimePoint from) {
    bool ran = false;
    this->fleet.RunOnLoop([&] {
      const auto& runs = this->fleet.Endpoints().Runs();
      ran = std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
        return run.endpoint == endpoint && run.at > from;
      });
    });
    return ran;
  }

  PlatformFleet fleet{kRouters};

 private:
  static constexpr int kLostWrites = 40;
  int requests = 0;
};

BOOST_FIXTURE_TEST_SUITE(StoreReturn, ReturnFixture)

// Guards against a configuration that is ignored because the store, back from
// an older copy, gives it a revision that is lower than the last one read.
BOOST_AUTO_TEST_CASE(ConfigurationAcceptedAfterTheReturnIsInForceInTime) {
  this->fleet.Configure({PlatformFleet::kKey, PlatformFleet::kOtherKey});
  this->Return();
  this->WriteAgain();
  this->fleet.Configure({PlatformFleet::kKey});
  std::this_thread::sleep_for(kBound);
  BOOST_TEST(this->AllAnswer(PlatformFleet::kOtherKey, 401));
  BOOST_TEST(this->AllAnswer(PlatformFleet::kKey, 200));
}

// Guards against callers who are refused for seconds after the store's return,
// because its answers confirm nothing.
BOOST_AUTO_TEST_CASE(UnchangedConfigurationIsConfirmedAfterTheReturn) {
  this->fleet.Configure({PlatformFleet::kKey, PlatformFleet::kOtherKey});
  this->Return();
  this->WriteAgain();
  std::this_thread::sleep_for(kSettled);
  BOOST_TEST(this->CountAnswers(PlatformFleet::kKey, 503, kBound) == 0);
}

// Guards against callers who are refused until the operator has written again,
// though nothing newer than what is in force was accepted.
BOOST_AUTO_TEST_CASE(CallersAreServedBeforeTheOperatorWritesAgain) {
  this->fleet.Configure({PlatformFleet::kKey, PlatformFleet::kOtherKey});
  this->Return();
  std::this_thread::sleep_for(kSettled);
  BOOST_TEST(this->CountAnswers(PlatformFleet::kKey, 503, kBound) == 0);
}

// Guards against a revoked key that works again until the operator has written
// the revocation again, at an instance that starts meanwhile, too.
BOOST_AUTO_TEST_CASE(ConfigurationInForceDoesNotRevertToTheCopy) {
  this->fleet.Configure({PlatformFleet::kKey});
  this->Return();
  this->fleet.Router(0).Kill();
  this->fleet.StartRouter(0);
  BOOST_TEST(this->CountAnswers(PlatformFleet::kOtherKey, 200,
                                kWrittenAgainAfter) == 0);
  this->WriteAgain();
  std::this_thread::sleep_for(kBound);
  BOOST_TEST(this->AllAnswer(PlatformFleet::kOtherKey, 401));
  BOOST_TEST(this->AllAnswer(PlatformFleet::kKey, 200));
}

// Guards against a key that is unknown again (401) until the operator has
// written its addition again.
BOOST_AUTO_TEST_CASE(KeyAddedAfterTheCopyStaysKnown) {
  constexpr const char* kNewKey = "key-of-a-new-customer";
  this->fleet.Configure({PlatformFleet::kKey, kNewKey});
  this->Return();
  BOOST_TEST(this->CountAnswers(kNewKey, 401, kWrittenAgainAfter) == 0);
  this->WriteAgain();
  std::this_thread::sleep_for(kBound);
  BOOST_TEST(this->AllAnswer(kNewKey, 200));
}

// Guards against a revoked key that an unseen, lost revocation took away, and
// that a read of the copy keeps valid past the revocation's bound.
BOOST_AUTO_TEST_CASE(LostRevocationThatNobodyReadIsInForceInTime) {
  this->Return();
  // The store is away again, accepts a revocation first, and loses it.
  for (std::size_t router = 0; router < kRouters; ++router) {
    this->fleet.RunOnLoop([&] {
      this->fleet.Store().SetFault(router, standins::fleet::StoreFault::kReset);
    });
  }
  this->fleet.Configure({PlatformFleet::kKey});
  const auto revoked = std::chrono::steady_clock::now();
  this->fleet.ReturnStore(kAway);
  std::this_thread::sleep_for(kWrittenAgainAfter);
  this->WriteAgain();
  // As bounds.revoke_ms in the settings of the fleet's routers.
  std::this_thread::sleep_until(revoked + milliseconds(2500));
  BOOST_TEST(this->CountAnswers(PlatformFleet::kOtherKey, 200, kBound) == 0);
  std::this_thread::sleep_for(kWrittenAgainAfter);
  BOOST_TEST(this->AllAnswer(PlatformFleet::kKey, 200));
}

// Guards against a list of endpoints that is ignored because its revision is
// lower than the last one read.
BOOST_AUTO_TEST_CASE(EndpointThatDrainsAfterTheReturnGetsNoNewRequests) {
  this->Return();
  this->WriteAgain();
  this->fleet.RunOnLoop([this] { this->fleet.Endpoints().Drain("plain-0"); });
  std::this_thread::sleep_for(kBound);
  const TimePoint from = BootClock().Now();
  this->CountAnswers(PlatformFleet::kKey, 200, kBound);
  BOOST_TEST(!this->RanAt("plain-0", from));
  BOOST_TEST(this->RanAt("plain-1", from));
}

// Guards against an endpoint that drains and gets work again, because the copy
// lists it as ready until it has registered again.
BOOST_AUTO_TEST_CASE(EndpointThatDrainedBeforeTheReturnStaysUnused) {
  this->fleet.RunOnLoop([this] { this->fleet.Endpoints().Drain("plain-0"); });
  std::this_thread::sleep_for(kBound);
  const TimePoint from = BootClock().Now();
  this->Return();
  this->CountAnswers(PlatformFleet::kKey, 200, kWrittenAgainAfter);
  this->WriteAgain();
  this->CountAnswers(PlatformFleet::kKey, 200, kBound);
  BOOST_TEST(!this->RanAt("plain-0", from));
  BOOST_TEST(this->RanAt("plain-1", from));
}

// Guards against an endpoint whose entry was removed and that gets work again,
// because the copy still lists it.
BOOST_AUTO_TEST_CASE(EndpointRemovedBeforeTheReturnStaysUnused) {
  this->fleet.RunOnLoop(
      [this] { this->fleet.Store().Remove("servers", "plain-0"); });
  std::this_thread::sleep_for(kBound);
  const TimePoint from = BootClock().Now();
  this->Return();
  this->CountAnswers(PlatformFleet::kKey, 200, kWrittenAgainAfter);
  this->WriteAgain();
  this->CountAnswers(PlatformFleet::kKey, 200, kBound);
  BOOST_TEST(!this->RanAt("plain-0", from));
  BOOST_TEST(this->RanAt("plain-1", from));
}

// Guards against callers who are refused because the copy lacks the endpoints
// that registered after it was made.
BOOST_AUTO_TEST_CASE(EndpointsMissingInTheCopyServeUntilTheyRegisterAgain) {
  this->fleet.RunOnLoop([this] {
    for (const char* id : {"plain-0", "plain-1"}) {
      this->fleet.Endpoints().CrashAndRestart(id);
    }
  });
  std::this_thread::sleep_for(kBound);
  BOOST_REQUIRE(PlatformFleet::Eventually(
      [this] { return this->AllAnswer(PlatformFleet::kKey, 200); }));
  this->Return();
  BOOST_TEST(this->CountOpen(503, kWrittenAgainAfter) == 0);
  this->WriteAgain();
  BOOST_TEST(this->CountOpen(503, kBound) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::process_test
