#ifndef TOUCANWHARF_LIB_HTTP_RESPONSE_TEXT_H_
#define TOUCANWHARF_LIB_HTTP_RESPONSE_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "toucanwharf/http/message.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::http {

/// Returns the head of a response as it is sent, with its framing: \p chunked,
/// or the \p length of the body, or none. If the connection is not to \p close,
/// the caller is told that it may idle for \p idle. Thread safety: safe.
std::string HeadText(const ResponseHead& head, bool chunked,
                     std::optional<std::uint64_t> length, bool close,
                     Duration idle);

/// Returns whether responses with \p status have no body and no length. Thread
/// safety: safe.
bool HasNoBody(int status);

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_RESPONSE_TEXT_H_
