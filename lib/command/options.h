#ifndef TOUCANWHARF_LIB_COMMAND_OPTIONS_H_
#define TOUCANWHARF_LIB_COMMAND_OPTIONS_H_

#include <string>
#include <vector>

#include "toucanwharf/command/arguments.h"
#include "toucanwharf/command/platform.h"

/// Options that several subcommands share.
namespace toucanwharf::command {

/// Adds --platform and --timeout-ms.
void AddPlatformOptions(cxxopts::Options& options);
/// Adds --admin, --admin-key, --platform and --timeout-ms.
void AddAdminOptions(cxxopts::Options& options);
/// Adds --entry and --key.
void AddCallerOptions(cxxopts::Options& options);

/// Returns a client for --platform. Errors: kBadUsage if it is missing.
Result<Platform> PlatformOf(const Arguments& arguments);

/// Returns the addresses of --admin, or without it those in the platform's list
/// of instances. Errors: kBadUsage if neither option is given, kUnreachable.
Result<std::vector<std::string>> AdminAddressesOf(const Arguments& arguments);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_OPTIONS_H_
