#include "toucanwharf/http/resources.h"

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
#include <vector>

#include "toucanwharf/http/client.h"
#include "toucanwharf/http/server.h"

namespace toucanwharf::http {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 200'000;
/// More than the kernel takes for a peer that doesn't read.
constexpr std::size_t kLongAnswerBytes = 6'000'000;

/// A connection of a client that a test controls byte for byte.
class Peer {
 public:
  explicit Peer(std::uint16_t port)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval patience{3, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience,
               sizeof(patience));
    BOOST_REQUIRE(connect(this->descriptor, reinterpret_cast<sockaddr*>(&to),
                          sizeof(to)) == 0);
  }
  ~Peer() { close(this->descriptor); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void Send(const std::string& bytes) const {
    BOOST_REQUIRE(send(this->descriptor, bytes.data(), bytes.size(),
                       MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  /// Returns what came until the server closes, or sends nothing for 3 s.
  std::string Read() const {
    std::string text;
    char bytes[1024];
    for (ssize_t size = 1; size > 0;) {
      size = recv(this->descriptor, bytes, sizeof(bytes), 0);
      if (size > 0) text.append(bytes, static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  int descriptor;
};

/// A server with few resources on a loop of its own thread. It answers each
/// request with the size of its body.
class SmallServer {
 public:
  SmallServer(std::size_t buffer_bytes, std::size_t connections)
      : resources(buffer_bytes, connections), client(this->loop) {
    ServerOptions options;
    options.table = MakeConnectionTable(this->loop, this->resources);
    options.head_check = [](const std::shared_ptr<Exchange>& exchange) {
      if (exchange->Received().target != "/refused") return;
      ResponseHead head;
      head.status = kUnauthorized;
      exchange->Respond(head, "");
    };
    auto opened = Server::Listen(
        this->loop, "127.0.0.1:0",
        [this](const std::shared_ptr<Exchange>& exchange) {
          if (exchange->Received().target == "/held") {
            this->held.push_back(exchange);
            return;
          }
          ResponseHead head;
          head.status = kOk;
          std::string answer = std::to_string(exchange->Received().body.size());
          if (exchange->Received().target == "/long") {
            answer.resize(kLongAnswerBytes);
          }
          exchange->Respond(head, answer);
        },
        options);
    BOOST_REQUIRE(opened.has_value());
    this->server = std::move(opened.value());
    this->thread = std::thread([this] { this->loop.Run(); });
  }
  ~SmallServer() {
    this->On([this] {
      this->held.clear();
      this->server.reset();
    });
    this->loop.Stop();
    this->thread.join();
  }
  SmallServer(const SmallServer&) = delete;
  SmallServer& operator=(const SmallServer&) = delete;

  void On(const std::function<void()>& act) {
    std::promise<void> done;
    this->loop.Post([&] {
      act();
      done.set_value();
    });
    done.get_future().get();
  }
  template <typename Read>
  std::size_t Await(const Read& read, std::size_t wanted) {
    std::size_t value = 0;
    for (int poll = 0; poll < 300; ++poll) {
      this->On([&] { value = read(); });
      if (value == wanted) break;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return value;
  }
  std::size_t AwaitBuffered(std::size_t wanted) {
    return this->Await([this] { return this->resources.buffers.Used(); },
                       wanted);
  }
  std::uint16_t Port() const { return this->server->Port(); }

  Resources resources;
  Loop loop;
  Client client;
  std::vector<std::shared_ptr<Exchange>> held;

 private:
  std::unique_ptr<Server> server;
  std::thread thread;
};

std::string HeadOf(const std::string& target, std::size_t length) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

BOOST_AUTO_TEST_SUITE(ResourcesTest)

// Guards against each way in which a connection ends that keeps some memory.
BOOST_AUTO_TEST_CASE(EachEndGivesAllMemoryBack) {
  SmallServer server(1'000'000, 100);
  const std::string body(kBodyBytes, 'b');
  {
    const Peer whole(server.Port());
    whole.Send(HeadOf("/", kBodyBytes) + body);
    const Peer reset(server.Port());
    reset.Send(HeadOf("/", kBodyBytes) + body.substr(1));
    const Peer refused(server.Port());
    refused.Send(HeadOf("/refused", kBodyBytes) + body.substr(1));
    const Peer malformed(server.Port());
    malformed.Send("POST / HTTP/1.1\r\nContent-Length: nothing\r\n\r\n");
    const Peer too_large(server.Port());
    too_large.Send(HeadOf("/", 100'000'000) + body);
    const Peer chunked(server.Port());
    chunked.Send(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nabcde\r\n");
    const Peer aborted(server.Port());
    aborted.Send(HeadOf("/held", 10) + "0123456789");
    server.Await([&] { return server.held.size(); }, 1);
    server.On([&] {
      for (const auto& exchange : server.held) exchange->Abort();
      server.held.clear();
    });
  }
  BOOST_TEST(server.AwaitBuffered(0) == 0);
  BOOST_TEST(server.Await(
                 [&] {
                   return server.resources.descriptors.Used(
                       resources::ConnectionUse::kCaller);
                 },
                 0) == 0);
}

// Guards against a request that is read whole although its head shows that it
// is refused.
BOOST_AUTO_TEST_CASE(RefusedByItsHeadTakesNoBody) {
  SmallServer server(1'000'000, 100);
  const Peer peer(server.Port());
  peer.Send(HeadOf("/refused", kBodyBytes));
  BOOST_TEST(peer.Read().starts_with("HTTP/1.1 401"));
  BOOST_TEST(server.resources.buffers.Peak() < 10'000);
}

// Guards against a newcomer that is refused in place of those that have held
// the memory for long.
BOOST_AUTO_TEST_CASE(WhoHeldMostForLongestIsRefused) {
  SmallServer server(500'000, 100);
  const std::string body(kBodyBytes, 'b');
  std::vector<std::unique_ptr<Peer>> crowd;
  for (int i = 0; i < 4; ++i) {
    crowd.push_back(std::make_unique<Peer>(server.Port()));
    crowd.back()->Send(HeadOf("/", kBodyBytes) + body.substr(1));
    std::this_thread::sleep_for(milliseconds(30));
  }
  const Peer ordinary(server.Port());
  ordinary.Send(HeadOf("/", kBodyBytes) + body);
  crowd.front()->Send("");
  const std::string refusal = crowd.front()->Read();
  BOOST_TEST(refusal.starts_with("HTTP/1.1 503"));
  BOOST_TEST(refusal.find("Retry-After: 1\r\n") != std::string::npos);
  BOOST_TEST(ordinary.Read().ends_with("200000"));
}

// Guards against large requests that wait for silent endpoints and leave no
// memory for ordinary ones.
BOOST_AUTO_TEST_CASE(LargeRequestsLeaveRoomForSmallOnes) {
  SmallServer server(500'000, 100);
  const std::string body(kBodyBytes, 'b');
  std::vector<std::unique_ptr<Peer>> crowd;
  for (int i = 0; i < 4; ++i) {
    crowd.push_back(std::make_unique<Peer>(server.Port()));
    crowd.back()->Send(HeadOf("/held", kBodyBytes) + body);
  }
  BOOST_TEST(server.Await([&] { return server.held.size(); }, 2) == 2);
  const Peer small(server.Port());
  small.Send(HeadOf("/", 10) + "0123456789");
  BOOST_TEST(small.Read().ends_with("10"));
}

// Guards against answers that are all ready before any reader counts as
// stalled.
BOOST_AUTO_TEST_CASE(AnswersReadyAtOnceStayWithinTheMemory) {
  constexpr std::size_t kCapacity = 20'000'000;
  SmallServer server(kCapacity, 100);
  std::vector<std::unique_ptr<Peer>> crowd;
  for (int i = 0; i < 30; ++i) {
    crowd.push_back(std::make_unique<Peer>(server.Port()));
    crowd.back()->Send("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  const Peer ordinary(server.Port());
  ordinary.Send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  BOOST_TEST(ordinary.Read().starts_with("HTTP/1.1 200"));
  BOOST_TEST(server.resources.buffers.Peak() <= kCapacity + kLongAnswerBytes);
}

// Guards against idle connections that keep an ordinary caller out.
BOOST_AUTO_TEST_CASE(LongestIdleConnectionGoesFirst) {
  SmallServer server(1'000'000, 20);
  std::vector<std::unique_ptr<Peer>> crowd;
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(std::make_unique<Peer>(server.Port()));
  }
  const Peer ordinary(server.Port());
  ordinary.Send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  BOOST_TEST(ordinary.Read().starts_with("HTTP/1.1 200"));
  BOOST_TEST(server.resources.descriptors.Peak() <= 20);
}

// Guards against an answer that is cut because its caller, who still reads it,
// counts as idle when descriptors run out.
BOOST_AUTO_TEST_CASE(CallerThatReadsIsNotIdle) {
  SmallServer server(20'000'000, 20);
  const Peer reader(server.Port());
  reader.Send("GET /long HTTP/1.1\r\nHost: x\r\n\r\n");
  server.Await([&] { return server.resources.buffers.Used() > 0 ? 1 : 0; }, 1);
  std::vector<std::unique_ptr<Peer>> crowd;
  for (int i = 0; i < 40; ++i) {
    crowd.push_back(std::make_unique<Peer>(server.Port()));
  }
  BOOST_TEST(server.Await(
                 [&] {
                   return server.resources.counters.evicted_connections > 0 ? 1
                                                                            : 0;
                 },
                 1) == 1);
  BOOST_TEST(reader.Read().size() > kLongAnswerBytes);
}

// Guards against calls for callers that take the last descriptors, so that none
// is left for the store and the peers.
BOOST_AUTO_TEST_CASE(OwnCallsKeepDescriptors) {
  constexpr auto kCall = resources::ConnectionUse::kCall;
  Resources few(1'000'000, 64);
  SmallServer server(1'000'000, 100);
  std::unique_ptr<Client> client;
  const std::string address = "127.0.0.1:" + std::to_string(server.Port());
  server.On([&] { client = std::make_unique<Client>(server.loop, "", &few); });
  // A connection that idles in the pool counts as one that can be had.
  std::promise<void> done;
  server.On([&] {
    CallHandlers handlers;
    handlers.on_done = [&](const CallResult&) { done.set_value(); };
    client->Start(address, Request(), {}, std::move(handlers));
  });
  done.get_future().get();
  server.On([&] {
    Request held;
    held.target = "/held";
    CallOptions options;
    options.reuse = Reuse::kNever;
    for (int i = 0; i < 64 && client->HasRoom(); ++i) {
      client->Start(address, held, options, {});
    }
    BOOST_TEST(!client->HasRoom());
    // The idle one and what is free are left for the process itself.
    BOOST_TEST(few.descriptors.Room(kCall) + 1 >= 2);
    client.reset();
  });
}

// Guards against a call for which there is no descriptor that is taken for a
// failure of its peer.
BOOST_AUTO_TEST_CASE(CallWithoutADescriptorSaysSo) {
  Resources none(1'000'000, 0);
  SmallServer server(1'000'000, 100);
  std::promise<CallResult> ended;
  std::unique_ptr<Client> client;
  server.On([&] {
    client = std::make_unique<Client>(server.loop, "", &none);
    BOOST_TEST(!client->HasRoom());
    CallHandlers handlers;
    handlers.on_done = [&](const CallResult& result) {
      ended.set_value(result);
    };
    client->Start("127.0.0.1:" + std::to_string(server.Port()), Request(), {},
                  std::move(handlers));
  });
  const CallResult result = ended.get_future().get();
  BOOST_TEST(result.no_descriptor);
  BOOST_TEST(!result.sent);
  server.On([&] { client.reset(); });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::http
