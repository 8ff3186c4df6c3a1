#ifndef TOUCANWHARF_LIB_COMMAND_SUBCOMMANDS_H_
#define TOUCANWHARF_LIB_COMMAND_SUBCOMMANDS_H_

#include "toucanwharf/command/arguments.h"

/// Factories of the subcommands.
namespace toucanwharf::command {

inline constexpr int kExitUsage = static_cast<int>(CommandError::kBadUsage);

Subcommand ValidateSubcommand();
Subcommand ApplySubcommand();
Subcommand GetSubcommand();
Subcommand DeleteSubcommand();
Subcommand StatusSubcommand();
Subcommand EntriesSubcommand();
Subcommand CallSubcommand();
Subcommand DrainSubcommand();
Subcommand TimelineSubcommand();
Subcommand LoadSubcommand();
Subcommand ExplainSubcommand();

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_SUBCOMMANDS_H_
