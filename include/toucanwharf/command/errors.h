#ifndef TOUCANWHARF_COMMAND_ERRORS_H_
#define TOUCANWHARF_COMMAND_ERRORS_H_

#include <system_error>

/// The `toucanwharf` command-line client for operators and callers.
namespace toucanwharf::command {

/// Exit code of success.
inline constexpr int kExitOk = 0;

/// How a subcommand failed. The values are the program's exit codes, which
/// scripts rely on.
enum class CommandError {
  /// Refused, and known to have had no effect.
  kRefused = 1,
  kBadUsage = 2,
  kBadDocument = 3,
  kConflict = 4,
  /// May or may not have taken effect.
  kOutcomeUnknown = 5,
  kUnreachable = 6,
  kNotFound = 7,
  /// The answer is incomplete or differs from the expected one.
  kWrongAnswer = 8,
};

/// Returns the category of CommandError. Thread safety: safe.
const std::error_category& CommandCategory();

/// Enables the implicit conversion of a CommandError to a std::error_code.
std::error_code make_error_code(CommandError error);

}  // namespace toucanwharf::command

template <>
struct std::is_error_code_enum<toucanwharf::command::CommandError>
    : std::true_type {};

#endif  // TOUCANWHARF_COMMAND_ERRORS_H_
