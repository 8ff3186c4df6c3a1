// A key is taken away. Then the store returns from a copy that still has the
// key, while all routers are killed and start again.

#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <thread>

#include "fleet.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr const char* kRevokedKey = "anfqasnmgkcuyj8pjbvk";
constexpr int kRevokeMs = 5000;
/// Of the moments below, each counts from the ack of the revocation.
constexpr int kStoreAwayMs = 3900;
constexpr int kKilledMs = 4000;
constexpr int kStoreBackMs = 4200;
constexpr int kRestartedMs = 4300;
/// The operator writes again what was lost, 1.8 s after the store's return.
constexpr int kWrittenAgainMs = 6000;
constexpr int kEndMs = 9000;
constexpr int kPauseMs = 40;

int Play(const std::string& folder) {
  Record record(folder + "/record.txt");
  std::atomic<int> number{0};
  Fleet fleet(record, [&](Runner& runner, const Request& request, Peer& peer) {
    return peer.Respond(
        200,
        {{"X-Request-Id", HeaderOf(request.headers, "X-Request-Id")},
         {"X-Server-Stamp", runner.StampOf(request)}},
        "signed");
  });
  const auto send = [&](const std::string& key) {
    const int count = ++number;
    const std::string id = "sign-" + std::to_string(count);
    return fleet.Send(count % Fleet::kRouters, "POST", "/sign/" + id, id,
                      "lot " + id, {}, 1500, key);
  };
  fleet.Configure(4, {Fleet::kKey, kRevokedKey});
  if (!fleet.AwaitReady(15000)) {
    std::puts("the routers did not get ready");
    return kNotRun;
  }
  std::this_thread::sleep_for(milliseconds(2500));
  for (int index = 0; index < Fleet::kRouters; ++index) {
    if (send(kRevokedKey).status == 200) continue;
    std::puts("the key was not accepted before it was taken away");
    return kNotRun;
  }
  fleet.Platform().KeepCopy();
  std::this_thread::sleep_for(milliseconds(500));
  fleet.Configure(5, {Fleet::kKey});
  const std::int64_t revoked_at = record.Now();
  const auto wait_until = [&](int millis) {
    const std::int64_t left = revoked_at + millis - record.Now();
    if (left > 0) std::this_thread::sleep_for(milliseconds(left));
  };
  wait_until(3000);
  for (int index = 0; index < Fleet::kRouters; ++index) {
    if (send(kRevokedKey).status == 401) continue;
    std::puts("the revocation was not in force before the disruption");
    return kNotRun;
  }
  const bool returns = !WithoutTrouble();
  wait_until(kStoreAwayMs);
  if (returns) fleet.Platform().SetAway(true);
  if (returns) record.Line("store: away");
  wait_until(kKilledMs);
  for (int index = 0; index < Fleet::kRouters; ++index) {
    fleet.Signal(index, SIGKILL);
  }
  for (int index = 0; index < Fleet::kRouters; ++index) {
    fleet.AwaitEnd(index, 2000);
  }
  wait_until(kStoreBackMs);
  if (returns) fleet.Platform().ReturnFromCopy();
  if (returns) record.Line("store: back, from the copy");
  wait_until(kRestartedMs);
  for (int index = 0; index < Fleet::kRouters; ++index) {
    fleet.StartRouter(index);
  }
  int ran = 0;
  bool written_again = !returns;
  while (record.Now() < revoked_at + kEndMs) {
    if (!written_again && record.Now() >= revoked_at + kWrittenAgainMs) {
      fleet.Configure(5, {Fleet::kKey});
      written_again = true;
    }
    const std::int64_t sent_at = record.Now() - revoked_at;
    const Reply reply = send(kRevokedKey);
    if (reply.status == 200 && sent_at > kRevokeMs) {
      ++ran;
      record.Line("ran with the revoked key, sent " + std::to_string(sent_at) +
                  " ms after the ack of its revocation");
    }
    std::this_thread::sleep_for(milliseconds(kPauseMs));
  }
  const int last = send(Fleet::kKey).status;
  const std::string result =
      std::to_string(ran) + " requests ran with a key that was revoked over " +
      std::to_string(kRevokeMs) + " ms before; the other key gets " +
      std::to_string(last) + " at the end";
  record.Line(result);
  std::puts(result.c_str());
  return ran > 0 ? kBroken : kHeld;
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
