#include <cxxopts.hpp>
#include <string>

#include "standins/common/program.h"
#include "standins/platform/api.h"

namespace {

namespace standins = toucanwharf::standins;

void Run(const cxxopts::ParseResult& options) {
  standins::BlockSignals();
  standins::PlatformApi api;
  api.SetListLag(std::chrono::milliseconds(options["list-lag-ms"].as<int>()));
  const standins::HttpServer server(
      standins::ListenPort(options["listen"].as<std::string>()),
      [&api](const standins::HttpRequest& request) {
        return api.Handle(request);
      });
  standins::AnnouncePort(server.Port());
  standins::WaitForSignal();
  standins::ExitNow();
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("standin_platform", "stand-in for the platform");
  options.add_options()(
      "listen", "127.0.0.1:PORT",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "list-lag-ms", "age of the instance list",
      cxxopts::value<int>()->default_value("0"))("help", "print this");
  return standins::RunMain(options, argc, argv, Run);
}
