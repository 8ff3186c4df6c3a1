#include "toucanwharf/endpoints/reachability.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace toucanwharf::endpoints {
namespace {

using std::chrono::milliseconds;

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

const std::vector<std::string> kEngines = {"a", "b", "c", "d", "e", "f"};
constexpr std::size_t kEndpoints = 9;
constexpr auto kNotConnected = ConnectionFailure::kNotConnected;
constexpr auto kUnresponsive = ConnectionFailure::kUnresponsive;

/// Plays checks until none is due; those of \p dead fail. Returns how many.
int PlayChecks(Reachability& paths, const std::vector<std::string>& dead,
               int now) {
  Random random(1);
  int checks = 0;
  while (const auto id = paths.NextCheck(kEngines, At(now), random)) {
    ++checks;
    const bool fails = std::find(dead.begin(), dead.end(), *id) != dead.end();
    if (fails) {
      paths.OnFailure(*id, kNotConnected, kEndpoints, At(now));
    } else {
      paths.OnAnswered(*id, At(now), At(now));
    }
    paths.OnCheckDone();
  }
  return checks;
}

// Guards against an instance that takes its own cut for the death of endpoints.
BOOST_AUTO_TEST_CASE(InstanceThatReachesNoneOfSeveralIsIsolated) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, kEndpoints, At(0));
  BOOST_TEST(paths.InDoubt());
  BOOST_TEST(!paths.IsIsolated());
  BOOST_TEST(PlayChecks(paths, kEngines, 1) == 4);
  BOOST_TEST(paths.IsIsolated());
  BOOST_TEST(!paths.IsIsolatedFor(milliseconds(10), At(10)));
  BOOST_TEST(paths.IsIsolatedFor(milliseconds(10), At(11)));
}

// Guards against the death of one endpoint that is taken for a cut.
BOOST_AUTO_TEST_CASE(OneCheckClearsTheDoubtWhenOneEndpointIsDead) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, kEndpoints, At(0));
  BOOST_TEST(PlayChecks(paths, {"a"}, 1) == 1);
  BOOST_TEST(!paths.InDoubt());
  BOOST_TEST(paths.IsUnreachable("a", At(1)));
  BOOST_TEST(!paths.IsUnreachable("b", At(1)));
}

// Guards against the loss of a whole service, whose endpoints one request tries
// within a moment, that is taken for a cut.
BOOST_AUTO_TEST_CASE(LossOfAWholeServiceIsNoIsolation) {
  Reachability paths;
  for (const char* id : {"plain-1", "plain-2", "plain-3"}) {
    paths.OnFailure(id, kNotConnected, kEndpoints, At(0));
  }
  BOOST_TEST(!paths.IsIsolated());
  PlayChecks(paths, {}, 1);
  BOOST_TEST(!paths.InDoubt());
}

// Guards against a link that comes and goes, on which each single answer would
// bring the callers back.
BOOST_AUTO_TEST_CASE(OneAnswerDoesNotEndTheIsolation) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, kEndpoints, At(0));
  PlayChecks(paths, kEngines, 0);
  paths.OnAnswered("b", At(100), At(100));
  BOOST_TEST(paths.IsIsolated());
  paths.OnFailure("c", kNotConnected, kEndpoints, At(110));
  paths.OnAnswered("d", At(400), At(400));
  BOOST_TEST(paths.IsIsolated());
  paths.OnAnswered("e", At(410), At(410));
  BOOST_TEST(!paths.IsIsolated());
  BOOST_TEST(!paths.IsUnreachable("a", At(410)));
}

// Guards against answers on connections from before the cut, which go on while
// new ones fail, that end the isolation.
BOOST_AUTO_TEST_CASE(AnswersOnOlderConnectionsShowNothing) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, kEndpoints, At(100));
  paths.OnAnswered("b", At(90), At(101));
  BOOST_TEST(paths.InDoubt());
  PlayChecks(paths, kEngines, 110);
  paths.OnAnswered("b", At(90), At(120));
  paths.OnAnswered("c", At(95), At(130));
  BOOST_TEST(paths.IsIsolated());
}

// Guards against paths that are back and not used: a check is due soon, and the
// next one follows at once.
BOOST_AUTO_TEST_CASE(IsolationEndsWithinASecondOfTheReturn) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, kEndpoints, At(0));
  PlayChecks(paths, kEngines, 0);
  BOOST_TEST(PlayChecks(paths, kEngines, 10) == 0);
  BOOST_TEST(PlayChecks(paths, kEngines, 300) == 1);
  BOOST_TEST(PlayChecks(paths, {}, 600) == 2);
  BOOST_TEST(!paths.IsIsolated());
}

