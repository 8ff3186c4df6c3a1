#include "toucanwharfd/module/serve.h"

#include <glog/logging.h>
#include <pthread.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): sigwait is POSIX
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <type_traits>

#include "toucanwharf/daemon/router.h"
#include "toucanwharf/settings/settings.h"
#include "toucanwharfd/exit_codes.h"

namespace toucanwharf::tools {
namespace {

using daemon::Router;
using settings::ParseSettings;
using settings::Settings;

std::optional<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": cannot be read; name a readable file\n";
    return std::nullopt;
  }
  const auto parsed =
      ParseSettings(std::string(std::istreambuf_iterator<char>(file), {}));
  if (parsed) return parsed.value();
  for (const auto& problem : parsed.error()) {
    std::cerr << path << ": " << schema::ToText(problem) << "\n";
  }
  return std::nullopt;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

int Serve(const Settings& settings) {
  // Blocked before any thread starts, so that only the thread below that waits
  // for these signals receives them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  auto router = Router::Open(settings);
  if (!router) {
    std::cerr << "toucanwharfd: " << router.error().message() << "\n";
    return kExitCannotListen;
  }
  std::thread signal_waiter([&router, &signals] {
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    router.value()->Drain();
  });
  router.value()->Run();
  // Wakes the waiting thread if the drain was requested by an operator.
  kill(getpid(), SIGTERM);
  signal_waiter.join();
  return kExitOk;
}

}  // namespace

/// See ServeFunction.
extern "C" [[gnu::visibility("default")]] int ToucanwharfServe(
    const char* program, const char* settings_file, bool check_only) {
  const auto settings = LoadSettings(settings_file);
  if (!settings) return kExitBadSettings;
  if (check_only) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
  return Serve(*settings);
}

static_assert(std::is_same_v<decltype(&ToucanwharfServe), ServeFunction>);

}  // namespace toucanwharf::tools
