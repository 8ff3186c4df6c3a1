#ifndef TOUCANWHARF_LIMITS_REQUESTED_PAUSES_H_
#define TOUCANWHARF_LIMITS_REQUESTED_PAUSES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::limits {

/// Returns the pause that \p text, the value of a Retry-After field in seconds,
/// asks for: a plain decimal number. Nothing for any other text, a date among
/// them. At most RequestedPauses::kMaxPause. Thread safety: safe.
std::optional<Duration> ParseRetryAfter(std::string_view text);

/// What endpoints have asked this instance in their answers: to send nothing
/// for a while, or nothing any more, because they leave.
///
/// Load: an endpoint turns requests away as soon as they arrive. By all counts
/// it is the emptiest one then, and would get each new request first, which
/// spends the budget of extra arrivals within a second.
///
/// After a pause one request is sent, and the others wait for its answer: an
/// endpoint that still turns all away then costs one extra arrival instead of
/// one for each request that waited.
///
/// An endpoint asks the instance that it answers; another one may still be
/// welcome there, so this isn't told to others. Keys stand for one start of an
/// endpoint: one that starts anew, or takes over its address, has asked
/// nothing. Thread safety: none; for one thread.
class RequestedPauses {
 public:
  /// An endpoint that asks for longer is asked again after this time: by then
  /// an operator has had the time to correct a wrong value.
  static constexpr Duration kMaxPause = std::chrono::minutes(10);

  /// Records that \p endpoint asked at \p now for a pause of \p length in its
  /// answer to a request sent at \p sent. The answer to the newest request
  /// counts, whether it asks for more or less.
  void OnPause(std::uint32_t endpoint, Duration length, TimePoint sent,
               TimePoint now);
  /// The same for an endpoint that refused and named no time: a short pause,
  /// longer with each further refusal in a row.
  void OnRefusal(std::uint32_t endpoint, TimePoint sent, TimePoint now);
  /// Records that a request is sent to \p endpoint.
  void OnSend(std::uint32_t endpoint, TimePoint now);
  /// Records that \p endpoint took a request that was sent at \p sent. One that
  /// was sent before the end of a pause says nothing: an endpoint may turn only
  /// some requests away.
  void OnTaken(std::uint32_t endpoint, TimePoint sent);
  /// Records that \p endpoint said that it leaves. Returns whether that is new.
  bool OnLeaving(std::uint32_t endpoint) {
    return this->leaving.insert(endpoint).second;
  }

  /// Returns how much longer nothing may be sent to \p endpoint; 0 if it may.
  Duration Wait(std::uint32_t endpoint, TimePoint now) const;
  bool IsLeaving(std::uint32_t endpoint) const {
    return this->leaving.contains(endpoint);
  }
  /// Returns whether no endpoint has asked anything, so that nothing need be
  /// looked up.
  bool Empty() const { return this->pauses.empty() && this->leaving.empty(); }
  /// Returns how many endpoints have a pause.
  std::size_t Count(TimePoint now) const;
  /// Forgets endpoints that are not among \p known.
  void RetainOnly(const std::set<std::uint32_t>& known, TimePoint now);

 private:
  struct Pause {
    TimePoint until;
    /// When the request was sent whose answer asked for it.
    TimePoint sent;
    /// Until when to wait for the answer to the first request after it.
    TimePoint trial_until;
    /// Refusals without a time since the endpoint last took a request.
    int refusals = 0;
  };

  /// Sets the pause unless a newer request was answered.
  void Set(std::uint32_t endpoint, const Pause& pause);

  std::map<std::uint32_t, Pause> pauses;
  std::set<std::uint32_t> leaving;
};

}  // namespace toucanwharf::limits

#endif  // TOUCANWHARF_LIMITS_REQUESTED_PAUSES_H_
