#include "toucanwharf/instance/metrics.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::instance {
namespace {

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Prometheus rejects the whole text if a name has two TYPE lines.
BOOST_AUTO_TEST_CASE(WaitsOfEachSeenRankAreOneSeries) {
  WaitingByRank waiting{};
  waiting.at(2).requests = 7;
  WaitsByRank waits{};
  waits.at(0).Add(std::chrono::milliseconds(40));
  waits.at(2).Add(std::chrono::milliseconds(250));
  waits.at(2).Add(std::chrono::milliseconds(2250));
  const std::string text = WaitMetricsText(waiting, waits);
  BOOST_TEST(Count(text, "# TYPE toucanwharf_waiting gauge\n") == 1U);
  BOOST_TEST(Count(text, "# TYPE toucanwharf_waited_seconds histogram\n") ==
             1U);
  BOOST_TEST(Count(text, "toucanwharf_waiting{") == 1U);
  BOOST_TEST(Count(text, "toucanwharf_waiting{rank=\"2\"} 7\n") == 1U);
  BOOST_TEST(Count(text, "_count{") == 2U);
  for (const std::string sample :
       {"bucket{rank=\"0\",le=\"0.05\"} 1", "bucket{rank=\"2\",le=\"0.3\"} 1",
        "bucket{rank=\"2\",le=\"+Inf\"} 2", "count{rank=\"2\"} 2",
        "sum{rank=\"2\"} 2.5"}) {
    BOOST_TEST(Count(text, "toucanwharf_waited_seconds_" + sample + "\n") == 1U,
               sample);
  }
}

}  // namespace
}  // namespace toucanwharf::instance
