#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "toucanwharf/timeline/codec.h"
#include "toucanwharf/timeline/merge.h"

namespace toucanwharf::timeline {
namespace {

EventDetails About(EventKind kind, const std::string& request) {
  EventDetails details;
  details.kind = kind;
  details.request = request;
  return details;
}

BOOST_AUTO_TEST_CASE(EveryKindHasItsOwnName) {
  const int kinds = static_cast<int>(EventKind::kPlacementChanged) + 1;
  for (int number = 0; number < kinds; ++number) {
    const auto kind = static_cast<EventKind>(number);
    BOOST_TEST((KindOf(NameOf(kind)) == kind));
  }
}

BOOST_AUTO_TEST_CASE(FullBufferDropsTheOldestAndCountsIt) {
  Buffer buffer("e1", 3);
  for (int index = 0; index < 5; ++index) {
    buffer.Add(1000, About(EventKind::kStarted, ""));
  }
  const Page page = buffer.After(0, 10);
  BOOST_TEST(page.dropped == 2u);
  BOOST_REQUIRE(page.events.size() == 3u);
  BOOST_TEST(page.events.front().sequence == 3u);
  BOOST_TEST(buffer.After(4, 10).events.size() == 1u);
  BOOST_TEST(buffer.After(0, 2).events.size() == 2u);
  BOOST_TEST(buffer.After(99, 2).events.empty());
}

RC_BOOST_PROP(PagesRoundTripThroughTheCodec,
              (std::uint64_t wall, const std::string& text)) {
  // Bytes that are not UTF-8 are replaced, so the test uses only ASCII.
  std::string plain;
  for (const char letter : text) plain += static_cast<char>(letter & 0x7f);
  Buffer buffer("e1", 4);
  EventDetails details = About(EventKind::kStageLost, plain);
  details.reason = plain;
  details.attempt = 3;
  buffer.Add(wall, details);
  const Page page = buffer.After(0, 10);
  RC_ASSERT(ParsePage(ToJson(page)).value() == page);
}

RC_BOOST_PROP(AnyBytesAreAPageOrAnError, (const std::string& text)) {
  const auto page = ParsePage(text);
  if (page.has_error()) RC_ASSERT(!page.error().message().empty());
}

BOOST_AUTO_TEST_CASE(PageOfWrongTypesIsReadWithoutTheWrongEvents) {
  const auto page = ParsePage(
      R"({"instance": 7, "events": [1, {"kind": "started"},
          {"kind": "started", "stamp": "5.0", "attempt": "x"},
          {"kind": "later_kind", "stamp": "5.0"}]})");
  BOOST_REQUIRE(page.has_value());
  BOOST_TEST(page.value().events.size() == 1u);
}

BOOST_AUTO_TEST_CASE(MergeOrdersByStampThenInstance) {
  Buffer first("a", 4);
  Buffer second("b", 4);
  second.Add(10, About(EventKind::kRequestAccepted, "r"));
  first.Add(10, About(EventKind::kStarted, ""));
  first.Add(12, About(EventKind::kAnswerResumed, "r"));
  second.Add(11, About(EventKind::kStageLost, "r"));
  const auto merged = Merge({first.After(0, 9), second.After(0, 9)});
  BOOST_REQUIRE(merged.size() == 4u);
  BOOST_TEST(merged[0].instance == "a");
  BOOST_TEST(merged[1].instance == "b");
  BOOST_TEST((merged[2].event.details.kind == EventKind::kStageLost));
  const std::string text = ToText(merged);
  BOOST_TEST((text.find("1970-01-01T00:00:00.011Z b            stage_lost") !=
              std::string::npos));
}

BOOST_AUTO_TEST_CASE(ChromeTraceHasARowPerInstanceAndABarPerRequest) {
  Buffer buffer("a", 4);
  buffer.Add(10, About(EventKind::kRequestAccepted, "r"));
  buffer.Add(15, About(EventKind::kAnswerFinished, "r"));
  const auto trace =
      nlohmann::json::parse(ToChromeTrace(Merge({buffer.After(0, 9)})));
  std::string phases;
  for (const auto& event : trace["traceEvents"]) {
    phases += event["ph"].get<std::string>();
  }
  BOOST_TEST(phases == "Miibe");
  BOOST_TEST(trace["traceEvents"][4]["ts"] == 15000);
}

}  // namespace
}  // namespace toucanwharf::timeline
