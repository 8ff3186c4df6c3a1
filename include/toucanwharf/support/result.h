#ifndef TOUCANWHARF_SUPPORT_RESULT_H_
#define TOUCANWHARF_SUPPORT_RESULT_H_

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>
#include <system_error>

namespace toucanwharf {

/// A value, or the `std::error_code` of the failure.
///
/// Errors are returned as codes, so that no function of the core throws. Each
/// library has one error category; the message of each code names the remedy.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::std_result<T>;

/// Returns the success value of a `Result<void>`.
inline auto Success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_RESULT_H_
