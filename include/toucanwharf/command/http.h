#ifndef TOUCANWHARF_COMMAND_HTTP_H_
#define TOUCANWHARF_COMMAND_HTTP_H_

#include <functional>
#include <string>
#include <string_view>

#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::command {

/// Sends \p call and waits for its end. With \p on_data the body of a 2xx
/// answer goes there as it comes.
/// Thread safety: safe; blocks the calling thread.
transport::HttpOutcome Fetch(
    transport::HttpCall call,
    std::function<void(std::string_view)> on_data = nullptr);

/// The same, but a call that brings no byte for \p silence ends as broken: a
/// connection that something in between forgot would otherwise wait for ever.
transport::HttpOutcome FetchStream(
    transport::HttpCall call, std::function<void(std::string_view)> on_data,
    Duration silence);

/// Returns a call of \p method to \p target at \p address ("ip:port"), with
/// \p key as bearer key unless it is empty.
/// Thread safety: safe.
transport::HttpCall MakeCall(std::string_view method, std::string_view address,
                             std::string_view target, std::string_view key);

/// Returns what went wrong with \p outcome in one line: the refusal's message
/// if there is one, else the status or how the call ended.
/// Thread safety: safe.
std::string Explain(const transport::HttpOutcome& outcome);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_HTTP_H_
