#ifndef TOUCANWHARF_ATTEMPTS_UNREAD_REQUESTS_H_
#define TOUCANWHARF_ATTEMPTS_UNREAD_REQUESTS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::attempts {

/// An arrival beyond the first of its request.
struct ExtraArrival {
  std::string service;
  TimePoint sent;

  friend bool operator==(const ExtraArrival&, const ExtraArrival&) = default;
};

/// Requests that were given up before their endpoint showed that it had read
/// them.
///
/// Load: endpoints are stopped for a second or more, and go on. Their kernels
/// accept connections and requests meanwhile, and all of them are read at the
/// moment at which the processes go on, also those that were cancelled. Counted
/// when they were sent, repeats of two windows reach the endpoints in one.
/// Thread safety: none; for one thread.
class UnreadRequests {
 public:
  using Extra = std::shared_ptr<const ExtraArrival>;

  /// A process that is stopped for longer than \p longest counts as gone. No
  /// longer than the window of the ArrivalBudget, which forgets older sends.
  explicit UnreadRequests(Duration longest) : max_unread(longest) {}

  /// Adds a request, sent to \p endpoint at \p sent, that makes \p extra an
  /// extra arrival, whichever of the sends of \p extra arrives last.
  void Add(const std::string& endpoint, TimePoint sent, Extra extra);
  /// Records that \p endpoint answered a call that was begun at \p begun, and
  /// so has read what came before it. Returns the extras of these requests.
  std::vector<Extra> OnAnswered(const std::string& endpoint, TimePoint begun);
  /// Removes the requests that have been unread for too long at \p now, and
  /// returns their extras.
  std::vector<Extra> RemoveOld(TimePoint now);
  bool Empty() const { return this->unread.empty(); }

 private:
  struct Request {
    TimePoint sent;
    Extra extra;
  };

  Duration max_unread;
  std::map<std::string, std::vector<Request>> unread;
};

}  // namespace toucanwharf::attempts

#endif  // TOUCANWHARF_ATTEMPTS_UNREAD_REQUESTS_H_
