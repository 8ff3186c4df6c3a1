#include "standins/service/service.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/common/http_client.h"
#include "standins/common/http_server.h"
#include "standins/relay/relay.h"

namespace toucanwharf::standins {
namespace {

constexpr int kTimeoutMs = 3000;

struct RelayedService {
  PlainService service{"records", "s1"};
  HttpServer server{
      0, [this](const HttpRequest& request) { return service.Handle(request); },
      [this](const HttpRequest& request) {
        return service.CheckHeaders(request);
      }};
  // The relay's threads outlive a test, so the relay does too.
  Relay& relay = *new Relay(server.Port());
  std::uint16_t relay_port = relay.Start(0);

  HttpAnswer Call(std::uint16_t port, const std::string& method,
                  const std::string& path, const nlohmann::json& body) {
    HttpClient client;
    return client.Call(
        method, "http://127.0.0.1:" + std::to_string(port) + path,
        body.is_null() ? std::string() : body.dump(), kTimeoutMs);
  }
  std::uint64_t Total() {
    return this->Call(this->server.Port(), "GET", "/_runs", nullptr)
        .Json()
        .at("total")
        .get<std::uint64_t>();
  }
  void Fault(const nlohmann::json& faults) {
    this->Call(this->server.Port(), "POST", "/faults", faults);
  }
};

BOOST_FIXTURE_TEST_CASE(EachFaultHasItsSpecifiedRuns, RelayedService) {
  const auto sign = [this] {
    return this->Call(this->server.Port(), "POST", "/lots", {{"lot", 7}});
  };
  this->Fault({{"close_before_reading", 1}});
  BOOST_TEST(sign().status == 0);
  this->Fault({{"close_before_run", 1}});
  BOOST_TEST(sign().status == 0);
  this->Fault({{"refuse", 1}});
  BOOST_TEST(sign().status == 503);
  BOOST_TEST(this->Total() == 0u);
  this->Fault({{"close_after_run", 1}});
  BOOST_TEST(sign().status == 0);
  BOOST_TEST(this->Total() == 1u);
  BOOST_TEST(sign().status == 200);
  BOOST_TEST(this->Total() == 2u);
}

BOOST_FIXTURE_TEST_CASE(TheRelayInjectsTheRequestedFaults, RelayedService) {
  const auto sign = [this] {
    return this->Call(this->relay_port, "POST", "/lots", {{"lot", 7}});
  };
  BOOST_TEST(sign().status == 200);
  this->relay.Set({{"close_after_request", 1}});
  BOOST_TEST(sign().status == 0);
  BOOST_TEST(this->Total() == 1u);
  this->relay.Set({{"close_before_answer", 1}});
  BOOST_TEST(sign().status == 0);
  BOOST_TEST(this->Total() == 2u);
  this->relay.Set({{"refuse", true}});
  BOOST_TEST(sign().status == 0);
  this->relay.Set({{"heal", true}, {"refuse", false}});
  BOOST_TEST(sign().status == 200);
}

BOOST_FIXTURE_TEST_CASE(OpenConnectionsAreBlackholedWhileNewOnesWork,
                        RelayedService) {
  const std::string url =
      "http://127.0.0.1:" + std::to_string(this->relay_port) + "/lots";
  HttpClient old_connection;
  BOOST_TEST(old_connection.Call("GET", url, "", kTimeoutMs).status == 200);
  this->relay.Set({{"silence", "open"}});
  BOOST_TEST(old_connection.Call("GET", url, "", 300).status == 0);
  HttpClient new_connection;
  BOOST_TEST(new_connection.Call("GET", url, "", kTimeoutMs).status == 200);
}

}  // namespace
}  // namespace toucanwharf::standins
