#include "toucanwharf/instance/address_wait.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>

#include "toucanwharf/http/server.h"

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

constexpr int kTriesInUse = 5;

std::string AddressOf(const http::Server& server) {
  return "127.0.0.1:" + std::to_string(server.Port());
}

std::unique_ptr<http::Server> ListenAnywhere(http::Loop& loop) {
  auto listening = http::Server::Listen(loop, "127.0.0.1:0", [](auto) {});
  BOOST_REQUIRE(listening.has_value());
  return std::move(listening.value());
}

// Guards against a start that ends because the process before it still listens.
BOOST_AUTO_TEST_CASE(StartWaitsForTheAddressOfTheProcessBefore) {
  http::Loop loop;
  auto before = ListenAnywhere(loop);
  const std::string address = AddressOf(*before);
  int tries = 0;
  const auto opened = OpenWhenFree(std::chrono::seconds(5), [&] {
    if (++tries == kTriesInUse) before.reset();
    return http::Server::Listen(loop, address, [](auto) {});
  });
  BOOST_TEST(opened.has_value());
  BOOST_TEST(tries == kTriesInUse);
}

// Guards against a start that waits for ever, or for what waiting can't mend.
BOOST_AUTO_TEST_CASE(StartGivesUpAnAddressThatStaysInUse) {
  http::Loop loop;
  const auto other = ListenAnywhere(loop);
  const auto opened = OpenWhenFree(milliseconds(100), [&] {
    return http::Server::Listen(loop, AddressOf(*other), [](auto) {});
  });
  BOOST_REQUIRE(!opened.has_value());
  BOOST_TEST((opened.error() == std::errc::address_in_use));
  int tries = 0;
  const auto wrong = OpenWhenFree(std::chrono::seconds(5), [&] {
    ++tries;
    return http::Server::Listen(loop, "no address", [](auto) {});
  });
  BOOST_TEST(!wrong.has_value());
  BOOST_TEST(tries == 1);
}

}  // namespace
}  // namespace toucanwharf::instance
