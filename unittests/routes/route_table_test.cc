#include "toucanwharf/routes/route_table.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::routes {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

std::string Found(const RouteTable& table, std::string_view host,
                  std::string_view path) {
  const Route* route = table.Find(host, path);
  return route == nullptr ? "none" : route->name;
}

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  Configuration configuration;
  configuration.routes = {MakeRoute("a.example", "/one/"),
                          MakeRoute("a.example", "/one/two/"),
                          MakeRoute("b.example", "/")};
  const RouteTable table(configuration);
  BOOST_TEST(Found(table, "a.example", "/one/x") == "a.example/one/");
  BOOST_TEST(Found(table, "a.example", "/one/two/") == "a.example/one/two/");
  BOOST_TEST(Found(table, "a.example", "/one/two") == "a.example/one/");
  BOOST_TEST(Found(table, "A.Example:80", "/one/x") == "a.example/one/");
  BOOST_TEST(Found(table, "a.example", "/one") == "none");
  BOOST_TEST(Found(table, "a.example", "/") == "none");
  BOOST_TEST(Found(table, "b.example", "/any/where") == "b.example/");
  BOOST_TEST(Found(table, "c.example", "/one/x") == "none");
  BOOST_TEST(Found(table, "a.example", "") == "none");
}

BOOST_AUTO_TEST_CASE(KeysNameTheirCustomer) {
  Configuration configuration;
  configuration.customers = {{"first", {"key-1", "key-2"}, std::nullopt},
                             {"second", {"key-3"}, 1}};
  const RouteTable table(configuration);
  BOOST_REQUIRE(table.CustomerOf("key-2") != nullptr);
  BOOST_TEST(table.CustomerOf("key-2")->name == "first");
  BOOST_TEST(table.CustomerOf("key-4") == nullptr);
  BOOST_TEST(table.CustomerOf("") == nullptr);
}

BOOST_AUTO_TEST_CASE(ServicesAreDrawnByWeight) {
  Route route;
  route.services = {{"large", 9}, {"small", 1}, {"none", 0}};
  Random random(7);
  int large = 0;
  constexpr int kDraws = 10000;
  for (int draw = 0; draw < kDraws; ++draw) {
    const ServiceShare* share = DrawService(route, random);
    BOOST_REQUIRE(share != nullptr);
    BOOST_REQUIRE(share->service != "none");
    if (share->service == "large") ++large;
  }
  BOOST_TEST(large > 8800);
  BOOST_TEST(large < 9200);
  route.services = {{"none", 0}};
  BOOST_TEST(DrawService(route, random) == nullptr);
}

}  // namespace
}  // namespace toucanwharf::routes
