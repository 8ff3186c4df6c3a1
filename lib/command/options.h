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

/// Returns the platform of --platform. Errors: kBadUsage when it is missing.
Result<Platform> PlatformOf(const Arguments& arguments);

/// Returns the addresses of --admin, or without it those of the platform's
/// list of instances. Errors: kBadUsage when neither is given, kUnreachable.
Result<std::vector<std::string>> AdminAddressesOf(const Arguments& arguments);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_OPTIONS_H_