// Guards against reset links that are taken for crashes of all endpoints, and
// against crashes that are not seen because of the guard.
BOOST_AUTO_TEST_CASE(RefusedConnectionsMeanACrashOnlyIfOthersAnswer) {
  Reachability crash;
  crash.OnFailure("a", kNotConnected, kEndpoints, At(0));
  BOOST_TEST((crash.MeaningOfRefusal() == RefusalMeaning::kUnknownYet));
  PlayChecks(crash, {"a"}, 1);
  BOOST_TEST((crash.MeaningOfRefusal() == RefusalMeaning::kEnded));
  Reachability cut;
  cut.OnFailure("a", kNotConnected, kEndpoints, At(0));
  PlayChecks(cut, kEngines, 1);
  BOOST_TEST((cut.MeaningOfRefusal() == RefusalMeaning::kNothing));
}

// Guards against an instance that can't reach some endpoints, checks them now
// and then, and takes that for the loss of all.
BOOST_AUTO_TEST_CASE(ChecksOfUnreachableEndpointsAreNoNews) {
  const std::vector<std::string> dead = {"a", "b", "c", "d", "e"};
  Reachability paths;
  for (const std::string& id : dead) {
    paths.OnFailure(id, kNotConnected, kEndpoints, At(0));
    paths.OnAnswered("f", At(0), At(0));
  }
  for (int now = 1000; now < 10000; now += 1000) {
    PlayChecks(paths, dead, now);
    BOOST_TEST(!paths.IsIsolated());
    BOOST_TEST(!paths.InDoubt());
  }
}

// Guards against a leader whose reports all fail at one moment, which leaves no
// engine to check, and which never finds out that it is isolated.
BOOST_AUTO_TEST_CASE(EnginesThatAllFailedAtOnceAreCheckedAgain) {
  constexpr std::size_t kUncheckable = 1000;
  Reachability paths;
  for (const std::string& id : kEngines) {
    paths.OnFailure(id, kNotConnected, kUncheckable, At(0));
  }
  for (int now = 0; now < 400; now += 50) PlayChecks(paths, kEngines, now);
  BOOST_TEST(paths.IsIsolated());
}

// Guards against a sound endpoint that fell silent for a moment and is left out
// long after it has gone on.
BOOST_AUTO_TEST_CASE(EndpointThatGoesOnIsUsedAgain) {
  Reachability paths;
  paths.OnFailure("a", kUnresponsive, kEndpoints, At(0));
  paths.OnFailure("b", kNotConnected, kEndpoints, At(0));
  paths.OnData("a");
  paths.OnData("b");
  BOOST_TEST(!paths.IsUnreachable("a", At(1)));
  BOOST_TEST(paths.IsUnreachable("b", At(1)));
  paths.OnFailure("c", kUnresponsive, kEndpoints, At(0));
  BOOST_TEST(paths.IsUnreachable("c", At(999)));
  BOOST_TEST(!paths.IsUnreachable("c", At(1000)));
}

// Guards against an isolation that never ends, as no endpoint is left that
// could be checked.
BOOST_AUTO_TEST_CASE(ResetLetsRequestsFindOut) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, kEndpoints, At(0));
  PlayChecks(paths, kEngines, 0);
  BOOST_TEST(paths.IsIsolated());
  paths.Reset();
  BOOST_TEST(!paths.IsIsolated());
  BOOST_TEST(!paths.InDoubt());
  BOOST_TEST(!paths.IsUnreachable("a", At(1)));
}

// Guards against a fleet of few endpoints, all cut off, that is never found
// out.
BOOST_AUTO_TEST_CASE(FewEndpointsThatAllFailAreEnough) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, 2, At(0));
  paths.OnFailure("b", kNotConnected, 2, At(1));
  BOOST_TEST(paths.IsIsolated());
}

// Guards against an endpoint that is left out for ever after one failure, and
// against a flood of checks of one that is dead.
BOOST_AUTO_TEST_CASE(DeadEndpointIsCheckedOnceASecond) {
  Reachability paths;
  paths.OnFailure("a", kNotConnected, kEndpoints, At(0));
  PlayChecks(paths, {"a"}, 1);
  BOOST_TEST(PlayChecks(paths, {"a"}, 900) == 0);
  BOOST_TEST(PlayChecks(paths, {"a"}, 1000) == 1);
  BOOST_TEST(paths.IsUnreachable("a", At(2400)));
  PlayChecks(paths, {}, 2400);
  BOOST_TEST(!paths.IsUnreachable("a", At(2400)));
}

}  // namespace
}  // namespace toucanwharf::endpoints
