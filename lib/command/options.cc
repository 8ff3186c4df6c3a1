#include "options.h"

#include <chrono>
#include <cxxopts.hpp>

namespace toucanwharf::command {
namespace {

auto Text(const std::string& fallback) {
  return cxxopts::value<std::string>()->default_value(fallback);
}

}  // namespace

void AddPlatformOptions(cxxopts::Options& options) {
  options.add_options()("platform",
                        "IP:PORT of the platform's object API, or "
                        "TOUCANWHARF_PLATFORM",
                        Text(""))(
      "timeout-ms", "milliseconds until the platform is given up",
      cxxopts::value<std::uint64_t>()->default_value("10000"));
}

void AddAdminOptions(cxxopts::Options& options) {
  AddPlatformOptions(options);
  options.add_options()("admin",
                        "IP:PORT of routers' admin listeners, with commas "
                        "between them, or TOUCANWHARF_ADMIN; default: all in "
                        "the platform's list of instances",
                        Text(""))(
      "admin-key", "key of operators, or TOUCANWHARF_ADMIN_KEY", Text(""));
}

void AddCallerOptions(cxxopts::Options& options) {
  options.add_options()("entry",
                        "IP:PORT of entry instances to ask first, with commas "
                        "between them, or TOUCANWHARF_ENTRY",
                        Text(""))("key",
                                  "the customer's bearer key, or "
                                  "TOUCANWHARF_KEY",
                                  Text(""));
}

Result<Platform> PlatformOf(const Arguments& arguments) {
  const std::string address = arguments.Text("platform");
  if (address.empty()) return CommandError::kBadUsage;
  return Platform(address,
                  std::chrono::milliseconds(arguments.Number("timeout-ms")));
}

Result<std::vector<std::string>> AdminAddressesOf(const Arguments& arguments) {
  std::vector<std::string> given = arguments.List("admin");
  if (!given.empty()) return given;
  BOOST_OUTCOME_TRY(platform, PlatformOf(arguments));
  return platform.AdminAddresses();
}

}  // namespace toucanwharf::command
