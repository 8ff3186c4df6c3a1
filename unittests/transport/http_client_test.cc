#include "toucanwharf/transport/http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "toucanwharf/transport/event_loop.h"

namespace toucanwharf::transport {
namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;
/// Of an answer that nobody ends; far over what a client may keep.
constexpr std::size_t kEndlessBytes = 64 * kMebibyte;
/// What a client keeps, and what is on its way then.
constexpr std::size_t kMostTaken = 24 * kMebibyte;
constexpr int kBacklog = 64;

/// A peer that on each connection sends a beginning, and then blocks up to a
/// number of bytes or until the client closes, and keeps the connection.
class EndlessPeer {
 public:
  EndlessPeer(std::string first, std::string repeated,
              std::size_t total = kEndlessBytes)
      : beginning(std::move(first)),
        block(std::move(repeated)),
        most(total),
        listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    BOOST_REQUIRE(
        bind(this->listener, reinterpret_cast<sockaddr*>(&own), size) == 0);
    BOOST_REQUIRE(listen(this->listener, kBacklog) == 0);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&own), &size);
    this->url = "http://127.0.0.1:" + std::to_string(ntohs(own.sin_port)) + "/";
    this->thread = std::thread([this] { this->Serve(); });
  }
  ~EndlessPeer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    for (const int connection : this->connections) close(connection);
    close(this->listener);
  }
  EndlessPeer(const EndlessPeer&) = delete;
  EndlessPeer& operator=(const EndlessPeer&) = delete;

  HttpCall ToCall() const {
    HttpCall call;
    call.url = this->url;
    return call;
  }
  std::size_t Sent() const { return this->sent; }

 private:
  void Serve() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) return;
      this->connections.push_back(connection);
      char request[4096];
      (void)recv(connection, request, sizeof(request), 0);
      this->SendAll(connection);
    }
  }

  void SendAll(int connection) {
    std::size_t done = 0;
    if (!this->SendPiece(connection, this->beginning)) return;
    while (done < this->most && this->SendPiece(connection, this->block)) {
      done += this->block.size();
    }
  }

  bool SendPiece(int connection, const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t size =
          send(connection, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (size <= 0) return false;
      at += static_cast<std::size_t>(size);
      this->sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  std::string beginning;
  std::string block;
  std::size_t most;
  int listener;
  std::string url;
  std::atomic<std::size_t> sent = 0;
  std::vector<int> connections;
  std::thread thread;
};

/// An event loop on its own thread, with a client.
struct ClientThread {
  ~ClientThread() {
    this->loop.Stop();
    this->thread.join();
  }

  HttpOutcome Fetch(const HttpCall& call) {
    std::promise<HttpOutcome> done;
    this->loop.Post([&] {
      this->client.Start(call, {{},
                                [&done](HttpOutcome outcome) {
                                  done.set_value(std::move(outcome));
                                },
                                {}});
    });
    return done.get_future().get();
  }

  explicit ClientThread(
      std::size_t answer_bytes = resources::Account::kUnlimited)
      : client(this->loop, answer_bytes) {}

  EventLoop loop;
  HttpClient client;
  std::thread thread{[this] { this->loop.Run(); }};
};

/// Checks that a call to \p peer ends long before the bytes do.
void CheckEnds(const EndlessPeer& peer) {
  ClientThread client;
  const HttpOutcome outcome = client.Fetch(peer.ToCall());
  BOOST_TEST((outcome.end == CallEnd::kBroken));
  BOOST_TEST(!outcome.error.empty());
  BOOST_TEST(outcome.sent);
  BOOST_TEST(peer.Sent() <= kMostTaken);
}

const std::string kUnframed = " \r\nConnection: close\r\n\r\n";

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against an answer that is kept until the memory runs out.
BOOST_AUTO_TEST_CASE(FailureWithoutAnEnd) {
  CheckEnds(
      EndlessPeer("HTTP/1.1 500 No" + kUnframed, std::string(kMebibyte, 'x')));
}

BOOST_AUTO_TEST_CASE(BodyWithoutAnEnd) {
  CheckEnds(
      EndlessPeer("HTTP/1.1 200 OK" + kUnframed, std::string(kMebibyte, 'x')));
}

BOOST_AUTO_TEST_CASE(HeadWithoutAnEnd) {
  std::string fields;
  for (int i = 0; i < 100'000; ++i) {
    fields += "a" + std::to_string(i) + ": b\r\n";
  }
  CheckEnds(EndlessPeer("HTTP/1.1 200 OK\r\n", fields));
}

BOOST_AUTO_TEST_CASE(InterimResponsesWithoutAnEnd) {
  std::string heads;
  while (heads.size() < kMebibyte) {
    heads += "HTTP/1.1 103 Early\r\nA: b\r\n\r\n";
  }
  CheckEnds(EndlessPeer("", heads));
}

BOOST_AUTO_TEST_CASE(TrailersWithoutAnEnd) {
  std::string fields;
  for (int i = 0; i < 100'000; ++i) {
    fields += "a" + std::to_string(i) + ": b\r\n";
  }
  CheckEnds(EndlessPeer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", fields));
}

// Guards against bodies that each stay inside the limit, and all together fill
// the memory.
BOOST_AUTO_TEST_CASE(ManyBodiesWithoutAnEnd) {
  constexpr std::size_t kCalls = 20;
  constexpr std::size_t kRoom = 4 * kMebibyte;
  const EndlessPeer faulty(
      "HTTP/1.1 500 No\r\nContent-Length: 99999999\r\n\r\n",
      std::string(kMebibyte, 'x'), kMebibyte);
  const EndlessPeer sound("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "",
                          0);
  ClientThread client(kRoom);
  std::atomic<std::size_t> broken = 0;
  client.loop.Post([&] {
    for (std::size_t i = 0; i < kCalls; ++i) {
      client.client.Start(faulty.ToCall(),
                          {{},
                           [&](const HttpOutcome& outcome) {
                             if (outcome.end == CallEnd::kBroken) {
                               ++broken;
                             }
                           },
                           {}});
    }
  });
  for (int poll = 0; poll < 300 && faulty.Sent() < kCalls * kMebibyte; ++poll) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(client.Fetch(sound.ToCall()).body == "ok");
  std::promise<std::pair<std::size_t, std::size_t>> seen;
  client.loop.Post([&] {
    seen.set_value({client.client.HeldBytes(), client.client.Evicted()});
  });
  const auto [held, evicted] = seen.get_future().get();
  BOOST_TEST(held <= kRoom);
  BOOST_TEST(evicted > 0U);
  BOOST_TEST(broken == evicted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::transport
