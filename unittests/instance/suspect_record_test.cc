#include "toucanwharf/instance/suspect_record.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const quarantine::SuspectReport kReport{
    {7, 0x1234},
    {{{1, 11}, seconds(9), milliseconds(60), false},
     {{2, 12}, seconds(4), milliseconds(50), true}}};

// Guards against times of an earlier process that are compared with the clock
// of this one: the last crash counts as of now.
BOOST_AUTO_TEST_CASE(SuspectCanBeReadBackAsOfNow) {
  const auto read = SuspectRecordFromText(quarantine::ToText(kReport.request),
                                          SuspectRecordToText(kReport, "a"));
  BOOST_REQUIRE(read.has_value());
  quarantine::SuspectReport expected = kReport;
  expected.crashes[0].age = seconds(5);
  expected.crashes[1].age = seconds(0);
  BOOST_CHECK(*read == expected);
}

// Guards against an entry of another writer that terminates the process.
BOOST_AUTO_TEST_CASE(MalformedSuspectsAreRejected) {
  const std::string name = quarantine::ToText(kReport.request);
  for (const char* text :
       {"", "7", "{", "[]", "{}", R"({"crashes":7})", R"({"crashes":[7]})",
        R"({"crashes":[{"endpoint":"x"}]})"}) {
    BOOST_CHECK(!SuspectRecordFromText(name, text));
  }
  BOOST_CHECK(
      !SuspectRecordFromText("no-name", SuspectRecordToText(kReport, "a")));
}

}  // namespace
}  // namespace toucanwharf::instance
