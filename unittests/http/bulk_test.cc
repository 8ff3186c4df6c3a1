#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ctime>
#include <string>
#include <thread>
#include <vector>

#include "toucanwharf/http/client.h"
#include "toucanwharf/http/loop.h"

namespace toucanwharf::http {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Answers each connection with a body without an end.
class EndlessPeer {
 public:
  EndlessPeer() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    auto* name = reinterpret_cast<sockaddr*>(&at);
    BOOST_REQUIRE(bind(this->listener, name, size) == 0);
    BOOST_REQUIRE(listen(this->listener, 16) == 0);
    BOOST_REQUIRE(getsockname(this->listener, name, &size) == 0);
    this->port = ntohs(at.sin_port);
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~EndlessPeer() {
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    for (std::thread& sender : this->senders) sender.join();
    close(this->listener);
  }
  EndlessPeer(const EndlessPeer&) = delete;
  EndlessPeer& operator=(const EndlessPeer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  void Accept() {
    for (;;) {
      const int peer = accept(this->listener, nullptr, nullptr);
      if (peer < 0) return;
      this->senders.emplace_back([peer] { Send(peer); });
    }
  }
  static void Send(int peer) {
    constexpr std::size_t kPiece = 64UL * 1024;
    std::string bytes = "HTTP/1.1 200 OK\r\n\r\n";
    while (send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0) {
      bytes.assign(kPiece, 'x');
    }
    close(peer);
  }

  int listener;
  int port = 0;
  std::thread acceptor;
  std::vector<std::thread> senders;
};

double ThreadSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e9;
}

// Guards against bytes without an end that take all of the loop's time.
BOOST_AUTO_TEST_CASE(AnswersWithoutAnEndLeaveTimeToOthers) {
  constexpr int kCalls = 4;
  constexpr milliseconds kWarmUp{300};
  constexpr milliseconds kMeasured{700};
  // Half is left; the rest is for what isn't in turns.
  constexpr double kMaxShare = 0.75;
  EndlessPeer peer;
  double share = 1;
  {
    Loop loop;
    Client client(loop);
    for (int i = 0; i < kCalls; ++i) {
      CallHandlers handlers;
      handlers.on_data = [](std::string_view) {};
      client.Start(peer.Address(), Request(), {}, std::move(handlers));
    }
    double seconds = 0;
    steady_clock::time_point began;
    loop.After(kWarmUp, [&] {
      seconds = ThreadSeconds();
      began = steady_clock::now();
    });
    loop.After(kWarmUp + kMeasured, [&] {
      const duration<double> elapsed = steady_clock::now() - began;
      share = (ThreadSeconds() - seconds) / elapsed.count();
      loop.Stop();
    });
    loop.Run();
  }
  BOOST_TEST(share <= kMaxShare);
}

}  // namespace
}  // namespace toucanwharf::http
