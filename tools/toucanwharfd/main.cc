#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "platform/adapter.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "toucanwharf/instance/instance.h"
#include "toucanwharf/support/process_limits.h"
#include "toucanwharfd/exit_codes.h"
#include "toucanwharfd/native_interface.h"

namespace {

using toucanwharf::tools::kExitBadSettings;
using toucanwharf::tools::kExitBadUsage;
using toucanwharf::tools::kExitCannotListen;
using toucanwharf::tools::kExitOk;

/// Settings are read only at startup, and a reload signal that arrives before
/// its handler is installed would terminate the process.
void IgnoreReloadSignal(int /*argc*/, char** /*argv*/, char** /*envp*/) {
  std::signal(SIGHUP, SIG_IGN);
}

/// The dynamic loader calls this before all other initializers, but only after
/// it has loaded the libraries that the program is linked to. Those are few;
/// the native interface, which needs many, is loaded later.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kPreinitHook)(int, char**,
                                         char**) = &IgnoreReloadSignal;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/// Runs as a process of the users' platform, with the settings file that the
/// environment names. \p disabled lists mechanisms to switch off.
int ServePlatform(const std::string& disabled) {
  const char* path =
      std::getenv(toucanwharf::adapter::names::kSettingsVariable);
  const auto text = ReadFile(path == nullptr ? "" : path);
  if (!text) {
    std::cerr << toucanwharf::adapter::names::kSettingsVariable
              << " must name a readable settings file\n";
    return kExitBadSettings;
  }
  auto parsed = toucanwharf::adapter::ParsePlatformSettings(*text);
  for (const std::string& problem : parsed.problems) {
    std::cerr << path << ": " << problem << "\n";
  }
  const auto selection = toucanwharf::instance::WithoutMechanisms(disabled);
  for (const std::string& problem : selection.problems) {
    std::cerr << "toucanwharfd: --without: " << problem << "\n";
  }
  if (!selection.problems.empty()) return kExitBadUsage;
  if (!parsed.problems.empty()) return kExitBadSettings;
  parsed.settings.mechanisms = selection.mechanisms;
  std::signal(SIGPIPE, SIG_IGN);
  toucanwharf::ReturnLargeBlocks();
  toucanwharf::instance::Instance<toucanwharf::adapter::PlatformAdapter>
      instance(parsed.settings, STDOUT_FILENO);
  const auto result = instance.Run();
  if (result) return kExitOk;
  std::cerr << "toucanwharfd: cannot listen: " << result.error().message()
            << "\n";
  return kExitCannotListen;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("toucanwharfd", "The toucanwharf router.");
  options.add_options()("settings", "Settings file (JSON)",
                        cxxopts::value<std::string>())(
      "platform",
      "Run on the users' platform, with the settings file that it provides")(
      "without",
      "Comma-separated mechanisms to switch off, for measurements; needs "
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
    std::cerr << "toucanwharfd: --settings FILE is required; see --help\n";
    return kExitBadUsage;
  }
  return toucanwharf::tools::ServeNativeInterface(
      argv[0], arguments["settings"].as<std::string>(),
      arguments.count("check-settings") > 0);
}
