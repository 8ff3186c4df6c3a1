#include "toucanwharf/control/lease.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "../fakes/object_map.h"

namespace toucanwharf::control {
namespace {

using fakes::Fault;
using fakes::ObjectMap;

constexpr Duration kSecond{std::chrono::seconds(1)};

/// One process: its lease, its clock's offset and its outstanding call.
struct Actor {
  Lease lease;
  Duration offset;
  std::optional<LeaseCall> call;
};

TimePoint LocalNow(const Actor& actor, TimePoint now) {
  return now + actor.offset;
}

/// Lets \p actor make its next call, or handle the answer of the last one.
void TakeStep(Actor& actor, ObjectMap& map, TimePoint now, Fault fault) {
  const TimePoint local = LocalNow(actor, now);
  if (!actor.call.has_value()) {
    actor.call = actor.lease.Poll(local);
    return;
  }
  const LeaseCall call = *actor.call;
  actor.call.reset();
  if (const auto* write = std::get_if<store::Write>(&call)) {
    actor.lease.OnWrite(map.Write(*write, fault), local);
    return;
  }
  actor.lease.OnRead(map.Read(std::get<store::ObjectKey>(call), fault), local);
}

std::vector<Actor> MakeActors() {
  std::vector<Actor> actors;
  for (const char* name : {"r1", "r2", "r3"}) {
    const Duration offset = kSecond * static_cast<int>(actors.size()) * 1000;
    actors.push_back(
        Actor{Lease(LeaseSettings{"acceptance", name}, 7), offset, {}});
  }
  return actors;
}

void CheckHolders(const std::vector<Actor>& actors, TimePoint now,
                  std::map<std::uint64_t, std::size_t>& terms) {
  int holders = 0;
  std::uint64_t newest = terms.empty() ? 0 : terms.rbegin()->first;
  for (std::size_t index = 0; index < actors.size(); ++index) {
    const Actor& actor = actors[index];
    if (!actor.lease.MayAct(LocalNow(actor, now))) continue;
    ++holders;
    RC_ASSERT(actor.lease.Fence() >= newest);
    const auto [term, fresh] = terms.emplace(actor.lease.Fence(), index);
    RC_ASSERT(term->second == index);
  }
  RC_ASSERT(holders <= 1);
}

void Run(Actor& actor, ObjectMap& map, TimePoint& now, Duration length) {
  const TimePoint end = now + length;
  for (; now < end; now = now + kSecond / 10) {
    TakeStep(actor, map, now, Fault::kNone);
  }
}

// Three processes want the same role while calls fail, answers are lost, writes
// land late, reads are stale, and any of them stops for longer than its term.
// Guards against two processes that hold the role at the same moment and undo
// each other's work, and against a fencing number used twice.
RC_BOOST_PROP(NeverTwoHoldersAndFencesRise, ()) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  std::map<std::uint64_t, std::size_t> terms;
  TimePoint now{kSecond};
  const auto steps = *rc::gen::scale(
      4.0, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000)));
  for (const int step : steps) {
    now = now + Duration(std::chrono::milliseconds(step / 15 * 5));
    if (step % 11 == 0) map.ApplyLateWrites();
    // Steps of the other processes are a pause of this one.
    const int kind = step / 3 % 10;
    const auto fault =
        kind < fakes::kFaultCount ? static_cast<Fault>(kind) : Fault::kNone;
    TakeStep(actors[static_cast<std::size_t>(step % 3)], map, now, fault);
    CheckHolders(actors, now, terms);
  }
}

