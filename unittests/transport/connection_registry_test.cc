#include "toucanwharf/transport/connection_registry.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <mutex>
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

/// Returns a socket that is connected to \p port.
int ConnectTo(std::uint16_t port) {
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&to), sizeof(to)) ==
                0);
  return caller;
}

void SendAll(int socket, const std::string& bytes) {
  BOOST_REQUIRE(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
}

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

// Guards against a reader of a stream that counts as new with each piece that
// is written for it.
BOOST_AUTO_TEST_CASE(WaitingLongerIsNotANewWait) {
  const std::vector<Pair> pairs(2);
  ConnectionRegistry registry({1000, 10});
  const auto reader = registry.Open(pairs[0].Server(), At(0));
  for (int i = 0; i < 90; ++i) {
    registry.Enter(reader, ConnectionPhase::kWaiting, At(i));
    registry.Hold(reader, 5UL * static_cast<std::size_t>(i), At(i));
  }
  const auto newcomer = registry.Open(pairs[1].Server(), At(80));
  registry.Enter(newcomer, ConnectionPhase::kWaiting, At(80));
  BOOST_TEST(registry.Hold(newcomer, 600, At(90)));
  BOOST_TEST(pairs[0].IsShutDown());
  BOOST_TEST(!pairs[1].IsShutDown());
}

// Guards against heads of many fields that wait for their answers uncounted.
BOOST_AUTO_TEST_CASE(HeadsOfWaitingRequestsAreCounted) {
  constexpr int kRequests = 10;
  constexpr std::size_t kHeadBytes = 8000;
  const auto registry =
      std::make_shared<ConnectionRegistry>(ConnectionLimits{1'000'000, 100});
  std::mutex mutex;
  std::vector<std::shared_ptr<Exchange>> held;
  std::promise<void> all_held;
  auto server = HttpServer::Open(
      "127.0.0.1:0", {},
      [&](const std::shared_ptr<Exchange>& exchange) {
        const std::lock_guard lock(mutex);
        held.push_back(exchange);
        if (held.size() == kRequests) all_held.set_value();
      },
      registry);
  BOOST_REQUIRE(server.has_value());
  std::string request = "GET / HTTP/1.1\r\nHost: x\r\n";
  for (int i = 0; request.size() < kHeadBytes; ++i) {
    request += "x" + std::to_string(i) + ": " + std::string(40, 'y') + "\r\n";
  }
  std::vector<int> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(ConnectTo(server.value()->Port()));
    SendAll(callers.back(), request + "\r\n");
  }
  all_held.get_future().get();
  BOOST_TEST(registry->BufferedBytes() >= kRequests * kHeadBytes);
  for (const auto& exchange : held) exchange->Respond(200, {}, "");
  held.clear();
  for (const int caller : callers) close(caller);
  server.value().reset();
  BOOST_TEST(registry->BufferedBytes() == 0U);
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
  const int caller = ConnectTo(server.value()->Port());
  SendAll(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
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
