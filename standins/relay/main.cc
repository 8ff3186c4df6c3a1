#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "standins/common/http_server.h"
#include "standins/common/program.h"
#include "standins/relay/relay.h"

namespace {

namespace standins = toucanwharf::standins;

standins::HttpReply Handle(standins::Relay& relay,
                           const standins::HttpRequest& request) {
  const nlohmann::json body = request.Json();
  if (request.path == "/faults" && body.is_object()) relay.Set(body);
  return standins::JsonReply(200, relay.Status());
}

void Run(const cxxopts::ParseResult& options) {
  standins::BlockSignals();
  standins::Relay relay(
      standins::ListenPort(options["target"].as<std::string>()));
  const standins::HttpServer admin(
      standins::ListenPort(options["admin"].as<std::string>()),
      [&relay](const standins::HttpRequest& request) {
        return Handle(relay, request);
      });
  const std::uint16_t port =
      relay.Start(standins::ListenPort(options["listen"].as<std::string>()));
  std::cout << "admin 127.0.0.1:" << admin.Port() << std::endl;
  standins::AnnouncePort(port);
  standins::WaitForSignal();
  standins::ExitNow();
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("standin_relay", "TCP relay that fails on demand");
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  options.add_options()("help", "print this")("listen", "127.0.0.1:PORT",
                                              text("127.0.0.1:0"))(
      "admin", "127.0.0.1:PORT of the switches", text("127.0.0.1:0"))(
      "target", "127.0.0.1:PORT", cxxopts::value<std::string>());
  return standins::RunMain(options, argc, argv, Run);
}
