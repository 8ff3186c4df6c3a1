#include "toucanwharf/eventlog/explain.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::eventlog {
namespace {

std::string Line(int time_ms, const std::string& instance,
                 const std::string& event, const std::string& more = "") {
  return "{\"v\":1,\"at\":" + std::to_string(time_ms) + ",\"instance\":\"" +
         instance + "\",\"event\":\"" + event + "\"" + more + "}";
}

std::string About(const std::string& request, const std::string& why) {
  return ",\"request\":\"" + request + "\",\"why\":\"" + why + "\"";
}

std::vector<LogEntry> Entries(const std::vector<std::string>& lines) {
  std::vector<LogEntry> entries;
  for (const std::string& line : lines) {
    if (auto entry = ParseLogLine(line)) entries.push_back(std::move(*entry));
  }
  return entries;
}

// The logs of two processes, in any order, must suffice to explain why a
// request was refused and which state its instance had at that moment.
BOOST_AUTO_TEST_CASE(RefusalIsExplainedFromLogsAlone) {
  const std::string collected = "12.5 front-1 ";
  const auto explanation = Explain(
      Entries({collected +
                   Line(50, "a", "refused", About("r-1", "keys_unconfirmed")),
               Line(40, "a", "store_lost"), Line(60, "a", "store_regained"),
               Line(41, "b", "store_lost"),
               Line(10, "a", "configuration_in_force"),
               Line(45, "a", "refused", About("r-2", "no_route")),
               "no line of this log"}),
      "r-1");
  BOOST_REQUIRE(explanation.steps.size() == 1U);
  BOOST_REQUIRE(explanation.state_changes.size() == 2U);
  BOOST_TEST(explanation.state_changes[0].event == "configuration_in_force");
  BOOST_TEST(explanation.state_changes[1].event == "store_lost");
  BOOST_TEST(explanation.cause.find("bound of revocation") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(LastReasonIsTheCause) {
  const auto explanation =
      Explain(Entries({Line(1, "a", "try_ended", About("r", "not_connected")),
                       Line(2, "a", "try_ended", About("r", "broken")),
                       Line(3, "a", "finished", ",\"request\":\"r\"")}),
              "r");
  BOOST_TEST(explanation.steps.size() == 3U);
  BOOST_TEST(explanation.cause.find("broke before") != std::string::npos);
  BOOST_TEST(ToText(explanation.wait).empty());
}

// Callers repeat a refused request with its id, here or at another instance.
BOOST_AUTO_TEST_CASE(RefusalAfterAWaitStatesWaitAndPlaceOfThatTime) {
  const std::string about = ",\"request\":\"r\"";
  const std::string late = About("r", "no_room_in_time") + ",\"rank\":2";
  const auto explanation = Explain(
      Entries({Line(1, "a", "queued", about + ",\"rank\":2,\"ahead\":90"),
               Line(9, "a", "refused", late + ",\"waited_ms\":8"),
               Line(9, "a", "finished", about + ",\"waited_ms\":8"),
               Line(20, "a", "queued",
                    about + ",\"rank\":2,\"ahead\":14,"
                            "\"expected_wait_ms\":600"),
               Line(30, "b", "queued", about + ",\"rank\":2,\"ahead\":3"),
               Line(832, "a", "refused", late + ",\"waited_ms\":812"),
               Line(833, "b", "finished", about + ",\"waited_ms\":803")}),
      "r");
  BOOST_TEST(ToText(explanation.wait) ==
             "rank 2, queued behind 14 requests, expected to wait 600 ms, "
             "waited 812 ms");
  BOOST_TEST(explanation.cause.ends_with(
      "it waited 812 ms, and 14 requests went before it when it began to "
      "wait"));
}

// The `queued` line is sampled: without it the place isn't known.
BOOST_AUTO_TEST_CASE(WaitWithoutItsQueuedLineHasNoPlace) {
  const std::string about = ",\"request\":\"r\"";
  const std::string late = About("r", "no_room_in_time");
  const auto explanation =
      Explain(Entries({Line(1, "a", "queued", about + ",\"ahead\":90"),
                       Line(9, "a", "finished", about + ",\"waited_ms\":8"),
                       Line(50, "a", "refused", late + ",\"waited_ms\":21")}),
              "r");
  BOOST_TEST(explanation.cause.ends_with("; it waited 21 ms"));
}

BOOST_AUTO_TEST_CASE(UnknownRequestHasNoSteps) {
  BOOST_TEST(Explain({}, "r").steps.empty());
}

}  // namespace
}  // namespace toucanwharf::eventlog
