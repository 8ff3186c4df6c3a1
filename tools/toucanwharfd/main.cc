#include <glog/logging.h>
#include <pthread.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): sigwait is POSIX
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>

#include "platform/adapter.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "toucanwharf/daemon/router.h"
#include "toucanwharf/instance/instance.h"
#include "toucanwharf/settings/settings.h"

namespace {

using toucanwharf::daemon::Router;
using toucanwharf::settings::ParseSettings;
using toucanwharf::settings::Settings;

constexpr int kExitOk = 0;
constexpr int kExitBadUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitCannotListen = 4;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::optional<Settings> LoadSettings(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text) {
    std::cerr << path << ": cannot be read; give an existing file\n";
    return std::nullopt;
  }
  const auto parsed = ParseSettings(*text);
  if (parsed) return parsed.value();
  for (const auto& problem : parsed.error()) {
    std::cerr << path << ": " << toucanwharf::schema::ToText(problem) << "\n";
  }
  return std::nullopt;
}

/// Runs as one of the users' platform's processes, whose settings file the
/// environment names.
int ServePlatform(const std::string& without) {
  const char* path =
      std::getenv(toucanwharf::adapter::names::kSettingsVariable);
  const auto text = ReadFile(path == nullptr ? "" : path);
  if (!text) {
    std::cerr << toucanwharf::adapter::names::kSettingsVariable
              << " must name a settings file that can be read\n";
    return kExitBadSettings;
  }
  auto parsed = toucanwharf::adapter::ParsePlatformSettings(*text);
  for (const std::string& problem : parsed.problems) {
    std::cerr << path << ": " << problem << "\n";
  }
  const auto switched = toucanwharf::instance::WithoutMechanisms(without);
  for (const std::string& problem : switched.problems) {
    std::cerr << "toucanwharfd: --without: " << problem << "\n";
  }
  if (!switched.problems.empty()) return kExitBadUsage;
  if (!parsed.problems.empty()) return kExitBadSettings;
  parsed.settings.mechanisms = switched.mechanisms;
  signal(SIGPIPE, SIG_IGN);
  toucanwharf::instance::Instance<toucanwharf::adapter::PlatformAdapter>
      instance(parsed.settings, STDOUT_FILENO);
  const auto ended = instance.Run();
  if (ended) return kExitOk;
  std::cerr << "toucanwharfd: cannot listen: " << ended.error().message()
            << "\n";
  return kExitCannotListen;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

int Serve(const Settings& settings) {
  // Blocked before any thread starts, so that only the waiting thread below
  // gets them.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  auto router = Router::Open(settings);
  if (!router) {
    std::cerr << "toucanwharfd: " << router.error().message() << "\n";
    return kExitCannotListen;
  }
  std::thread waiter([&router, &signals] {
    int signal_number = 0;
    sigwait(&signals, &signal_number);
    router.value()->Drain();
  });
  router.value()->Run();
  // Wakes the waiter when the drain was asked for by an operator.
  kill(getpid(), SIGTERM);
  waiter.join();
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  // Settings are read at the start only. A reload signal that comes before its
  // handler is there would end the process.
  signal(SIGHUP, SIG_IGN);
  cxxopts::Options options("toucanwharfd", "The toucanwharf router.");
  options.add_options()("settings", "Settings file (JSON)",
                        cxxopts::value<std::string>())(
      "platform",
      "Run on the users' platform, with the settings that it names")(
      "without",
      "Mechanisms to switch off, with commas between; for measurements, with "
      "--platform",
      cxxopts::value<std::string>()->default_value(""))(
      "check-settings", "Check the settings file and exit")(
      "version", "Print the version")("h,help", "Print this help");
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "toucanwharfd: " << error.what() << "; see --help\n";
    return kExitBadUsage;
  }
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return kExitOk;
  }
  if (arguments.count("version") > 0) {
    std::cout << "toucanwharfd " << TOUCANWHARF_VERSION << "\n";
    return kExitOk;
  }
  if (arguments.count("platform") > 0) {
    return ServePlatform(arguments["without"].as<std::string>());
  }
  if (arguments.count("settings") == 0) {
    std::cerr << "toucanwharfd: --settings FILE is needed; see --help\n";
    return kExitBadUsage;
  }
  const auto settings = LoadSettings(arguments["settings"].as<std::string>());
  if (!settings) return kExitBadSettings;
  if (arguments.count("check-settings") > 0) {
    std::cout << "settings are right\n";
    return kExitOk;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  return Serve(*settings);
}
