#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "toucanwharf/http/client.h"

namespace toucanwharf::http {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCalls = 100;
constexpr std::size_t kAnswerBytes = 1'000'000;
/// What one read may add to a buffer, which then doubles.
constexpr std::size_t kOneRead = 160UL * 1024;
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A peer that sends the same bytes on each connection, and keeps it open.
class HoldingPeer {
 public:
  explicit HoldingPeer(std::string text)
      : bytes(std::move(text)), listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    BOOST_REQUIRE(
        bind(this->listener, reinterpret_cast<sockaddr*>(&own), size) == 0);
    BOOST_REQUIRE(listen(this->listener, kCalls) == 0);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&own), &size);
    this->address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    this->thread = std::thread([this] { this->Serve(); });
  }
  ~HoldingPeer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    for (const int connection : this->connections) close(connection);
    close(this->listener);
  }
  HoldingPeer(const HoldingPeer&) = delete;
  HoldingPeer& operator=(const HoldingPeer&) = delete;

  const std::string& Address() const { return this->address; }

 private:
  void Serve() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) return;
      this->connections.push_back(connection);
      char request[4096];
      (void)recv(connection, request, sizeof(request), 0);
      const timeval patience{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &patience,
                 sizeof(patience));
      send(connection, this->bytes.data(), this->bytes.size(), MSG_NOSIGNAL);
    }
  }

  std::string bytes;
  int listener;
  std::string address;
  std::vector<int> connections;
  std::thread thread;
};

/// How the calls of a crowd ended, by the number of calls.
using Ends = std::map<CallEnd, std::size_t>;

/// Makes kCalls calls to a peer that sends \p bytes and no more, and checks
/// that what is held of them stays within \p resources, and that a call to a
/// sound peer completes beside them. With \p collects bodies are collected.
Ends PlayCalls(const std::string& bytes, Resources& resources, bool collects) {
  const HoldingPeer faulty(bytes);
  const HoldingPeer sound("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  Ends ends;
  Loop loop;
  Client client(loop, "", &resources);
  const auto on_end = [&](const CallResult& result) { ++ends[result.end]; };
  for (std::size_t i = 0; i < kCalls; ++i) {
    if (collects) {
      Fetch(loop, client, faulty.Address(), Request(),
            FetchLimits(std::chrono::seconds(20)),
            [&](const CallResult& result, const ResponseHead&,
                const std::string&) { on_end(result); });
      continue;
    }
    CallHandlers handlers;
    handlers.on_done = on_end;
    client.Start(faulty.Address(), Request(), {}, std::move(handlers));
  }
  std::string answer;
  loop.After(milliseconds(600), [&] {
    Fetch(loop, client, sound.Address(), Request(),
          FetchLimits(std::chrono::seconds(2)),
          [&](const CallResult&, const ResponseHead&, const std::string& body) {
            answer = body;
            loop.Stop();
          });
  });
  loop.Run();
  BOOST_TEST(answer == "ok");
  BOOST_TEST(resources.answers.Peak() <= kAnswerBytes + kOneRead);
  return ends;
}

/// Checks that so many answers as there is no room for ended for it.
void CheckHeld(const std::string& bytes, bool collects = false) {
  Resources resources(resources::Account::kUnlimited,
                      resources::Account::kUnlimited, kAnswerBytes);
  const Ends ends = PlayCalls(bytes, resources, collects);
  BOOST_TEST(ends.size() == 1U);
  BOOST_TEST(ends.contains(CallEnd::kNoMemory));
  BOOST_TEST(resources.counters.evicted_answers == ends.at(CallEnd::kNoMemory));
  BOOST_TEST(resources.answers.Used() == 0U);
}

BOOST_AUTO_TEST_SUITE(AnswersTest)

// Guards against answers that each stay inside the limits, and all together
// fill the memory.
BOOST_AUTO_TEST_CASE(HeadsWithoutAnEnd) {
  CheckHeld("HTTP/1.1 200 OK\r\nX-Long: " + std::string(60'000, 'h'));
}

BOOST_AUTO_TEST_CASE(FieldsWithoutAnEnd) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 900; ++i) head += "a:b\r\n";
  CheckHeld(head);
}

BOOST_AUTO_TEST_CASE(ChunkLinesWithoutAnEnd) {
  CheckHeld(kChunked + "5;" + std::string(15'000, 'x'));
}

BOOST_AUTO_TEST_CASE(TrailersWithoutAnEnd) {
  std::string trailers = kChunked + "0\r\n";
  while (trailers.size() < 15'000) trailers += "a:b\r\n";
  CheckHeld(trailers);
}

BOOST_AUTO_TEST_CASE(BodiesWithoutAnEnd) {
  CheckHeld(kChunked + "ffffff\r\n" + std::string(100'000, 'x'), true);
}

BOOST_AUTO_TEST_CASE(InterimResponsesWithoutAnEnd) {
  std::string heads;
  while (heads.size() < 200'000) heads += "HTTP/1.1 100 Continue\r\n\r\n";
  Resources resources(resources::Account::kUnlimited,
                      resources::Account::kUnlimited, kAnswerBytes);
  const Ends ends = PlayCalls(heads, resources, false);
  BOOST_TEST((ends == Ends{{CallEnd::kMalformed, kCalls}}));
  BOOST_TEST(resources.answers.Used() == 0U);
}

// Guards against heads whose many short fields take a multiple of their bytes.
BOOST_AUTO_TEST_CASE(HeadsOfManyFieldsAreMalformed) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 12'000; ++i) head += "a:b\r\n";
  Resources resources(resources::Account::kUnlimited,
                      resources::Account::kUnlimited, kAnswerBytes);
  const Ends ends = PlayCalls(head + "\r\n", resources, false);
  BOOST_TEST(ends.contains(CallEnd::kMalformed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::http
