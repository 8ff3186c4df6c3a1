#ifndef TOUCANWHARF_HTTP_ADDRESS_TEXT_H_
#define TOUCANWHARF_HTTP_ADDRESS_TEXT_H_

#include <string>

namespace toucanwharf::http {

/// Returns whether \p text is "IP:PORT" with an IPv4 address and a port other
/// than 0, which can be connected to. Thread safety: safe.
bool IsAddress(const std::string& text);

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_ADDRESS_TEXT_H_
