#include <atomic>
#include <cxxopts.hpp>
#include <string>

#include "standins/common/program.h"
#include "standins/service/service.h"

namespace {

namespace standins = toucanwharf::standins;

void Run(const cxxopts::ParseResult& options) {
  standins::BlockSignals();
  const auto id = options["id"].as<std::string>();
  const auto name = options["service"].as<std::string>();
  const auto platform = options["platform"].as<std::string>();
  standins::PlainService service(name, id);
  const standins::HttpServer server(
      standins::ListenPort(options["listen"].as<std::string>()),
      [&service](const standins::HttpRequest& request) {
        return service.Handle(request);
      },
      [&service](const standins::HttpRequest& request) {
        return service.CheckHeaders(request);
      });
  standins::RegisterInstance(
      platform,
      {{"id", id},
       {"address", "127.0.0.1:" + std::to_string(server.Port())},
       {"role", "service"},
       {"service", name},
       {"failure_domain", options["failure-domain"].as<std::string>()},
       {"state", "live"}});
  standins::AnnouncePort(server.Port());
  standins::WaitForSignal();
  standins::RemoveInstance(platform, id);
  standins::ExitNow();
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("standin_service", "stand-in for a plain service");
  const auto text = [](const char* fallback) {
    return cxxopts::value<std::string>()->default_value(fallback);
  };
  options.add_options()("help", "print this")("listen", "127.0.0.1:PORT",
                                              text("127.0.0.1:0"))(
      "platform", "IP:PORT of the platform to register with", text(""))(
      "id", "instance id", text("service-1"))("service", "name of the service",
                                              text("service"))(
      "failure-domain", "failure domain", text(""));
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  return standins::RunMain(options, argc, argv, Run);
}