// The same, and the store returns from older copies, whose revisions are given
// out again. No process starts right after a return.
RC_BOOST_PROP(NeverTwoHoldersAcrossReturnsOfTheStore, ()) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  std::map<std::uint64_t, std::size_t> terms;
  TimePoint now{kSecond};
  for (Actor& actor : actors) Run(actor, map, now, kSecond);
  const auto steps = *rc::gen::scale(
      4.0, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3000)));
  for (const int step : steps) {
    now = now + Duration(std::chrono::milliseconds(step / 15 * 5));
    if (step % 11 == 0) map.ApplyLateWrites();
    if (step % 23 == 0) map.KeepCopy();
    if (step % 29 == 0) map.ReturnFromCopy();
    const int kind = step / 3 % 10;
    const auto fault =
        kind < fakes::kFaultCount ? static_cast<Fault>(kind) : Fault::kNone;
    TakeStep(actors[static_cast<std::size_t>(step % 3)], map, now, fault);
    CheckHolders(actors, now, terms);
  }
}

// The holder is stopped (SIGSTOP) for longer than its term. Meanwhile another
// process takes over the role. The first resumes and must not act, although it
// has received nothing yet.
BOOST_AUTO_TEST_CASE(HolderPausedPastItsTermMayNotAct) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  Run(actors[0], map, now, 3 * kSecond);
  BOOST_TEST(actors[0].lease.MayAct(LocalNow(actors[0], now)));
  Run(actors[1], map, now, 10 * kSecond);
  BOOST_TEST(actors[1].lease.MayAct(LocalNow(actors[1], now)));
  BOOST_TEST(!actors[0].lease.MayAct(LocalNow(actors[0], now)));
  BOOST_TEST(actors[1].lease.Fence() > actors[0].lease.Fence());
}

// A planned stop releases the role, and the next holder doesn't wait for the
// term to end.
BOOST_AUTO_TEST_CASE(ReleasedRoleIsTakenAtOnce) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  Run(actors[0], map, now, 3 * kSecond);
  actors[0].lease.Release();
  BOOST_TEST(!actors[0].lease.MayAct(LocalNow(actors[0], now)));
  Run(actors[0], map, now, kSecond);
  Run(actors[1], map, now, kSecond);
  BOOST_TEST(actors[1].lease.MayAct(LocalNow(actors[1], now)));
}

// All processes of a fleet restart, and nobody leads for the whole term of the
// holder that has ended.
BOOST_AUTO_TEST_CASE(RoleOfAnEndedProcessIsTakenOverByItsNode) {
  ObjectMap map;
  TimePoint now{kSecond};
  const auto make = [](const char* id, const char* node) {
    LeaseSettings settings{"placement", id};
    settings.node = node;
    return Actor{Lease(settings, 7), Duration(0), {}};
  };
  Actor before = make("a1", "a");
  Run(before, map, now, kSecond);
  BOOST_REQUIRE(before.lease.MayAct(now));
  Actor other = make("b2", "b");
  Actor restarted = make("a2", "a");
  Run(other, map, now, kSecond / 2);
  BOOST_TEST(!other.lease.MayAct(now));
  Run(restarted, map, now, kSecond / 2);
  BOOST_TEST(restarted.lease.MayAct(now));
  BOOST_TEST(restarted.lease.Fence() == before.lease.Fence() + 1);
  Run(other, map, now, kSecond);
  BOOST_TEST(!other.lease.MayAct(now));
}

// After the store's return from an older copy its object may name a process of
// this node that another holder has followed: two would hold the role.
BOOST_AUTO_TEST_CASE(EndedHolderInACopyIsNoReasonToTakeOver) {
  ObjectMap map;
  TimePoint now{kSecond};
  LeaseSettings settings{"placement", "a1"};
  settings.node = "a";
  Actor before{Lease(settings, 7), Duration(0), {}};
  Run(before, map, now, kSecond);
  map.KeepCopy();
  map.ReturnFromCopy();
  settings.holder = "a2";
  Actor restarted{Lease(settings, 8), Duration(0), {}};
  Run(restarted, map, now, kSecond);
  BOOST_TEST(!restarted.lease.MayAct(now));
}

