#include "toucanwharf/transport/event_stream.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace toucanwharf::transport {
namespace {

// Guards against tokens that reach a caller twice, split or not at all because
// the parser depends on where TCP segments the stream. The engine sends
// complete events; the network delivers them in segments of any size.
RC_BOOST_PROP(AnyCutGivesTheSameEvents,
              (const std::vector<std::uint8_t>& raw_cuts)) {
  const std::vector<std::string> sent = {"one", "{\"a\":2}", "", "last"};
  std::string bytes;
  for (const std::string& data : sent) bytes += FormatEvent(data);
  EventStreamParser parser;
  std::vector<std::string> got;
  std::size_t at = 0;
  for (const std::uint8_t cut : raw_cuts) {
    const std::string piece = bytes.substr(at, cut % 7);
    at += piece.size();
    for (std::string& event : parser.Feed(piece)) got.push_back(event);
  }
  for (std::string& event : parser.Feed(bytes.substr(at))) got.push_back(event);
  RC_ASSERT(got == sent);
}

BOOST_AUTO_TEST_CASE(OverlongEventIsDroppedAndCounted) {
  EventStreamParser parser;
  const std::string huge(3 << 20, 'x');
  BOOST_TEST(parser.Feed("data: " + huge).empty());
  const auto events = parser.Feed("\n\ndata: next\n\n");
  BOOST_TEST(events.size() == 1u);
  BOOST_TEST(parser.Dropped() == 1);
}

// Guards against an event without an end that is kept line by line.
BOOST_AUTO_TEST_CASE(LinesWithoutAnEventsEndAreNotKept) {
  EventStreamParser parser;
  const std::string line = "data: " + std::string(1000, 'x') + "\n";
  for (int i = 0; i < 20'000; ++i) parser.Feed(line);
  BOOST_TEST(parser.HeldBytes() <= 4U << 20);
  const auto events = parser.Feed("\n\ndata: next\n\n");
  BOOST_TEST(events.size() == 1U);
  BOOST_TEST(parser.Dropped() == 1);
}

}  // namespace
}  // namespace toucanwharf::transport
