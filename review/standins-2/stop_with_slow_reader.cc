// A router is told to stop while callers still read long answers.

#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAnswerBytes = 8UL * 1024 * 1024;
/// The answer takes five seconds on a link of 13 Mbit/s, less than grace_s.
constexpr std::size_t kReadPerSecond = kAnswerBytes / 5;
constexpr int kCallers = 3;
constexpr int kStopAfterMs = 500;

int Play(const std::string& folder) {
  Record record(folder + "/record.txt");
  const std::string body(kAnswerBytes, 'c');
  Fleet fleet(record, [&](Runner& runner, const Request& request, Peer& peer) {
    const std::string id = HeaderOf(request.headers, "X-Request-Id");
    const bool long_answer = id != "first-look";
    return peer.Respond(
        200,
        {{"X-Request-Id", id}, {"X-Server-Stamp", runner.StampOf(request)}},
        long_answer ? body : "short");
  });
  if (!fleet.AwaitReady(15000) ||
      fleet.Send(0, "GET", "/cert/first-look", "first-look").status != 200) {
    std::puts("the routers did not get ready");
    return kNotRun;
  }
  std::vector<Reply> replies(kCallers);
  std::vector<std::thread> callers;
  for (int number = 0; number < kCallers; ++number) {
    callers.emplace_back([&, number] {
      CallOptions options;
      options.bytes_per_second = kReadPerSecond;
      options.timeout_ms = 15000;
      const std::string id = "sign-" + std::to_string(number + 1);
      replies[number] =
          fleet.Send(0, "POST", "/sign/" + id, id, "lot " + id, options, 15000);
    });
  }
  std::this_thread::sleep_for(milliseconds(kStopAfterMs));
  if (!WithoutTrouble()) fleet.Signal(0, SIGTERM);
  const std::int64_t stopped_at = record.Now();
  if (!WithoutTrouble() && fleet.AwaitEnd(0, Fleet::kGraceS * 1000)) {
    record.Line("the router ended " +
                std::to_string(record.Now() - stopped_at) +
                " ms after SIGTERM");
  }
  for (std::thread& caller : callers) caller.join();
  int lost = 0;
  for (const Reply& reply : replies) {
    if (!reply.complete) ++lost;
  }
  const std::string result = std::to_string(lost) + " of " +
                             std::to_string(kCallers) +
                             " answers ended before they were complete";
  record.Line(result);
  std::puts(result.c_str());
  return lost > 0 ? kBroken : kHeld;
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
