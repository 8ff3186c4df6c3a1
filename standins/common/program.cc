#include "standins/common/program.h"

#include <unistd.h>

#include <charconv>
#include <csignal>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string_view>

#include "standins/common/http_client.h"

namespace toucanwharf::standins {
namespace {

constexpr int kRegisterTimeoutMs = 2000;

sigset_t EndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

int RunMain(cxxopts::Options& options, int argc, char** argv,
            const std::function<void(const cxxopts::ParseResult&)>& run) {
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << std::endl;
      return 0;
    }
    run(parsed);
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
  return 0;
}

std::uint16_t ListenPort(const std::string& listen) {
  constexpr std::string_view kLoopback = "127.0.0.1:";
  std::uint16_t port = 0;
  const char* const last = listen.data() + listen.size();
  const bool local = listen.starts_with(kLoopback);
  const auto parsed = std::from_chars(
      listen.data() + kLoopback.size() * (local ? 1 : 0), last, port);
  if (!local || parsed.ec != std::errc() || parsed.ptr != last) {
    throw std::runtime_error("--listen must be 127.0.0.1:PORT");
  }
  return port;
}

void BlockSignals() {
  const sigset_t signals = EndSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void AnnouncePort(std::uint16_t port) {
  std::cout << "listening 127.0.0.1:" << port << std::endl;
}

void WaitForSignal() {
  const sigset_t signals = EndSignals();
  int signal = 0;
  sigwait(&signals, &signal);
}

void ExitNow() { _exit(0); }

void RegisterInstance(const std::string& platform,
                      const nlohmann::json& instance) {
  if (platform.empty()) return;
  HttpClient().Call("POST", "http://" + platform + "/instances",
                    instance.dump(), kRegisterTimeoutMs);
}

void RemoveInstance(const std::string& platform, const std::string& id) {
  if (platform.empty()) return;
  HttpClient().Call("DELETE", "http://" + platform + "/instances/" + id, "",
                    kRegisterTimeoutMs);
}

}  // namespace toucanwharf::standins
