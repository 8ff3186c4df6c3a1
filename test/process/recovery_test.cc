#include <boost/test/unit_test.hpp>
#include <csignal>
#include <functional>
#include <string>

#include "test/process/fixture.h"

namespace toucanwharf::process_test {
namespace {

constexpr std::uint32_t kTokens = 24;
constexpr std::uint64_t kSeed = 7;
/// Number of tokens that the caller has read when the fault is injected.
constexpr std::size_t kFaultAt = 6;
const std::string kPrompt = "Summarise the deviations of lot 2231.";

/// Two engines for each half of the layers, one per failure domain, each behind
/// a relay, and one router.
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

  /// Streams one answer, calls \p fault in the middle of it, and checks that
  /// the caller reads the complete, correct answer without an error.
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

  /// Checks that the faults made at least \p count answers recover.
  void CheckRecoveries(double count) {
    BOOST_TEST(this->fleet.Metric(0, "toucanwharf_recoveries_total") >= count);
  }

  Fleet fleet;
};

/// Engines in the router's failure domain, which the router prefers.
constexpr const char* kFront = "front-casa-a";
constexpr const char* kBack = "back-casa-a";

BOOST_FIXTURE_TEST_SUITE(Recovery, TwoOfEach)

// An engine is killed while an answer streams: first that of the second stage,
// in a later answer that of the first stage. The caller reads the complete
// answer both times.
BOOST_AUTO_TEST_CASE(KilledStagesAbortNoAnswer) {
  this->CheckWholeAnswer([this] { this->fleet.Engine(kBack).Kill(); });
  this->CheckWholeAnswer([this] { this->fleet.Engine(kFront).Kill(); });
  this->CheckRecoveries(2);
}

// An engine's process is suspended and its connections stay open. The answer
// stalls without an error until the router's deadline, then resumes at another
// engine.
BOOST_AUTO_TEST_CASE(SuspendedStagesAbortNoAnswer) {
  this->CheckWholeAnswer([this] { this->fleet.Engine(kBack).Signal(SIGSTOP); });
  this->CheckWholeAnswer(
      [this] { this->fleet.Engine(kFront).Signal(SIGSTOP); });
  this->CheckRecoveries(2);
}

// A middlebox between router and engine drops the state of the open
// connections; new ones work. The answer resumes over a new connection.
BOOST_AUTO_TEST_CASE(BlackholedConnectionAbortsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kFront, {{"silence", "open"}});
    this->fleet.RelayFault("front-casa-b", {{"silence", "open"}});
  });
  this->CheckRecoveries(1);
}

// The connection between two engines is blackholed; the first engine waits for
// the second without reporting an error.
BOOST_AUTO_TEST_CASE(BlackholedConnectionBetweenStagesAbortsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kBack, {{"silence", "open"}});
  });
}

// All connections to the first stage are blackholed, open and new ones.
BOOST_AUTO_TEST_CASE(UnreachableStageAbortsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kFront, {{"silence", "all"}});
  });
}

// The latency of a link rises to 300 ms in each direction. The answer may
// continue slowly or on another path; it must be complete.
BOOST_AUTO_TEST_CASE(SlowLinkAbortsNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.RelayFault(kBack, {{"delay_ms", 300}});
  });
}

// A stage is killed, and a stage of the other failure domain becomes
// unreachable while the answer resumes. One cover remains.
BOOST_AUTO_TEST_CASE(ConcurrentFaultsAbortNoAnswer) {
  this->CheckWholeAnswer([this] {
    this->fleet.Engine(kBack).Kill();
    this->fleet.RelayFault("front-casa-b", {{"cut", true}, {"refuse", true}});
  });
  this->CheckRecoveries(1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::process_test
