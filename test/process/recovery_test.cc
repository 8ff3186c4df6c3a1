#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <string>

#include "test/process/fixture.h"

namespace toucanwharf::process_test {
namespace {

constexpr std::uint32_t kTokens = 24;
constexpr std::uint64_t kSeed = 7;
/// The fault happens when the caller has read so many tokens.
constexpr std::size_t kFaultAt = 6;
const std::string kPrompt = "Summarise the deviations of lot 2231.";

/// Two engines for each half of the layers, in two failure domains, each
/// behind a relay, and one router.
struct TwoOfEach {
  TwoOfEach() {
    for (const std::string domain : {"casa-a", "casa-b"}) {
      this->Add("front-" + domain, domain, 0, Fleet::kLayers / 2);
      this->Add("back-" + domain, domain, Fleet::kLayers / 2, Fleet::kLayers);
    }
    this->fleet.AddRouter("casa-a");
    this->fleet.WaitUntilServing();
  }

  void Add(const std::string& id, const std::string& domain,
           std::uint32_t begin, std::uint32_t end) {
    EngineSpec spec;
    spec.id = id;
    spec.failure_domain = domain;
    spec.begin = begin;
    spec.end = end;
    spec.behind_relay = true;
    this->fleet.AddEngine(spec);
  }

  /// Streams one answer with \p fault in its middle and checks that the caller
  /// reads all of it, right and without an error.
  void CheckWholeAnswer(const std::function<void()>& fault) {
    const StreamedAnswer answer =
        this->fleet.Stream(0, kPrompt, kTokens, kSeed, [&](std::size_t read) {
          if (read == kFaultAt) fault();
          return true;
        });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.error == "");
    BOOST_TEST(answer.done);
    const auto expected = Fleet::Expected(kPrompt, kTokens, kSeed);
    BOOST_TEST(answer.tokens == expected, boost::test_tools::per_element());
  }

  /// Checks that the faults did hit \p count answers.
  void CheckRecoveries(double count) {
    BOOST_TEST(this->fleet.Metric(0, "toucanwharf_recoveries_total") >= count);
  }

  Fleet fleet;
};

/// The engines of the router's own failure domain serve first.
constexpr const char* kFront = "front-casa-a";
constexpr const char* kBack = "back-casa-a";

BOOST_FIXTURE_TEST_SUITE(Recovery, TwoOfEach)

// An engine's instance is lost while a release note streams: first the one of
// the second stage, in a later answer the one of the first. The pharmacist
// reads the whole note both times.
BOOST_AUTO_TEST_CASE(KilledStagesCutNoAnswer) {
  this->CheckWholeAnswer([this] { this->fleet.Engine(kBack).Kill(); });
  this->CheckWholeAnswer([this] { this->fleet.Engine(kFront).Kill(); });
  this->CheckRecoveries(2);
}

// An engine's process freezes and its connections stay open. The answer stops
// without an error until the router's deadline; it goes on elsewhere.
BOOST_AUTO_TEST_CASE(FrozenStagesCutNoAnswer) {
  this->CheckWholeAnswer([this] { this->fleet.Engine(kBack).Signal(SIGSTOP); });
  this->CheckWholeAnswer(
      [this] { this->fleet.Engine(kFront).Signal(SIGSTOP); });
  this->CheckRecoveries(2);
}

// Something between router and engine forgets the connections that are open;
// new ones work. The answer goes on over a fresh connection.
BOOST_AUTO_TEST_CASE(SilentConnectionCutsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kFront, {{"silence", "open"}});
    this->fleet.RelayFault("front-casa-b", {{"silence", "open"}});
  });
  this->CheckRecoveries(1);
}

// The connection between two engines goes silent; the first engine waits for
// the second and says nothing.
BOOST_AUTO_TEST_CASE(SilentConnectionBetweenStagesCutsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kBack, {{"silence", "open"}});
  });
}

// All connections to the first stage go silent, old and new.
BOOST_AUTO_TEST_CASE(UnreachableStageCutsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kFront, {{"silence", "all"}});
  });
}

// A link degrades to 300 ms each way. The answer may go on slowly or move; it
// must be whole.
BOOST_AUTO_TEST_CASE(SlowLinkCutsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kBack, {{"delay_ms", 300}});
  });
}

// A stage dies, and while the answer resumes a stage of the other failure
// domain is cut off as well. One cover is left.
BOOST_AUTO_TEST_CASE(TwoFaultsAtOnceCutNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.Engine(kBack).Kill();
    this->fleet.RelayFault("front-casa-b", {{"cut", true}, {"refuse", true}});
  });
  this->CheckRecoveries(1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::process_test
