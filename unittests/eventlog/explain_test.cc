#include "toucanwharf/eventlog/explain.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::eventlog {
namespace {

std::vector<LogEntry> Entries(const std::vector<std::string>& lines) {
  std::vector<LogEntry> entries;
  for (const std::string& line : lines) {
    if (auto entry = ParseLogLine(line)) entries.push_back(std::move(*entry));
  }
  return entries;
}

// A caller complains of a refusal. The logs of two processes come in any order,
// and tell why it was refused and what its instance believed at that moment.
BOOST_AUTO_TEST_CASE(RefusalIsExplainedFromLogsAlone) {
  const auto explanation = Explain(
      Entries({
          R"(12.5 front-1 {"v":1,"at":50,"instance":"a","event":"refused",)"
          R"("request":"r-1","why":"keys_unconfirmed","status":503})",
          R"({"v":1,"at":40,"instance":"a","event":"store_lost"})",
          R"({"v":1,"at":60,"instance":"a","event":"store_regained"})",
          R"({"v":1,"at":41,"instance":"b","event":"store_lost"})",
          R"({"v":1,"at":10,"instance":"a","event":"configuration_in_force"})",
          R"({"v":1,"at":45,"instance":"a","event":"refused",)"
          R"("request":"r-2","why":"no_route"})",
          "no line of this log",
      }),
      "r-1");
  BOOST_REQUIRE(explanation.steps.size() == 1U);
  BOOST_REQUIRE(explanation.beliefs.size() == 2U);
  BOOST_TEST(explanation.beliefs[0].event == "configuration_in_force");
  BOOST_TEST(explanation.beliefs[1].event == "store_lost");
  BOOST_TEST(explanation.cause.find("bound of revocation") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(LastReasonIsTheCause) {
  const auto explanation = Explain(
      Entries({
          R"({"at":1,"event":"try_ended","request":"r","why":"not_connected"})",
          R"({"at":2,"event":"try_ended","request":"r","why":"broken"})",
          R"({"at":3,"event":"finished","request":"r","outcome":"failed"})",
      }),
      "r");
  BOOST_TEST(explanation.steps.size() == 3U);
  BOOST_TEST(explanation.cause.find("broke before") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(UnknownRequestHasNoSteps) {
  BOOST_TEST(Explain({}, "r").steps.empty());
}

}  // namespace
}  // namespace toucanwharf::eventlog
