#include "toucanwharf/once/shard.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../fakes/object_map.h"

namespace toucanwharf::once {
namespace {

using fakes::Fault;
using fakes::ObjectMap;

constexpr Duration kMilli{std::chrono::milliseconds(1)};
constexpr std::uint64_t kKeys = 4;

ShardSettings SmallRing() {
  ShardSettings settings;
  settings.slots = 3;
  settings.seal_threshold_bytes = 250;
  settings.min_retention_millis = 40;
  return settings;
}

/// One router process, or its replacement.
struct Router {
  Shard shard;
  std::optional<ShardCall> call;
  /// Granted claims whose requests haven't been sent yet.
  std::vector<std::string> granted;
};

/// Several routers in front of one service, with one faulty store. New keys are
/// created every few steps, so that old segments are overwritten while repeats
/// of their keys still arrive.
class World {
 public:
  explicit World(int routers) {
    for (int index = 0; index < routers; ++index) this->Start();
  }

  std::size_t Start() {
    const std::string writer = "w" + std::to_string(++this->started);
    this->routers.push_back(Router{Shard(SmallRing(), 0, writer), {}, {}});
    return this->routers.size() - 1;
  }

  /// The process crashes; its outstanding call may still take effect.
  void Replace(std::size_t index) {
    const std::string writer = "w" + std::to_string(++this->started);
    Router& router = this->routers[index];
    if (router.call.has_value()) this->Carry(router, Fault::kLate);
    router = Router{Shard(SmallRing(), 0, writer), {}, {}};
  }

  std::string Claim(std::size_t index, std::uint64_t key) {
    const std::string claim = "c" + std::to_string(++this->claims);
    const std::string name = "k" + std::to_string(key);
    this->key_of[claim] = name;
    this->routers[index].shard.Claim(
        {name, claim, "d", key, this->now + 200 * kMilli});
    return claim;
  }

  void Step(std::size_t index, Fault fault) {
    Router& router = this->routers[index];
    if (router.call.has_value()) {
      this->Carry(router, fault);
    } else {
      router.call = router.shard.Poll(this->now, this->wall);
    }
    for (const Decision& decision : router.shard.TakeDecisions()) {
      const bool fresh =
          this->verdicts.emplace(decision.claim, decision.verdict).second;
      RC_ASSERT(fresh);
      if (std::holds_alternative<Granted>(decision.verdict)) {
        router.granted.push_back(decision.claim);
      }
    }
  }

  /// The router sends its last granted request; \p result is how that ends.
  void Send(std::size_t index, KeyState result) {
    Router& router = this->routers[index];
    if (router.granted.empty()) return;
    const std::string claim = router.granted.back();
    router.granted.pop_back();
    const std::string& key = this->key_of[claim];
    if (result != KeyState::kNotRun) ++this->runs[key];
    RC_ASSERT(this->runs[key] <= 1);
    // kClaimed stands for a crash after sending and before recording.
    if (result == KeyState::kClaimed) return;
    router.shard.RecordOutcome(
        Entry{key, claim, "", result, Outcome{200, "text/plain", claim, true}},
        this->now);
  }

  void Settle() {
    for (int round = 0; round < 3000; ++round) {
      this->now = this->now + kMilli;
      const auto routers_now = this->routers.size();
      this->Step(static_cast<std::size_t>(round) % routers_now, Fault::kNone);
    }
  }

  ObjectMap map;
  TimePoint now;
  std::uint64_t wall = 1000;
  std::vector<Router> routers;
  std::map<std::string, Verdict> verdicts;
  std::map<std::string, std::string> key_of;
  std::map<std::string, int> runs;
  int started = 0;
  int claims = 0;

