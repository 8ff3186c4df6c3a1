#ifndef TOUCANWHARF_DAEMON_REFUSAL_H_
#define TOUCANWHARF_DAEMON_REFUSAL_H_

#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/pipeline/answer.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::daemon {

/// Error sent to a caller that gets no answer, or only part of it.
struct Refusal {
  int status = 503;
  /// Short and stable, for programs: "busy", "no_cover", "bad_key".
  std::string code;
  /// Human-readable; names the remedy.
  std::string message;
  pipeline::Ran ran = pipeline::Ran::kNo;
  /// Delay before a retry; absent when a retry would not help.
  std::optional<Duration> retry_after;
  std::string request_id;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// Returns the refusal as the JSON body of an answer or of an error event, in
/// the shape that OpenAI-style clients read.
/// Thread safety: safe.
std::string BodyOf(const Refusal& refusal);

/// Sends \p refusal as the entire response of \p exchange.
/// Precondition: the exchange has no answer yet. Thread safety: safe.
void Send(transport::Exchange& exchange, const Refusal& refusal);

/// Returns the refusal of a request of which nothing ran.
/// Thread safety: safe.
Refusal MakeRefusal(int status, std::string code, std::string message);

/// Returns the refusal for an answer that is not retained; \p why becomes its
/// message.
/// Thread safety: safe.
Refusal UnknownAnswer(const std::string& id, std::string why);

/// Starts the event stream of the answer \p id.
/// Precondition: the exchange has no answer yet. Thread safety: safe.
void BeginStream(transport::Exchange& exchange, const std::string& id);

/// Sends a JSON body with status 200.
/// Precondition: the exchange has no answer yet. Thread safety: safe.
void SendJson(transport::Exchange& exchange, std::string body,
              std::vector<transport::Header> headers = {});

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_REFUSAL_H_
