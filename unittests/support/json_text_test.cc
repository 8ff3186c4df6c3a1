#include "toucanwharf/support/json_text.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf {
namespace {

// Guards against one value that can't be read hiding those beside it.
BOOST_AUTO_TEST_CASE(ValuesAreToldApartWithoutBeingRead) {
  const std::string odd = R"({"a":["\ud800",1e400,"]}\"",{}],"b":tru})";
  const std::string list = "[1, " + odd + " ,\"x,y\", [] ]";
  const auto elements = SplitArray(list);
  BOOST_REQUIRE(elements.has_value());
  BOOST_REQUIRE(elements->size() == 4U);
  BOOST_TEST((*elements)[1] == odd);
  BOOST_TEST((*elements)[2] == "\"x,y\"");
  const auto members = SplitObject(odd);
  BOOST_REQUIRE(members.has_value());
  BOOST_TEST(ValueOf(*members, "b") == "tru");
  BOOST_TEST(ValueOf(*members, "c").empty());
  BOOST_TEST(!IsReadableJson((*elements)[1]));
}

// Guards against a last page that seems to be one, as "true " isn't "true".
BOOST_AUTO_TEST_CASE(SpaceAfterAValueIsNoPartOfIt) {
  for (const char* text :
       {"{\"a\":true}", "{\"a\": true }", "{\"a\":\ttrue\r\n , \"b\":1\n}"}) {
    const auto members = SplitObject(text);
    BOOST_REQUIRE(members.has_value());
    BOOST_TEST(ValueOf(*members, "a") == "true", text);
  }
}

BOOST_AUTO_TEST_CASE(TextsOfAnotherFormAreNotSplit) {
  for (const char* text : {"", "[", "[1", "[1,", "[,]", "[1 2", "[]]", "{}",
                           "[\"a]", "[{]", "1"}) {
    BOOST_TEST(!SplitArray(text).has_value(), text);
  }
  for (const char* text :
       {"{", "{\"a\"}", "{\"a\":}", "{a:1}", "{} x", "[]", "{\"a\":1,}"}) {
    BOOST_TEST(!SplitObject(text).has_value(), text);
  }
}

// Guards against a text that overflows the stack of what reads it.
BOOST_AUTO_TEST_CASE(DeeplyNestedTextsAreNotRead) {
  const std::string open(100'000, '[');
  const std::string nested = open + std::string(open.size(), ']');
  BOOST_TEST(ParseJson(nested).is_discarded());
  BOOST_TEST(!IsReadableJson(nested));
  BOOST_TEST(ParseJson("[\"" + open + "\"]").is_array());
}

// Any array of values is split into texts that read as these values.
BOOST_AUTO_TEST_CASE(SplitPartsReadAsTheirValues) {
  const bool holds = rc::check([](const std::vector<std::string>& texts) {
    nlohmann::json array = nlohmann::json::array();
    for (const std::string& text : texts) {
      std::string ascii = text;
      for (char& byte : ascii) byte = static_cast<char>(byte & 0x7f);
      array.push_back({{ascii, {ascii, 1.5, nullptr}}});
    }
    const std::string whole = array.dump(*rc::gen::inRange(-1, 3));
    const auto elements = SplitArray(whole);
    RC_ASSERT(elements.has_value());
    RC_ASSERT(elements->size() == array.size());
    for (std::size_t i = 0; i < array.size(); ++i) {
      RC_ASSERT(ParseJson((*elements)[i]) == array[i]);
    }
  });
  BOOST_TEST(holds);
}

}  // namespace
}  // namespace toucanwharf
