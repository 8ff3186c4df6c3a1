#include "toucanwharf/transport/connection_registry.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::transport {
namespace {

using std::chrono::milliseconds;

/// A connection, seen from the end that a test holds.
class Pair {
 public:
  Pair() {
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, this->ends.data()) == 0);
  }
  ~Pair() {
    for (const int end : this->ends) close(end);
  }
  Pair(const Pair&) = delete;
  Pair& operator=(const Pair&) = delete;

  int Server() const { return this->ends[0]; }
  bool IsShutDown() const {
    char byte = 0;
    return recv(this->ends[1], &byte, 1, MSG_DONTWAIT) == 0;
  }

 private:
  std::array<int, 2> ends{};
};

TimePoint At(int millis) { return TimePoint{milliseconds(millis)}; }

BOOST_AUTO_TEST_SUITE(ConnectionRegistryTest)

// Guards against idle connections that keep an ordinary caller out.
BOOST_AUTO_TEST_CASE(LongestIdleMakesRoomForANewConnection) {
  const std::vector<Pair> pairs(3);
  ConnectionRegistry registry({1000, 2});
  const auto busy = registry.Open(pairs[0].Server(), At(0));
  registry.Enter(busy, ConnectionPhase::kAnswering, At(1));
  registry.Open(pairs[1].Server(), At(2));
  registry.Open(pairs[2].Server(), At(3));
  BOOST_TEST(!pairs[0].IsShutDown());
  BOOST_TEST(pairs[1].IsShutDown());
  BOOST_TEST(!pairs[2].IsShutDown());
  BOOST_TEST(registry.Evicted() == 1U);
}

// Guards against a newcomer that is refused in place of those that have held
// the memory for long.
BOOST_AUTO_TEST_CASE(WhoHeldMostForLongestIsClosed) {
  const std::vector<Pair> pairs(3);
  ConnectionRegistry registry({1000, 10});
  std::vector<ConnectionRegistry::Id> ids;
  for (int i = 0; i < 3; ++i) {
    ids.push_back(registry.Open(pairs[i].Server(), At(i)));
    registry.Enter(ids.back(), ConnectionPhase::kWaiting, At(10 * i));
  }
  BOOST_TEST(registry.Hold(ids[0], 500, At(30)));
  BOOST_TEST(registry.Hold(ids[1], 400, At(30)));
  BOOST_TEST(registry.Hold(ids[2], 300, At(30)));
  BOOST_TEST(pairs[0].IsShutDown());
  BOOST_TEST(!pairs[2].IsShutDown());
  BOOST_TEST(!registry.Hold(ids[0], 600, At(31)));
}

// Guards against memory that is never given back once a connection has ended.
BOOST_AUTO_TEST_CASE(EachEndGivesBackWhatWasHeld) {
  const std::vector<Pair> pairs(4);
  ConnectionRegistry registry({1000, 10});
  std::vector<ConnectionRegistry::Id> ids;
  for (int i = 0; i < 4; ++i) {
    ids.push_back(registry.Open(pairs[i].Server(), At(i)));
    registry.Enter(ids.back(), ConnectionPhase::kWaiting, At(i));
    registry.Hold(ids.back(), 400, At(10));
  }
  for (const auto id : ids) registry.Close(id);
  BOOST_TEST(registry.BufferedBytes() == 0U);
}

// Guards against a request that takes all memory while nobody else can go.
BOOST_AUTO_TEST_CASE(NoRoomBesideWhatIsAnswered) {
  const std::vector<Pair> pairs(2);
  ConnectionRegistry registry({1000, 10});
  const auto answered = registry.Open(pairs[0].Server(), At(0));
  registry.Enter(answered, ConnectionPhase::kAnswering, At(0));
  BOOST_TEST(registry.Hold(answered, 900, At(0)));
  const auto newcomer = registry.Open(pairs[1].Server(), At(1));
  registry.Enter(newcomer, ConnectionPhase::kAnswering, At(1));
  BOOST_TEST(!registry.Hold(newcomer, 200, At(2)));
  BOOST_TEST(!pairs[0].IsShutDown());
}

// Guards against an answer that looks whole although a part of it was dropped
// for lack of memory.
BOOST_AUTO_TEST_CASE(AnswerDroppedForLackOfMemoryIsNotWhole) {
  constexpr std::size_t kPieceBytes = 100'000;
  constexpr int kPieces = 200;
  const auto registry =
      std::make_shared<ConnectionRegistry>(ConnectionLimits{1'000'000, 10});
  std::promise<void> written;
  auto server = HttpServer::Open(
      "127.0.0.1:0", {},
      [&](const std::shared_ptr<Exchange>& exchange) {
        exchange->BeginStream(200, {});
        for (int i = 0; i < kPieces; ++i) {
          exchange->Write(std::string(kPieceBytes, 'a'));
        }
        exchange->End();
        written.set_value();
      },
      registry);
  BOOST_REQUIRE(server.has_value());
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(server.value()->Port());
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&to), sizeof(to)) ==
                0);
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_REQUIRE(send(caller, request.data(), request.size(), 0) > 0);
  written.get_future().get();
  std::string text;
  std::vector<char> bytes(kPieceBytes);
  for (ssize_t size = 1; size > 0;) {
    size = recv(caller, bytes.data(), bytes.size(), 0);
    if (size > 0) text.append(bytes.data(), static_cast<std::size_t>(size));
    if (text.ends_with("0\r\n\r\n")) break;
  }
  close(caller);
  BOOST_TEST(text.size() < kPieces * kPieceBytes);
  BOOST_TEST(!text.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::transport
