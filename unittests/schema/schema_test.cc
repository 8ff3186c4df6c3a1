#include "toucanwharf/schema/schema.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::schema {
namespace {

using nlohmann::json;

const json& PersonSchema() {
  static const json* const kPerson = new json(json::parse(R"({
    "type": "object", "required": ["name", "age"],
    "additionalProperties": false,
    "properties": {
      "name": {"type": "string", "description": "a text"},
      "age": {"type": "integer", "minimum": 0, "description": "years"},
      "pets": {"type": "array", "items": {
        "type": "string", "description": "name of a pet"}}}})"));
  return *kPerson;
}

BOOST_AUTO_TEST_CASE(EveryProblemIsReported) {
  const json document =
      json::parse(R"({"age": -1, "pets": ["a", 7], "x": 1, "y/z": 2})");
  const Problems problems = CheckDocument(PersonSchema(), document);
  BOOST_REQUIRE(problems.size() == 5u);
  BOOST_TEST(problems[0].pointer == "/age");
  BOOST_TEST(problems[0].found == "-1");
  BOOST_TEST(problems[0].allowed == "years");
  BOOST_TEST(problems[1].pointer == "/name");
  BOOST_TEST(problems[1].found == "nothing");
  BOOST_TEST(problems[1].remedy == "add \"name\"");
  BOOST_TEST(problems[2].pointer == "/pets/1");
  BOOST_TEST(problems[3].pointer == "/x");
  BOOST_TEST(problems[4].pointer == "/y~1z");
}

BOOST_AUTO_TEST_CASE(ValidDocumentHasNoProblem) {
  const json document = json::parse(R"({"name": "n", "age": 3})");
  BOOST_TEST(CheckDocument(PersonSchema(), document).empty());
}

// Guards against a stack overflow, which ends the process with all answers in
// progress: a caller sends a document of a hundred thousand nested arrays, and
// every recursive reader of it overflows the stack.
BOOST_AUTO_TEST_CASE(DeepNestingIsRefused) {
  const std::string deep(100000, '[');
  const auto document = ParseJson(deep + std::string(100000, ']'));
  BOOST_REQUIRE(document.has_error());
  BOOST_TEST(document.assume_error()[0].remedy == "remove the nesting");
}

BOOST_AUTO_TEST_CASE(LongStringsAreRefused) {
  const std::string text =
      "[\"" + std::string(kMaxStringBytes + 1, 'a') + "\"]";
  BOOST_TEST(ParseJson(text).has_error());
}

RC_BOOST_PROP(AnyBytesAreReadOrRefused, (const std::string& text)) {
  const auto document = ParseJson(text);
  if (document.has_error()) RC_ASSERT(!document.assume_error().empty());
}

}  // namespace
}  // namespace toucanwharf::schema