 private:
  void Carry(Router& router, Fault fault) {
    const ShardCall call = *router.call;
    router.call.reset();
    if (const auto* write = std::get_if<store::Write>(&call)) {
      router.shard.OnWrite(this->map.Write(*write, fault));
      return;
    }
    router.shard.OnRead(
        this->map.Read(std::get<store::ObjectKey>(call), fault));
  }
};

/// Runs one random step: an action, the router that it applies to, and a fault.
void PlayStep(World& world, std::uint32_t step) {
  const std::size_t index = step % 3;
  const std::uint32_t action = step / 3 % 16;
  const std::uint32_t detail = step / 48;
  if (action == 0) {
    world.wall += detail % 30;
    world.map.ApplyLateWrites();
  } else if (action == 1 && detail % 4 == 0) {
    world.Replace(index);
  } else if (action <= 3) {
    const std::uint64_t age = detail % 3 == 0 ? 60 : 0;
    world.Claim(index, (world.wall - age) / 10 * 10 + detail % kKeys);
  } else if (action <= 5) {
    world.Send(index, static_cast<KeyState>(detail % 4));
  } else {
    world.now = world.now + kMilli * (detail % 40);
    const std::uint32_t kind = detail % 12;
    const auto fault =
        kind < fakes::kFaultCount ? static_cast<Fault>(kind) : Fault::kNone;
    world.Step(index, fault);
  }
}

// A client repeats one call through several routers, while these are killed,
// replaced and paused at any step, store answers are lost, reads are stale,
// writes take effect late, and old keys are overwritten by new ones. In every
// order of these events, the call must run at most once.
RC_BOOST_PROP(NoKeyRunsTwiceInAnySchedule, ()) {
  World world(3);
  const auto steps =
      *rc::gen::scale(12.0, rc::gen::container<std::vector<std::uint32_t>>(
                                rc::gen::inRange<std::uint32_t>(0, 48 * 840)));
  for (const std::uint32_t step : steps) PlayStep(world, step);
  world.map.ApplyLateWrites();
  world.Settle();
  for (std::size_t index = 0; index < world.routers.size(); ++index) {
    while (!world.routers[index].granted.empty()) {
      world.Send(index, KeyState::kDone);
    }
  }
  RC_TAG(world.runs.empty() ? "nothing ran" : "some ran");
}

Verdict VerdictOf(const World& world, const std::string& claim) {
  const auto found = world.verdicts.find(claim);
  BOOST_REQUIRE(found != world.verdicts.end());
  return found->second;
}

// A client loses its connection after the call ran and repeats it through
// another router. It must get the first answer, and nothing may run again.
BOOST_AUTO_TEST_CASE(RepeatThroughAnotherRouterGetsTheFirstAnswer) {
  World world(2);
  const std::string first = world.Claim(0, 1000);
  world.Settle();
  BOOST_TEST(std::holds_alternative<Granted>(VerdictOf(world, first)));
  world.Send(0, KeyState::kDone);
  world.Settle();
  const std::string again = world.Claim(1, 1000);
  world.Settle();
  const Verdict verdict = VerdictOf(world, again);
  BOOST_REQUIRE(std::holds_alternative<Outcome>(verdict));
  BOOST_TEST(std::get<Outcome>(verdict).body == first);
}

// A repeat arrives while the first attempt still runs on another router. It
// must wait, and get the first attempt's answer once that is recorded.
BOOST_AUTO_TEST_CASE(RepeatWaitsForTheAttemptInProgress) {
  World world(2);
  world.Claim(0, 1000);
  world.Settle();
  const std::string again = world.Claim(1, 1000);
  for (int step = 0; step < 50; ++step) world.Step(1, Fault::kNone);
  BOOST_TEST(!world.verdicts.contains(again));
  world.Send(0, KeyState::kDone);
  world.Settle();
  BOOST_TEST(std::holds_alternative<Outcome>(VerdictOf(world, again)));
}

// The endpoint refused the request before running it, and the claimant recorded
// that. A repeat must be allowed to run.
BOOST_AUTO_TEST_CASE(KeyRecordedAsNotRunMayBeClaimedAgain) {
  World world(2);
  world.Claim(0, 1000);
  world.Settle();
  world.Send(0, KeyState::kNotRun);
  world.Settle();
  const std::string again = world.Claim(1, 1000);
  world.Settle();
  BOOST_TEST(std::holds_alternative<Granted>(VerdictOf(world, again)));
}

// The store accepts the claim, its answer is lost, and the store is unavailable
// until the caller's deadline. The outcome must be reported as unknown; after
// the outage the router records that nothing ran, so a repeat may run.
BOOST_AUTO_TEST_CASE(OutageAfterTheClaimReportsUnknownThenFreesTheKey) {
  World world(2);
  const std::string warm = world.Claim(0, 1000);
  world.Settle();
  const std::string first = world.Claim(0, 1001);
  world.Step(0, Fault::kNone);
  world.Step(0, Fault::kAnswerLost);
  for (int step = 0; step < 50; ++step) {
    world.now = world.now + 10 * kMilli;
    world.Step(0, Fault::kOutage);
  }
  const Verdict refusal = VerdictOf(world, first);
  BOOST_REQUIRE(std::holds_alternative<Refused>(refusal));
  BOOST_TEST((std::get<Refused>(refusal).ran == Ran::kUnknown));
  world.Settle();
  const std::string again = world.Claim(1, 1001);
  world.Settle();
  BOOST_TEST(std::holds_alternative<Granted>(VerdictOf(world, again)));
}

// A key is so old that its segment was overwritten, so whether its request ran
// is unknown. It must be refused.
BOOST_AUTO_TEST_CASE(KeyOlderThanTheJournalIsRefused) {
  World world(1);
  world.Claim(0, 1000);
  world.Settle();
  world.Send(0, KeyState::kDone);
  for (std::uint64_t key = 1001; key < 1060; ++key) {
    world.wall = key + 100;
    world.Claim(0, key);
    world.Settle();
  }
  const std::string old = world.Claim(0, 1000);
  world.Settle();
  const Verdict verdict = VerdictOf(world, old);
  BOOST_REQUIRE(std::holds_alternative<Refused>(verdict));
  BOOST_TEST(
      (std::get<Refused>(verdict).reason == IdempotencyError::kKeyTooOld));
}

// A replacement router reads the journal from a lagging replica, whose copy of
// a sealed segment lacks the last claim. Using that copy would grant the key of
// that claim a second time.
BOOST_AUTO_TEST_CASE(StaleCopyOfASealedSegmentGrantsNothing) {
  World world(1);
  for (std::uint64_t key = 1000; key < 1008; ++key) {
    world.Claim(0, key);
    world.Settle();
  }
  for (std::uint64_t key = 1000; key < 1008; ++key) {
    world.Replace(0);
    const std::string again = world.Claim(0, key);
    world.Step(0, Fault::kNone);
    world.Step(0, Fault::kStale);
    world.Settle();
    BOOST_TEST(!std::holds_alternative<Granted>(VerdictOf(world, again)));
  }
}

// A service answers with a body that is too long or that JSON can't represent.
// A repeat must never get a changed or truncated body.
BOOST_AUTO_TEST_CASE(BodyThatCannotBeRetainedIsOmitted) {
  BOOST_TEST(CanRetainBody("{\"signed\": true}"));
  BOOST_TEST(!CanRetainBody("\xff\xfe"));
  BOOST_TEST(!CanRetainBody(std::string(kMaxRetainedBodyBytes + 1, 'x')));
}

// Many calls arrive together. They must share commits; otherwise the platform's
// few hundred writes per second would limit the call rate.
BOOST_AUTO_TEST_CASE(ClaimsShareCommits) {
  World world(1);
  for (std::uint64_t key = 1000; key < 1100; ++key) world.Claim(0, key);
  world.Settle();
  BOOST_TEST(world.verdicts.size() == 100u);
  BOOST_TEST(world.map.WritesApplied() <= 4u);
}

}  // namespace
}  // namespace toucanwharf::once
