// An entry of another writer, of which one text can't be read, stands in the
// list of runners. Then a runner reports that it drains.

#include <cstdio>
#include <stdexcept>
#include <string>
#include <thread>

#include "fleet.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr int kPauseMs = 50;
/// How long callers go on after the runner has reported that it drains.
constexpr int kWatchedMs = 8000;
/// Between the foreign entry and the report.
constexpr int kBetweenMs = 2000;

/// What another program left among the entries: a label that was cut inside a
/// character, so that half of a surrogate pair remains.
constexpr const char* kForeignEntry =
    R"({"service":"label-printer","addr":"127.63.9.9:9100",)"
    R"("zone":"casa-a \ud83d","version":"7","slots":1,"state":"idle"})";

int Play(const std::string& folder) {
  Record record(folder + "/record.txt");
  std::atomic<std::int64_t> drained_at{-1};
  std::atomic<int> late{0};
  std::atomic<int> in_time{0};
  Fleet fleet(record, [&](Runner& runner, const Request& request, Peer& peer) {
    const std::int64_t since = drained_at;
    if (runner.Id() == "i-runner1" && since >= 0) {
      const bool is_late = record.Now() > since + Fleet::kDrainMs;
      ++(is_late ? late : in_time);
      if (is_late) record.Line("this one came too late");
    }
    return peer.Respond(
        200,
        {{"X-Request-Id", HeaderOf(request.headers, "X-Request-Id")},
         {"X-Server-Stamp", runner.StampOf(request)}},
        "certificate");
  });
  if (!fleet.AwaitReady(15000)) {
    std::puts("the routers did not get ready");
    return kNotRun;
  }
  int number = 0;
  int answered = 0;
  const auto call_for = [&](int millis) {
    const std::int64_t until = record.Now() + millis;
    while (record.Now() < until) {
      const std::string id = "cert-" + std::to_string(++number);
      const Reply reply =
          fleet.Send(number % Fleet::kRouters, "GET", "/cert/" + id, id);
      if (reply.status == 200) ++answered;
      std::this_thread::sleep_for(milliseconds(kPauseMs));
    }
  };
  call_for(1000);
  if (answered == 0) {
    std::puts("no request was answered before the disruption");
    return kNotRun;
  }
  if (!WithoutTrouble()) {
    fleet.Platform().Put("servers", "printer-7", kForeignEntry);
    record.Line("store: another writer's entry printer-7 is acknowledged");
  }
  call_for(kBetweenMs);
  fleet.RunnerAt(0).Drain();
  drained_at = record.Now();
  call_for(kWatchedMs);
  const std::string result =
      "i-runner1 drains: " + std::to_string(in_time) +
      " requests within drain_ms, " + std::to_string(late) + " after it; " +
      std::to_string(answered) + " of " + std::to_string(number) + " answered";
  record.Line(result);
  std::puts(result.c_str());
  return late > 0 ? kBroken : kHeld;
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
