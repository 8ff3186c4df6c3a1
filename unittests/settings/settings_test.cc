#include "toucanwharf/settings/settings.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace toucanwharf::settings {
namespace {

using nlohmann::json;

json GoodSettings() {
  return json::parse(R"({
    "instance": "entry-1", "failure_domain": "casa-a", "region": "casablanca",
    "listen": {"callers": "127.0.0.1:8080", "admin": "127.0.0.1:8081",
               "peers": "[::1]:8082"},
    "platform": {"address": "127.0.0.1:9000"},
    "keys": {"admin": "admin-key-0123456", "peer": "peer-key-01234567"}})");
}

BOOST_AUTO_TEST_CASE(DefaultsFillWhatIsAbsent) {
  const auto parsed = ParseSettings(GoodSettings().dump());
  BOOST_REQUIRE(parsed.has_value());
  const Settings& settings = parsed.assume_value();
  BOOST_TEST((settings.advertise == settings.listen));
  BOOST_TEST((settings.timeouts == Timeouts{}));
  BOOST_TEST((settings.limits == Limits{}));
}

BOOST_AUTO_TEST_CASE(GivenValuesAreKept) {
  json document = GoodSettings();
  document["advertise"] = {{"callers", "10.0.0.1:80"}};
  document["timeouts"] = {{"progress_ms", 250}};
  document["limits"] = {{"body_bytes", 4096}, {"memory_mb", 512}};
  const auto parsed = ParseSettings(document.dump());
  BOOST_REQUIRE(parsed.has_value());
  const Settings& settings = parsed.assume_value();
  BOOST_TEST(settings.advertise.callers == "10.0.0.1:80");
  BOOST_TEST(settings.advertise.admin == settings.listen.admin);
  BOOST_TEST(settings.timeouts.progress.count() == 250000);
  BOOST_TEST(settings.limits.body_bytes == 4096u);
  BOOST_TEST(settings.limits.memory_mb == 512u);
}

BOOST_AUTO_TEST_CASE(EveryInvalidSettingIsReported) {
  json document = GoodSettings();
  document.erase("region");
  document["listen"]["admin"] = "localhost:8081";
  document["listen"]["peers"] = "127.0.0.1:8080";
  document["timeouts"] = {{"connect_ms", 0}, {"conect_ms", 5}};
  document["limits"] = {{"memory_mb", 1}};
  const auto parsed = ParseSettings(document.dump());
  BOOST_REQUIRE(parsed.has_error());
  BOOST_TEST(parsed.assume_error().size() == 6u);
}

// Guards against disclosure of a mistyped key: problems are written to
// terminals and logs that others read.
BOOST_AUTO_TEST_CASE(ProblemsDoNotShowKeys) {
  json document = GoodSettings();
  document["keys"]["admin"] = "short-secret";
  document["keys"]["other"] = "secret";
  const auto parsed = ParseSettings(document.dump());
  BOOST_REQUIRE(parsed.has_error());
  for (const schema::Problem& problem : parsed.assume_error()) {
    BOOST_TEST((ToText(problem).find("secret\"") == std::string::npos));
  }
}

RC_BOOST_PROP(AnyBytesParseOrHaveProblems, (const std::string& text)) {
  const auto parsed = ParseSettings(text);
  RC_ASSERT(parsed.has_value() || !parsed.assume_error().empty());
}

}  // namespace
}  // namespace toucanwharf::settings
