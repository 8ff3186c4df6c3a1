#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/resources.h"
#include "toucanwharf/http/server.h"

namespace toucanwharf::http {
namespace {

/// What a caller sees of an answer that ends with its connection.
struct Received {
  std::string text;
  /// Whether the end is an orderly one, as that of a whole answer.
  bool looks_whole = false;
};

/// A caller that reads slowly or at once.
class Caller {
 public:
  explicit Caller(std::uint16_t port)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(this->descriptor, reinterpret_cast<sockaddr*>(&to),
                          sizeof(to)) == 0);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    BOOST_REQUIRE(send(this->descriptor, request.data(), request.size(),
                       MSG_NOSIGNAL) > 0);
  }
  ~Caller() { close(this->descriptor); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Pauses \p pause after each piece.
  Received ReadToEnd(std::chrono::microseconds pause = {}) const {
    Received received;
    char bytes[4096];
    ssize_t size = 0;
    while ((size = recv(this->descriptor, bytes, sizeof(bytes), 0)) > 0) {
      received.text.append(bytes, static_cast<std::size_t>(size));
      if (pause.count() > 0) std::this_thread::sleep_for(pause);
    }
    received.looks_whole = size == 0;
    return received;
  }

 private:
  int descriptor;
};

/// A server on a loop of its own thread.
class LoopServer {
 public:
  explicit LoopServer(Server::Handler handler,
                      std::size_t buffer_bytes = resources::Account::kUnlimited)
      : resources(buffer_bytes) {
    ServerOptions options;
    options.table = MakeConnectionTable(this->loop, this->resources);
    auto opened =
        Server::Listen(this->loop, "127.0.0.1:0", std::move(handler), options);
    BOOST_REQUIRE(opened.has_value());
    this->server = std::move(opened.value());
    this->port = this->server->Port();
    this->thread = std::thread([this] { this->loop.Run(); });
  }
  ~LoopServer() {
    this->On([this] { this->server.reset(); });
    this->loop.Stop();
    this->thread.join();
  }
  LoopServer(const LoopServer&) = delete;
  LoopServer& operator=(const LoopServer&) = delete;

  void On(const std::function<void()>& act) {
    std::promise<void> done;
    this->loop.Post([&] {
      act();
      done.set_value();
    });
    done.get_future().get();
  }
  std::uint16_t Port() const { return this->port; }

  Resources resources;
  Loop loop;
  std::unique_ptr<Server> server;
  std::uint16_t port = 0;
  std::thread thread;
};

ResponseHead UnframedHead() {
  ResponseHead head;
  head.status = kOk;
  head.ends_with_connection = true;
  return head;
}

// Guards against an answer that is broken off and looks whole to its caller.
BOOST_AUTO_TEST_CASE(AbortedAnswerWithoutFramingDoesNotLookWhole) {
  LoopServer server([](const std::shared_ptr<Exchange>& exchange) {
    exchange->Begin(UnframedHead());
    exchange->Write("a part");
    exchange->Abort();
  });
  BOOST_TEST(!Caller(server.Port()).ReadToEnd().looks_whole);
}

// Guards against an answer under way that looks whole when its server ends.
BOOST_AUTO_TEST_CASE(AnswerCutByTheEndOfItsServerDoesNotLookWhole) {
  std::shared_ptr<Exchange> held;
  std::promise<void> begun;
  LoopServer server([&](const std::shared_ptr<Exchange>& exchange) {
    exchange->Begin(UnframedHead());
    exchange->Write("a part");
    held = exchange;
    begun.set_value();
  });
  const Caller caller(server.Port());
  begun.get_future().get();
  server.On([&] { server.server.reset(); });
  BOOST_TEST(!caller.ReadToEnd().looks_whole);
  server.On([&] { held.reset(); });
}

/// More than the kernel takes for a peer that doesn't read.
constexpr std::size_t kLongAnswerBytes = 6'000'000;

void AnswerAtLength(const std::shared_ptr<Exchange>& exchange) {
  exchange->Begin(UnframedHead());
  exchange->Write(std::string(kLongAnswerBytes, 'x'));
  exchange->End();
}

// Guards against a part of an answer that looks whole because there was no
// memory for the rest.
BOOST_AUTO_TEST_CASE(AnswerCutForLackOfMemoryDoesNotLookWhole) {
  LoopServer server(AnswerAtLength, 1'000'000);
  const Caller caller(server.Port());
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const Received received = caller.ReadToEnd();
  BOOST_TEST(received.text.size() < kLongAnswerBytes);
  BOOST_TEST(!received.looks_whole);
}

// Guards against a whole answer that is reset before a slow caller has read it.
BOOST_AUTO_TEST_CASE(WholeAnswerReachesASlowCaller) {
  LoopServer server(AnswerAtLength);
  const Received received =
      Caller(server.Port()).ReadToEnd(std::chrono::microseconds(1000));
  BOOST_TEST(received.text.size() > kLongAnswerBytes);
  BOOST_TEST(received.looks_whole);
}

}  // namespace
}  // namespace toucanwharf::http
