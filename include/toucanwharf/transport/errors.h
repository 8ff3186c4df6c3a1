#ifndef TOUCANWHARF_TRANSPORT_ERRORS_H_
#define TOUCANWHARF_TRANSPORT_ERRORS_H_

#include <system_error>

namespace toucanwharf::transport {

/// Why a listener could not be opened.
enum class TransportError {
  kBadAddress = 1,
  kCannotListen,
};

/// Returns the category of TransportError. Thread safety: safe.
const std::error_category& TransportCategory();

/// Makes TransportError implicitly convertible to std::error_code.
/// Thread safety: safe.
std::error_code make_error_code(TransportError error);

}  // namespace toucanwharf::transport

template <>
struct std::is_error_code_enum<toucanwharf::transport::TransportError>
    : std::true_type {};

#endif  // TOUCANWHARF_TRANSPORT_ERRORS_H_
