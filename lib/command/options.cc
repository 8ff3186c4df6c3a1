#include "options.h"

#include <chrono>
#include <cxxopts.hpp>

namespace toucanwharf::command {
namespace {

auto TextOption(const std::string& fallback) {
  return cxxopts::value<std::string>()->default_value(fallback);
}

}  // namespace

void AddPlatformOptions(cxxopts::Options& options) {
  options.add_options()("platform",
                        "IP:PORT of the platform's object API, or "
                        "TOUCANWHARF_PLATFORM",
                        TextOption(""))(
      "timeout-ms", "milliseconds until an operation on the platform gives up",
      cxxopts::value<std::uint64_t>()->default_value("10000"));
}

void AddAdminOptions(cxxopts::Options& options) {
  AddPlatformOptions(options);
  options.add_options()("admin",
                        "comma-separated IP:PORT of routers' admin listeners, "
                        "or TOUCANWHARF_ADMIN; default: all in the platform's "
                        "list of instances",
                        TextOption(""))(
      "admin-key", "admin key, or TOUCANWHARF_ADMIN_KEY", TextOption(""));
}

void AddCallerOptions(cxxopts::Options& options) {
  options.add_options()("entry",
                        "comma-separated IP:PORT of the entry instances to "
                        "contact first, or TOUCANWHARF_ENTRY",
                        TextOption(""))("key",
                                        "the customer's bearer key, or "
                                        "TOUCANWHARF_KEY",
                                        TextOption(""));
}

Result<Platform> PlatformOf(const Arguments& arguments) {
  const std::string address = arguments.Text("platform");
  if (address.empty()) return CommandError::kBadUsage;
  return Platform(address,
                  std::chrono::milliseconds(arguments.Number("timeout-ms")));
}

Result<std::vector<std::string>> AdminAddressesOf(const Arguments& arguments) {
  std::vector<std::string> addresses = arguments.List("admin");
  if (!addresses.empty()) return addresses;
  BOOST_OUTCOME_TRY(platform, PlatformOf(arguments));
  return platform.AdminAddresses();
}

}  // namespace toucanwharf::command
