#ifndef TOUCANWHARF_INSTANCE_FORWARDING_H_
#define TOUCANWHARF_INSTANCE_FORWARDING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "toucanwharf/http/message.h"
#include "toucanwharf/support/clock.h"

/// Requests that an instance without a path to endpoints forwards to another
/// one, over that one's control address. They are forwarded once at most.
namespace toucanwharf::instance {

/// What the forwarding instance tells about a request.
struct ForwardedRequest {
  /// Id of the forwarding process.
  std::string instance;
  /// Version of the configuration that it admitted the request by.
  std::uint64_t configuration_version = 0;
  /// Runs of the request that may have begun.
  int runs = 0;
  /// Whether an instance has counted it for the budget of extra arrivals.
  bool counted = true;
  /// Time since the caller's request arrived.
  Duration age{0};

  friend bool operator==(const ForwardedRequest&,
                         const ForwardedRequest&) = default;
};

/// How an instance refuses a forwarded request, which has then not run.
enum class ForwardRefusal {
  /// It can't serve the request itself; another one may.
  kElsewhere,
  /// No instance could serve it now.
  kFinal,
};

/// Returns whether \p request claims to be forwarded. Thread safety: safe.
bool ClaimsForwarding(const http::Request& request);
/// Writes \p forwarded into \p headers, in place of what a caller may have sent
/// under the same names. Thread safety: safe.
void SetForwarding(http::Headers& headers, const ForwardedRequest& forwarded);
/// Returns what \p headers tell, or nothing if any part of it is missing,
/// repeated or no number in its range. Thread safety: safe.
std::optional<ForwardedRequest> ForwardingOf(const http::Headers& headers);
/// Removes all that forwarding adds to requests and answers. Thread safety:
/// safe.
void RemoveForwarding(http::Headers& headers);

/// Marks an answer as a refusal of a forwarded request; \p reached_endpoint is
/// whether an endpoint got it and turned it away. Thread safety: safe.
void SetRefusal(http::Headers& headers, ForwardRefusal refusal,
                bool reached_endpoint);
/// Returns whether a refused request reached an endpoint that turned it away.
/// Thread safety: safe.
bool ReachedEndpoint(const http::ResponseHead& refusal);
/// Returns the refusal that \p answer is marked as, if it is one.
/// Thread safety: safe.
std::optional<ForwardRefusal> RefusalOf(const http::ResponseHead& answer);
/// Returns whether a refusal for \p reason concerns one instance only.
/// Thread safety: safe.
ForwardRefusal RefusalFor(std::string_view reason);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_FORWARDING_H_
