#ifndef TOUCANWHARF_COMMAND_HTTP_H_
#define TOUCANWHARF_COMMAND_HTTP_H_

#include <functional>
#include <string>
#include <string_view>

#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::command {

/// Sends \p call and waits for its end. If \p on_data is set, it receives the
/// body of a 2xx answer as it arrives.
/// Thread safety: safe; blocks the calling thread.
transport::HttpOutcome Fetch(
    transport::HttpCall call,
    std::function<void(std::string_view)> on_data = nullptr);

/// Like Fetch, but a call that receives no byte for \p idle_timeout ends as
/// broken: if a middlebox drops the connection's state, no end would ever
/// arrive.
transport::HttpOutcome FetchStream(
    transport::HttpCall call, std::function<void(std::string_view)> on_data,
    Duration idle_timeout);

/// Returns a call of \p method to \p target at \p address ("ip:port"), with
/// \p key as bearer key unless it is empty.
/// Thread safety: safe.
transport::HttpCall MakeCall(std::string_view method, std::string_view address,
                             std::string_view target, std::string_view key);

/// Describes the failure of \p outcome in one line: the status or how the call
/// ended, and the refusal's message if there is one.
/// Thread safety: safe.
std::string Explain(const transport::HttpOutcome& outcome);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_HTTP_H_
