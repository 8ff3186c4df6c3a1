#ifndef TOUCANWHARF_PIPELINE_ERROR_H_
#define TOUCANWHARF_PIPELINE_ERROR_H_

#include <system_error>

namespace toucanwharf::pipeline {

/// Why an answer can't be planned, finished or resumed.
enum class Error {
  kNoCover = 1,
  kUnknownRequest,
  kIndexNotReached,
  kDeadlinePassed,
  kOutOfAttempts,
  kCallerDisconnected,
};

/// Returns the category of `Error`; each message names the remedy.
/// Thread safety: safe.
const std::error_category& PipelineCategory();

/// Returns the code of \p error; found by argument-dependent lookup.
/// Thread safety: safe.
std::error_code make_error_code(Error error);

}  // namespace toucanwharf::pipeline

template <>
struct std::is_error_code_enum<toucanwharf::pipeline::Error> : std::true_type {
};

#endif  // TOUCANWHARF_PIPELINE_ERROR_H_
