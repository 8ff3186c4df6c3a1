#include "toucanwharf/command/platform.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "toucanwharf/command/errors.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using transport::Exchange;

const store::ObjectKey kKey{"records", "model.m"};

/// Serves one object over the object API. A lost answer is simulated by making
/// the change and responding with 503.
class FakePlatform {
 public:
  FakePlatform()
      : server(transport::HttpServer::Open(
                   "127.0.0.1:0", {},
                   [this](const std::shared_ptr<Exchange>& exchange) {
                     this->Serve(*exchange);
                   })
                   .value()) {}

  Platform Client() const {
    return Platform("127.0.0.1:" + std::to_string(this->server->Port()),
                    std::chrono::milliseconds(500));
  }

  int lose_answers = 0;
  int writes = 0;

 private:
  void Serve(Exchange& exchange) {
    const std::lock_guard lock(this->mutex);
    if (exchange.Request().method == "GET") {
      exchange.Respond(this->version == 0 ? 404 : 200, {}, this->Object());
      return;
    }
    this->Write(exchange);
  }

  void Write(Exchange& exchange) {
    const json body = json::parse(exchange.Request().body);
    if (body["if_version"] != this->version) {
      exchange.Respond(409, {}, json{{"version", this->version}}.dump());
      return;
    }
    ++this->version;
    ++this->writes;
    this->writer = body["writer"];
    const bool lost = this->lose_answers-- > 0;
    exchange.Respond(lost ? 503 : 200, {},
                     json{{"version", this->version}}.dump());
  }

  std::string Object() const {
    return json{{"collection", kKey.collection},
                {"name", kKey.name},
                {"version", this->version},
                {"writer", this->writer},
                {"value", 1}}
        .dump();
  }

  std::mutex mutex;
  std::uint64_t version = 0;
  std::string writer;
  std::unique_ptr<transport::HttpServer> server;
};

// The platform applies a write, but its answer is lost. A plain retry would
// find the new version and report a conflict with another writer that doesn't
// exist.
BOOST_AUTO_TEST_CASE(LostAnswerIsRecognizedAsTheClientsOwnWrite) {
  FakePlatform fake;
  fake.lose_answers = 1;
  const auto written = fake.Client().Write(kKey, 1, 0);
  BOOST_REQUIRE(written.has_value());
  BOOST_TEST(written.value() == 1u);
  BOOST_TEST(fake.writes == 1);
}

BOOST_AUTO_TEST_CASE(WriteOnAnOldVersionIsAConflict) {
  FakePlatform fake;
  BOOST_REQUIRE(fake.Client().Write(kKey, 1, 0).has_value());
  BOOST_TEST((fake.Client().Write(kKey, 2, 0).error() ==
              make_error_code(CommandError::kConflict)));
}

BOOST_AUTO_TEST_CASE(UnresponsivePlatformLeavesTheOutcomeUnknown) {
  const Platform unreachable("127.0.0.1:1", std::chrono::milliseconds(100));
  BOOST_TEST((unreachable.Write(kKey, 1, 0).error() ==
              make_error_code(CommandError::kOutcomeUnknown)));
  BOOST_TEST((unreachable.Read(kKey).error() ==
              make_error_code(CommandError::kUnreachable)));
}

}  // namespace
}  // namespace toucanwharf::command
