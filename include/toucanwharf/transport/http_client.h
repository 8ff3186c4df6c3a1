#ifndef TOUCANWHARF_TRANSPORT_HTTP_CLIENT_H_
#define TOUCANWHARF_TRANSPORT_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "toucanwharf/resources/account.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/transport/event_loop.h"

namespace toucanwharf::transport {

/// Identifies a call of one client; 0 identifies none.
using CallId = std::uint64_t;

using Header = std::pair<std::string, std::string>;

/// Whether a call may share its connection with other calls.
enum class Reuse {
  /// May use an idle connection; the connection is pooled afterwards.
  kAllowed,
  /// Opens a new connection and closes it afterwards. libcurl resends a request
  /// if a reused connection turns out to be closed; on a new one it never does
  /// (I4).
  kNever,
};

/// An HTTP request to send.
struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::vector<Header> headers;
  std::string body;
  Duration connect_timeout{std::chrono::seconds(2)};
  /// For the whole call; zero for none.
  Duration total_timeout{std::chrono::seconds(10)};
  Reuse reuse = Reuse::kAllowed;
  /// Longest body that is kept, in bytes; a longer one ends the call as
  /// kBroken.
  std::size_t max_body_bytes = 16UL * 1024 * 1024;

  friend bool operator==(const HttpCall&, const HttpCall&) = default;
};

/// HttpCall::max_body_bytes of calls to an engine's own interface, whose
/// answers are some KiB.
inline constexpr std::size_t kMaxReportBytes = 128UL * 1024;

/// How a call ended.
enum class CallEnd {
  /// The response was received whole: its head with the empty line after it,
  /// and its body as framed by a length, by chunks or by the connection's end.
  kAnswered,
  /// No byte of the request was sent.
  kNotConnected,
  /// The connection was lost before the response was whole, or the response is
  /// longer than a limit, or there was no memory for its rest.
  kBroken,
  kTimedOut,
};

/// Outcome of a call.
struct HttpOutcome {
  CallEnd end = CallEnd::kBroken;
  /// 0 if the head of the final response was not received whole.
  int status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  /// Empty if on_data received the body.
  std::string body;
  /// Whether any byte of the request may have been sent. False is certain
  /// (I3).
  bool sent = false;
  std::string error;

  friend bool operator==(const HttpOutcome&, const HttpOutcome&) = default;
};

/// Callbacks of one call; all run on the loop's thread, none after Cancel.
struct CallHandlers {
  /// Optional: receives the body bytes of a 2xx response as they arrive.
  std::function<void(std::string_view)> on_data;
  /// Runs exactly once, after all calls of on_data.
  std::function<void(HttpOutcome)> on_done;
  /// Optional: returns how many bytes the receiver of on_data keeps.
  std::function<std::size_t()> held_bytes = nullptr;
};

/// Sends HTTP requests with libcurl without blocking the loop. Follows no
/// redirects and adds no retries.
/// Thread safety: none; all methods on the loop's thread, or before Run.
class HttpClient {
 public:
  /// \p answer_bytes is how much memory may be in use for what is kept of
  /// responses. Beyond, the calls that have kept most for longest end as
  /// kBroken.
  /// Precondition: \p loop outlives the client and has no other client.
  explicit HttpClient(EventLoop& loop, std::size_t answer_bytes =
                                           resources::Account::kUnlimited);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts \p call; may be called inside a callback. on_done runs later,
  /// never inside Start.
  /// Precondition: \p handlers has an on_done.
  CallId Start(HttpCall call, CallHandlers handlers);

  /// Closes the call's connection and drops its callbacks. A call that has
  /// ended, or 0, is ignored. May be called inside a callback.
  void Cancel(CallId id);

  /// Returns how many calls were ended for lack of memory.
  std::uint64_t Evicted() const { return this->evicted; }
  /// Returns how much is kept of responses, in bytes.
  std::size_t HeldBytes() const { return this->answers.Used(); }

 private:
  struct Transfer;

  /// Counts what \p transfer keeps, and makes room if there is none. Returns
  /// whether the call goes on.
  bool CountHeld(Transfer& transfer);
  void KeepWithinAnswers();
  void EndForMemory(Transfer& transfer);
  void Add(CallId id);
  void CollectFinished();
  void Finish(CallId id, int code);
  void Remove(CallId id);

  EventLoop& loop;
  resources::Account answers;
  std::uint64_t evicted = 0;
  TimePoint shortage_logged{Duration(-1'000'000'000)};
  std::map<CallId, std::unique_ptr<Transfer>> transfers;
  CallId last_call = 0;
};

}  // namespace toucanwharf::transport

#endif  // TOUCANWHARF_TRANSPORT_HTTP_CLIENT_H_
