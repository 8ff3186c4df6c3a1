#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "toucanwharf/platform/client.h"
#include "toucanwharf/platform/config_service.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_client.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::platform {
namespace {

using transport::Exchange;

// Ends the test if it fails; the duration is not checked.
constexpr Duration kGiveUp = std::chrono::seconds(20);
constexpr const char* kReportPath = "/objects/status/router.r1";

/// An empty platform that fails the first report of router r1.
class FakePlatform {
 public:
  explicit FakePlatform(transport::EventLoop& loop)
      : server(transport::HttpServer::Open(
                   "127.0.0.1:0", {},
                   [this, &loop](const std::shared_ptr<Exchange>& exchange) {
                     loop.Post([this, &loop, exchange] {
                       this->Serve(loop, *exchange);
                     });
                   })
                   .value()) {}

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }

  int reports = 0;

 private:
  void Serve(transport::EventLoop& loop, Exchange& exchange) {
    const transport::HttpRequest& request = exchange.Request();
    if (request.path == kReportPath && request.method == "PUT") {
      ++this->reports;
      exchange.Respond(this->reports == 1 ? 503 : 200, {}, "{\"version\":1}");
      if (this->reports == 2) loop.Stop();
      return;
    }
    if (request.path.rfind("/watch/", 0) == 0) {
      exchange.Respond(200, {}, R"({"revision":0,"events":[]})");
      return;
    }
    exchange.Respond(404, {}, "{}");
  }

  std::unique_ptr<transport::HttpServer> server;
};

// Guards against a report that is lost, or applied after a later one, and never
// repeated: if the generation does not change again, the status lists this
// router as behind for good, and operators wait for it in vain.
BOOST_AUTO_TEST_CASE(LostReportIsSentAgain) {
  transport::EventLoop loop;
  transport::HttpClient http(loop);
  FakePlatform fake(loop);
  Client client(loop, http, fake.Address(), 7);
  ConfigService service(loop, client, "r1", "incarnation-1");
  service.Start();
  loop.After(kGiveUp, [&loop] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(fake.reports == 2);
}

}  // namespace
}  // namespace toucanwharf::platform
