// While a router serves others, a caller sends it a request with an empty body
// in chunks, whose last bytes arrive one by one.

#include <cstdio>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr int kCallers = 6;
constexpr int kWorkMs = 1000;
/// Between two pieces of the request's bytes.
constexpr int kPieceMs = 100;

int Play(const std::string& folder) {
  Record record(folder + "/record.txt");
  Fleet fleet(record, [&](Runner& runner, const Request& request, Peer& peer) {
    const std::string id = HeaderOf(request.headers, "X-Request-Id");
    if (id.rfind("work-", 0) == 0) {
      std::this_thread::sleep_for(milliseconds(kWorkMs));
      record.Line(runner.Id() + " has run " + id + " and answers");
    }
    return peer.Respond(
        200,
        {{"X-Request-Id", id}, {"X-Server-Stamp", runner.StampOf(request)}},
        "signed");
  });
  if (!fleet.AwaitReady(15000)) {
    std::puts("the routers did not get ready");
    return kNotRun;
  }
  std::vector<std::unique_ptr<Channel>> channels;
  std::vector<Reply> replies(kCallers);
  for (int number = 0; number < kCallers; ++number) {
    channels.push_back(fleet.Connect(0));
    const std::string id = "first-" + std::to_string(number);
    channels.back()->Send(
        TextOf(fleet.MakeRequest("POST", "/sign/" + id, id, "lot")));
    if (channels.back()->Receive().status == 200) continue;
    std::puts("a first request was not answered");
    return kNotRun;
  }
  std::vector<std::thread> callers;
  for (int number = 0; number < kCallers; ++number) {
    callers.emplace_back([&, number] {
      const std::string id = "work-" + std::to_string(number);
      record.Line("caller sends " + id + " to router 0 on its kept channel");
      channels[number]->Send(
          TextOf(fleet.MakeRequest("POST", "/sign/" + id, id, "lot")));
      replies[number] = channels[number]->Receive();
      record.Line(
          "caller got " + std::to_string(replies[number].status) + " for " +
          id + (replies[number].status == 0 ? ": the channel was closed" : ""));
    });
  }
  std::this_thread::sleep_for(milliseconds(kWorkMs / 3));
  Request request = fleet.MakeRequest("POST", "/cert/empty", "empty-body");
  request.headers.emplace_back("Transfer-Encoding", "chunked");
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) {
    head += name + ": " + value + "\r\n";
  }
  head += "\r\n";
  std::vector<std::string> pieces = {head + "0\r\n", "\r", "\n"};
  if (WithoutTrouble()) pieces = {head + "0\r\n\r\n"};
  const auto channel = fleet.Connect(0);
  for (const std::string& piece : pieces) {
    channel->Send(piece);
    std::this_thread::sleep_for(milliseconds(kPieceMs));
  }
  const Reply reply = channel->Receive();
  record.Line("empty-body, sent in " + std::to_string(pieces.size()) +
              " pieces, got " + std::to_string(reply.status));
  for (std::thread& caller : callers) caller.join();
  const bool runs = fleet.Runs(0);
  int lost = 0;
  for (const Reply& got : replies) {
    if (got.status == 0) ++lost;
  }
  const std::string result =
      std::string(runs ? "router 0 runs" : "router 0 has ended by itself") +
      "; " + std::to_string(lost) + " of " + std::to_string(kCallers) +
      " requests that runners ran got no answer";
  record.Line(result);
  std::puts(result.c_str());
  constexpr int kAllowed = 3;
  return lost > kAllowed ? kBroken : kHeld;
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
