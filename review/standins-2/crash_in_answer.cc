// A runner crashes in the middle of a long answer to a request that may run
// more than once.

#include <cstdio>
#include <stdexcept>
#include <string>
#include <thread>

#include "fleet.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAnswerBytes = 400000;
constexpr std::size_t kBytesBeforeCrash = 300000;
/// From the last byte that the runner sends until it crashes.
constexpr int kWorkMs = 100;
constexpr int kRequests = 12;
/// The store removes the entry of a silent runner after three reports.
constexpr int kEntryRemovedAfterMs = 3600;

/// Returns the body of \p runner's answer to \p id: every line names both.
std::string BodyOf(const std::string& runner, const std::string& id) {
  std::string body;
  for (int line = 0; body.size() < kAnswerBytes; ++line) {
    body += runner + " " + id + " line " + std::to_string(line) + "\n";
  }
  body.resize(kAnswerBytes);
  return body;
}

int Play(const std::string& folder) {
  Record record(folder + "/record.txt");
  std::atomic<bool> crash{!WithoutTrouble()};
  std::atomic<int> crashed_at{0};
  Fleet fleet(record, [&](Runner& runner, const Request& request, Peer& peer) {
    if (runner.HasEnded()) return false;
    const std::string id = HeaderOf(request.headers, "X-Request-Id");
    const std::string body = BodyOf(runner.Id(), id);
    const HeaderList headers = {
        {"X-Request-Id", id},
        {"X-Server-Stamp", runner.StampOf(request)},
        {"Content-Length", std::to_string(body.size())}};
    const bool crashes = request.target.rfind("/cert/", 0) == 0 &&
                         id != "first-look" && crash.exchange(false);
    if (!crashes) return peer.Send(HeadText(200, headers) + body);
    peer.Send(HeadText(200, headers) + body.substr(0, kBytesBeforeCrash));
    std::this_thread::sleep_for(milliseconds(kWorkMs));
    crashed_at = static_cast<int>(record.Now());
    runner.Crash();
    return false;
  });
  if (!fleet.AwaitReady(15000) ||
      fleet.Send(0, "GET", "/cert/first-look", "first-look").status != 200) {
    std::puts("the routers did not get ready");
    return kNotRun;
  }
  CallOptions options;
  options.surplus_wait_ms = 200;
  int wrong = 0;
  int answered = 0;
  bool removed = false;
  for (int number = 1; number <= kRequests; ++number) {
    const std::string id = "cert-" + std::to_string(number);
    const Reply reply = fleet.Send(number % Fleet::kRouters, "GET",
                                   "/cert/" + id, id, "", options);
    for (int index = 0; index < Fleet::kRunners; ++index) {
      const bool expired = fleet.RunnerAt(index).HasEnded() && !removed &&
                           record.Now() > crashed_at + kEntryRemovedAfterMs;
      if (!expired) continue;
      fleet.Platform().Remove("servers", fleet.RunnerAt(index).Id());
      removed = true;
    }
    if (reply.status != 200 || !reply.complete) continue;
    ++answered;
    const std::string stamp = HeaderOf(reply.headers, "X-Server-Stamp");
    const std::string runner = stamp.substr(0, stamp.find('.'));
    const std::string whole = BodyOf(runner, id);
    if (reply.body == whole && reply.surplus.empty()) continue;
    ++wrong;
    std::size_t same = 0;
    while (same < reply.body.size() && reply.body[same] == whole[same]) ++same;
    record.Line(id + ": the body isn't that of " + runner +
                ": it differs from byte " + std::to_string(same) +
                ", where \"" + reply.body.substr(same, 40) + "\" stands; " +
                std::to_string(reply.surplus.size()) +
                " bytes follow the answer");
  }
  const std::string result = std::to_string(answered) + " of " +
                             std::to_string(kRequests) +
                             " answered with 200 and complete, " +
                             std::to_string(wrong) + " with a wrong body";
  record.Line(result);
  std::puts(result.c_str());
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count != 2) return review::kNotRun;
  try {
    return review::Play(arguments[1]);
  } catch (const std::exception& error) {
    std::puts(error.what());
    return review::kNotRun;
  }
}
