#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/common/http_client.h"
#include "standins/common/http_server.h"
#include "standins/platform/api.h"

namespace toucanwharf::standins {
namespace {

constexpr int kTimeoutMs = 10000;

struct Platform {
  PlatformApi api;
  HttpServer server{
      0, [this](const HttpRequest& request) { return api.Handle(request); }};

  HttpAnswer Call(const std::string& method, const std::string& path,
                  const nlohmann::json& body = nullptr) {
    const std::string url =
        "http://127.0.0.1:" + std::to_string(this->server.Port()) + path;
    // A fresh connection for each call: on a reused one libcurl would send a
    // call again whose answer was lost.
    return HttpClient().Call(
        method, url, body.is_null() ? std::string() : body.dump(), kTimeoutMs);
  }
  HttpAnswer Put(const std::string& name, int value, int if_version) {
    return this->Call("PUT", "/objects/c/" + name,
                      {{"writer", "w" + std::to_string(value)},
                       {"value", value},
                       {"if_version", if_version}});
  }
};

BOOST_FIXTURE_TEST_CASE(ConditionalWritesKeepVersions, Platform) {
  BOOST_TEST(this->Put("a", 1, 0).Json().at("version") == 1);
  BOOST_TEST(this->Put("a", 2, 0).status == 409);
  BOOST_TEST(this->Put("a", 2, 1).Json().at("version") == 2);
  BOOST_TEST(this->Put("b", 3, 0).Json().at("version") == 3);
  const nlohmann::json object = this->Call("GET", "/objects/c/a").Json();
  BOOST_TEST(object.at("value") == 2);
  BOOST_TEST(object.at("writer") == "w2");
  const nlohmann::json list = this->Call("GET", "/objects/c").Json();
  BOOST_TEST(list.at("revision") == 3);
  BOOST_TEST(list.at("items").size() == 2u);
  BOOST_TEST(this->Call("DELETE", "/objects/c/a?if_version=1").status == 409);
  BOOST_TEST(this->Call("DELETE", "/objects/c/a?if_version=2").status == 200);
  BOOST_TEST(this->Call("GET", "/objects/c/a").status == 404);
  const nlohmann::json seen =
      this->Call("GET", "/watch/c?after=1&wait_ms=0").Json();
  BOOST_TEST(seen.at("events").size() == 3u);
  BOOST_TEST(seen.at("events").at(2).at("type") == "delete");
  BOOST_TEST(this->Call("GET", "/counters").Json().at("watch") == 1);
}

BOOST_FIXTURE_TEST_CASE(ALostAnswerTookEffectAndAStaleReadIsOlder, Platform) {
  this->Put("a", 1, 0);
  this->Call("POST", "/faults", {{"lose_answers", 1}});
  BOOST_TEST(this->Put("a", 2, 1).status == 0);
  this->Call("POST", "/faults", {{"stale_reads", 1}});
  BOOST_TEST(this->Call("GET", "/objects/c/a").Json().at("value") == 1);
  BOOST_TEST(this->Call("GET", "/objects/c/a").Json().at("value") == 2);
  this->Call("POST", "/faults", {{"outage", true}});
  BOOST_TEST(this->Call("GET", "/objects/c/a").status == 503);
  this->Call("POST", "/faults", {{"outage", false}});
  BOOST_TEST(this->Call("GET", "/objects/c/a").status == 200);
}

BOOST_FIXTURE_TEST_CASE(TheInstanceListLags, Platform) {
  this->Call("POST", "/instances", {{"id", "r1"}, {"role", "router"}});
  BOOST_TEST(this->Call("GET", "/instances").Json().at("instances").size() ==
             1u);
  this->Call("POST", "/faults", {{"list_lag_ms", 3600000}});
  BOOST_TEST(this->Call("GET", "/instances").Json().at("instances").empty());
  this->Call("POST", "/faults", {{"list_lag_ms", 0}});
  this->Call("DELETE", "/instances/r1");
  BOOST_TEST(this->Call("GET", "/instances").Json().at("instances").empty());
}

BOOST_FIXTURE_TEST_CASE(AValueOverTheLimitIsRefused, Platform) {
  const std::string large(kValueLimit, 'x');
  const auto put = [&](const std::string& value) {
    return this->Call("PUT", "/objects/c/large",
                      {{"writer", "w"}, {"value", value}});
  };
  BOOST_TEST(put(large).status == 413);
  BOOST_TEST(put(large.substr(2)).status == 200);
}

}  // namespace
}  // namespace toucanwharf::standins
