#include "toucanwharf/http/event_splitter.h"

#include <boost/test/unit_test.hpp>
#include <ctime>
#include <string>

namespace toucanwharf::http {
namespace {

BOOST_AUTO_TEST_SUITE(EventSplitterTest)

// Guards against an event that is searched from its start for each byte, so
// that a peer that sends bytes one by one takes all processor time.
BOOST_AUTO_TEST_CASE(EventOfManySmallPiecesTakesLittleTime) {
  constexpr std::size_t kBytes = 100'000;
  constexpr double kMostSeconds = 2;
  const std::string line = ":\n";
  EventSplitter splitter;
  const std::clock_t began = std::clock();
  for (std::size_t i = 0; i < kBytes; ++i) {
    splitter.Feed(line.substr(i % line.size(), 1));
    BOOST_REQUIRE(splitter.TakeCompleteEvents().empty());
  }
  const auto taken = static_cast<double>(std::clock() - began);
  BOOST_TEST(taken / CLOCKS_PER_SEC <= kMostSeconds);
  splitter.Feed("id: 7\n\n");
  BOOST_TEST(splitter.TakeCompleteEvents().size() == kBytes + 7);
  BOOST_TEST(splitter.LastId().value_or("") == "7");
}

// Guards against an id that is lost when its event comes in pieces.
BOOST_AUTO_TEST_CASE(AnyCutGivesTheSameEvents) {
  const std::string text =
      "id: 1\r\ndata: a\r\n\r\nid:2\ndata\n\n:c\n\nid: 3\ndata: b\n\nid: 4\n";
  const std::string partial = "id: 4\n";
  for (std::size_t first = 0; first <= text.size(); ++first) {
    for (std::size_t second = first; second <= text.size(); ++second) {
      EventSplitter splitter;
      std::string got;
      for (const std::string& piece :
           {text.substr(0, first), text.substr(first, second - first),
            text.substr(second)}) {
        splitter.Feed(piece);
        got += splitter.TakeCompleteEvents();
      }
      BOOST_REQUIRE(got + partial == text);
      BOOST_REQUIRE(splitter.LastId().value_or("") == "3");
      BOOST_REQUIRE(splitter.HasPartialEvent());
      splitter.BeginRun();
      splitter.Feed("data: c\nid: 4\n\n");
      BOOST_REQUIRE(splitter.TakeCompleteEvents() == "data: c\nid: 4\n\n");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::http
