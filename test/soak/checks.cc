#include "test/soak/checks.h"

#include <map>
#include <set>

namespace toucanwharf::soak {
namespace {

using standins::fleet::Endpoints;

/// Statuses that promise that a request has not run and never will.
const std::set<int> kNotRun = {408, 421, 429, 503};

bool IsSuccess(const Seen& one) {
  return one.answer.status >= 200 && one.answer.status < 300;
}

/// Events come once and in order, and an answer that ended well has all.
bool EventsAreRight(const Seen& one) {
  if (one.kind != RequestKind::kStream) return true;
  for (std::size_t at = 0; at < one.events.size(); ++at) {
    if (one.events[at] != static_cast<int>(at) + 1) return false;
  }
  const bool whole = IsSuccess(one) && one.answer.complete && !one.left;
  return !whole || one.events.size() == Endpoints::kEvents;
}

bool AnswerIsItsOwn(const Seen& one) {
  if (!IsSuccess(one) || !one.answer.complete) return true;
  const auto id = one.answer.headers.find("x-request-id");
  if (id == one.answer.headers.end() || id->second != one.id) return false;
  if (one.kind == RequestKind::kStream) return true;
  return one.answer.body.starts_with("ran at ") &&
         one.answer.headers.contains("x-server-stamp");
}

bool WasRevoked(const Seen& one, const std::vector<Revoked>& revoked) {
  for (const Revoked& each : revoked) {
    const bool late = one.sent > each.from + kRevocationBound;
    if (late && one.sent < each.until) return true;
  }
  return false;
}

}  // namespace

std::vector<std::string> BrokenPromises(
    const std::vector<Seen>& seen,
    const std::vector<standins::fleet::Run>& runs,
    const std::vector<Revoked>& revoked) {
  std::map<std::string, int> ran;
  for (const auto& run : runs) ++ran[run.request_id];
  std::vector<std::string> broken;
  const auto say = [&broken](const Seen& one, const std::string& what) {
    broken.push_back(one.id + " at router " + std::to_string(one.router) +
                     ", status " + std::to_string(one.answer.status) + ": " +
                     what);
  };
  for (const Seen& one : seen) {
    const int times = ran[one.id];
    const bool not_run = kNotRun.contains(static_cast<int>(one.answer.status));
    const bool unsafe = one.kind == RequestKind::kSign;
    if (unsafe && times > 1) say(one, "ran more than once (I4)");
    if (unsafe && not_run && times > 0) say(one, "ran though refused (I3)");
    if (IsSuccess(one) && times == 0) say(one, "answered without a run (I2)");
    if (!AnswerIsItsOwn(one)) say(one, "not its own answer (I2)");
    if (!EventsAreRight(one)) say(one, "events missing or doubled (I1, I2)");
    const bool second = one.kind == RequestKind::kSecondCustomer;
    if (second && times > 0 && WasRevoked(one, revoked)) {
      say(one, "ran with a key that was taken away (I7)");
    }
  }
  return broken;
}

}  // namespace toucanwharf::soak