// The lease object is deleted. The next holder's number still rises, so that an
// order of the previous holder stays recognisable as old.
// Guards against a holder that released the role for a while and never holds it
// again, though nobody else does.
BOOST_AUTO_TEST_CASE(ReleasedRoleCanBeHeldAgain) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  Run(actors[0], map, now, 3 * kSecond);
  const std::uint64_t fence = actors[0].lease.Fence();
  actors[0].lease.Release();
  Run(actors[0], map, now, 10 * kSecond);
  BOOST_TEST(!actors[0].lease.MayAct(LocalNow(actors[0], now)));
  actors[0].lease.Compete();
  Run(actors[0], map, now, 10 * kSecond);
  BOOST_TEST(actors[0].lease.MayAct(LocalNow(actors[0], now)));
  BOOST_TEST(actors[0].lease.Fence() == fence + 1);
}

BOOST_AUTO_TEST_CASE(FenceRisesAcrossADeletion) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  Run(actors[0], map, now, 3 * kSecond);
  Run(actors[1], map, now, kSecond);
  map.Delete({"leases", "acceptance"});
  Run(actors[1], map, now, 10 * kSecond);
  BOOST_TEST(actors[1].lease.MayAct(LocalNow(actors[1], now)));
  BOOST_TEST(actors[1].lease.Fence() == 2u);
}

// Guards against two holders after the store's return from an older copy that
// names the former one: it must not resume its term.
BOOST_AUTO_TEST_CASE(FormerHolderInTheCopyDoesNotResume) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  Run(actors[0], map, now, 3 * kSecond);
  map.KeepCopy();
  actors[0].lease.Release();
  Run(actors[0], map, now, kSecond);
  actors[0].lease.Compete();
  Run(actors[1], map, now, 2 * kSecond);
  BOOST_TEST(actors[1].lease.MayAct(LocalNow(actors[1], now)));
  map.ReturnFromCopy();
  Run(actors[0], map, now, 2 * kSecond);
  BOOST_TEST(!actors[0].lease.MayAct(LocalNow(actors[0], now)));
  Run(actors[1], map, now, 2 * kSecond);
  BOOST_TEST(actors[1].lease.MayAct(LocalNow(actors[1], now)));
}

// Guards against a role that nobody holds for a term after the return, though
// its holder is alive, and against a holder that reads without a pause because
// its own write seems older than what it knows.
BOOST_AUTO_TEST_CASE(HolderWhoseObjectWasLostGoesOn) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  map.KeepCopy();
  Run(actors[0], map, now, 3 * kSecond);
  map.ReturnFromCopy();
  const TimePoint end = now + 10 * kSecond;
  for (; now < end; now = now + kSecond / 10) {
    TakeStep(actors[0], map, now, Fault::kNone);
    BOOST_TEST(actors[0].lease.MayAct(LocalNow(actors[0], now)));
  }
}

// Guards against an order of a holder from before the return that has the same
// number as those of the next holder.
BOOST_AUTO_TEST_CASE(FenceRisesAcrossTheStoresReturn) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  map.KeepCopy();
  Run(actors[0], map, now, 3 * kSecond);
  Run(actors[1], map, now, 10 * kSecond);
  const std::uint64_t lost = actors[1].lease.Fence();
  map.ReturnFromCopy();
  Run(actors[2], map, now, 10 * kSecond);
  BOOST_TEST(actors[2].lease.MayAct(LocalNow(actors[2], now)));
  BOOST_TEST(actors[2].lease.Fence() > lost);
}

// The store is down: the holder's term ends on the holder's own clock.
BOOST_AUTO_TEST_CASE(TermEndsDuringAnOutage) {
  ObjectMap map;
  std::vector<Actor> actors = MakeActors();
  TimePoint now{kSecond};
  Run(actors[0], map, now, 3 * kSecond);
  const TimePoint end = now + 6 * kSecond;
  for (; now < end; now = now + kSecond / 10) {
    TakeStep(actors[0], map, now, Fault::kOutage);
  }
  BOOST_TEST(!actors[0].lease.MayAct(LocalNow(actors[0], now)));
}

}  // namespace
}  // namespace toucanwharf::control
