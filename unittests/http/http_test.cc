#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "toucanwharf/http/client.h"
#include "toucanwharf/http/datagram.h"
#include "toucanwharf/http/event_splitter.h"
#include "toucanwharf/http/server.h"

namespace toucanwharf::http {
namespace {

using std::chrono::milliseconds;

/// A blocking socket that sends and reads raw bytes.
class RawSocket {
 public:
  explicit RawSocket(std::uint16_t port)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(port);
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval receive_timeout{3, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
               sizeof(receive_timeout));
    const int no_delay = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay,
               sizeof(no_delay));
    BOOST_REQUIRE(connect(this->descriptor, reinterpret_cast<sockaddr*>(&peer),
                          sizeof(peer)) == 0);
  }
  /// Takes over a connected socket.
  struct Connected {
    int descriptor;
  };
  explicit RawSocket(Connected accepted) : descriptor(accepted.descriptor) {
    const int no_delay = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay,
               sizeof(no_delay));
  }
  ~RawSocket() { this->Close(); }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  void Send(const std::string& bytes) const {
    BOOST_REQUIRE(send(this->descriptor, bytes.data(), bytes.size(),
                       MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  /// Reads until \p end was read or the peer closes.
  std::string ReadUntil(const std::string& end) const {
    std::string text;
    char byte = 0;
    while (recv(this->descriptor, &byte, 1, 0) == 1) {
      text.push_back(byte);
      if (!end.empty() && text.ends_with(end)) break;
    }
    return text;
  }
  /// Reads \p most bytes at a time, with \p pause before each, until the peer
  /// closes. Returns how many were read.
  std::size_t CountSlowly(std::size_t most, milliseconds pause) const {
    std::vector<char> bytes(most);
    std::size_t total = 0;
    while (true) {
      std::this_thread::sleep_for(pause);
      const ssize_t size =
          recv(this->descriptor, bytes.data(), most, MSG_WAITALL);
      if (size <= 0) return total;
      total += static_cast<std::size_t>(size);
    }
  }
  /// Waits for the next byte or the end. Returns whether it is a reset.
  bool IsReset() const {
    char byte = 0;
    return recv(this->descriptor, &byte, 1, 0) < 0 && errno == ECONNRESET;
  }
  void Close() {
    if (this->descriptor >= 0) close(this->descriptor);
    this->descriptor = -1;
  }

 private:
  int descriptor;
};

/// A server on a loop of its own thread.
class ServerThread {
 public:
  explicit ServerThread(Server::Handler handler, ServerLimits limits = {}) {
    auto opened = Server::Listen(this->loop, "127.0.0.1:0", std::move(handler));
    BOOST_REQUIRE(opened.has_value());
    this->server = std::move(opened.value());
    this->server->SetLimits(limits);
    this->client = std::make_unique<Client>(this->loop);
    this->thread = std::thread([this] { this->loop.Run(); });
  }
  ~ServerThread() {
    this->On([this] {
      this->server.reset();
      this->client.reset();
    });
    this->loop.Stop();
    this->thread.join();
  }
  ServerThread(const ServerThread&) = delete;
  ServerThread& operator=(const ServerThread&) = delete;

  void On(const std::function<void()>& act) {
    std::promise<void> done;
    this->loop.Post([&] {
      act();
      done.set_value();
    });
    done.get_future().get();
  }
  /// Returns after the loop has read what its sockets had received before.
  void Settle() {
    for (int turn = 0; turn < 2; ++turn) this->On([] {});
  }
  std::uint16_t Port() {
    std::uint16_t port = 0;
    this->On([&] { port = this->server->Port(); });
    return port;
  }

  Loop loop;
  std::unique_ptr<Server> server;
  std::unique_ptr<Client> client;

 private:
  std::thread thread;
};

/// Echoes the request, so that tests see what the server parsed.
void Echo(const std::shared_ptr<Exchange>& exchange) {
  const Request& request = exchange->Received();
  ResponseHead head;
  head.status = kOk;
  std::string body = request.method + " " + request.target + "\n";
  for (const auto& [name, value] : request.headers) {
    body += name + ": " + value + "\n";
  }
  exchange->Respond(head, body + request.body.Text());
}

/// Outcome of a client call.
struct Fetched {
  CallResult result;
  ResponseHead head;
  std::string body;
  bool body_before_head = false;
};

/// Calls \p address with a new client and waits for the outcome.
Fetched Call(const std::string& address, const Request& request,
             int calls = 1) {
  Loop loop;
  Client client(loop);
  Fetched last;
  std::function<void(int)> next = [&](int remaining) {
    last = Fetched{};
    CallHandlers handlers;
    handlers.on_head = [&](const ResponseHead& head) { last.head = head; };
    handlers.on_data = [&](std::string_view bytes) {
      last.body_before_head = last.body_before_head || last.head.status == 0;
      last.body.append(bytes);
    };
    handlers.on_done = [&, remaining](const CallResult& result) {
      last.result = result;
      if (remaining > 1) {
        loop.After(milliseconds(50), [&, remaining] { next(remaining - 1); });
      } else {
        loop.Stop();
      }
    };
    client.Start(address, request, {}, std::move(handlers));
  };
  loop.Post([&] { next(calls); });
  loop.After(std::chrono::seconds(5), [&] { loop.Stop(); });
  loop.Run();
  return last;
}

/// A peer that sends fixed bytes on each connection, then closes it.
class ScriptedPeer {
 public:
  explicit ScriptedPeer(std::vector<std::string> pieces, bool reset = false,
                        milliseconds pause_after_piece = milliseconds(30))
      : listener(socket(AF_INET, SOCK_STREAM, 0)), pause(pause_after_piece) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    BOOST_REQUIRE(
        bind(this->listener, reinterpret_cast<sockaddr*>(&own), size) == 0);
    BOOST_REQUIRE(listen(this->listener, 4) == 0);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&own), &size);
    this->port = ntohs(own.sin_port);
    this->thread = std::thread(
        [this, pieces = std::move(pieces), reset] { Serve(pieces, reset); });
  }
  ~ScriptedPeer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  void Serve(const std::vector<std::string>& pieces, bool reset) const {
    const int connection = accept(this->listener, nullptr, nullptr);
    if (connection < 0) return;
    char bytes[4096];
    (void)recv(connection, bytes, sizeof(bytes), 0);
    for (const std::string& piece : pieces) {
      send(connection, piece.data(), piece.size(), MSG_NOSIGNAL);
      std::this_thread::sleep_for(this->pause);
    }
    if (reset) {
      const linger hard{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }
    close(connection);
  }

  int listener;
  milliseconds pause;
  std::uint16_t port = 0;
  std::thread thread;
};

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// Endpoints must receive the caller's target and headers unchanged: a decoded
// path could name another resource, and a merged header would lose a value.
BOOST_AUTO_TEST_CASE(TargetAndRepeatedHeadersArriveAsSent) {
  ServerThread server(Echo);
  RawSocket caller(server.Port());
  caller.Send(
      "POST /a%2Fb/../c?x=%41&y=+ HTTP/1.1\r\nHost: h\r\nX-Twice: 1\r\n"
      "X-Twice: 2\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
  const std::string answer = caller.ReadUntil("");
  BOOST_TEST(answer.find("POST /a%2Fb/../c?x=%41&y=+\n") != std::string::npos);
  BOOST_TEST(answer.find("X-Twice: 1\nX-Twice: 2\n") != std::string::npos);
  BOOST_TEST(answer.ends_with("body"));
}

BOOST_AUTO_TEST_CASE(BodyInChunksIsJoined) {
  ServerThread server(Echo);
  RawSocket caller(server.Port());
  caller.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n2;x=y\r\nab\r\n");
  caller.Send("1\r\nc\r\n0\r\n\r\n");
  BOOST_TEST(caller.ReadUntil("").ends_with("abc"));
}

/// Bodies in chunks and what they hold.
struct ChunkedBody {
  std::string text;
  std::string content;
};
const std::vector<ChunkedBody> kChunkedBodies = {
    {"0\r\n\r\n", ""},
    {"0\r\nT: v\r\n\r\n", ""},
    {"000;x=y\r\n\r\n", ""},
    {"3\r\nabc\r\n0\r\n\r\n", "abc"},
    {"2;x=y\r\n\r\n\r\n1\r\nc\r\n0\r\nT: v\r\nU: w\r\n\r\n", "\r\nc"},
    {"1;x=\"0\"\r\n0\r\n0;x\r\nT: 0\r\n\r\n", "0"},
};

/// Returns \p text cut at one place and, up to \p pairs_until bytes, at each
/// two places from \p from on, and byte by byte.
std::vector<std::vector<std::string>> SplitsOf(const std::string& text,
                                               std::size_t from,
                                               std::size_t pairs_until) {
  std::vector<std::vector<std::string>> splits(1);
  for (const char byte : text) splits[0].emplace_back(1, byte);
  for (std::size_t i = 1; i < text.size(); ++i) {
    splits.push_back({text.substr(0, i), text.substr(i)});
    if (i < from || text.size() - from > pairs_until) continue;
    for (std::size_t j = i + 1; j < text.size(); ++j) {
      splits.push_back(
          {text.substr(0, i), text.substr(i, j - i), text.substr(j)});
    }
  }
  return splits;
}

constexpr std::size_t kPairsUntil = 40;

// Guards against a parser's assertion that ends the process at some splits.
BOOST_AUTO_TEST_CASE(RequestInChunksIsWholeHoweverItIsSplit) {
  std::string received;
  ServerThread server([&](const std::shared_ptr<Exchange>& exchange) {
    received = exchange->Received().body.Text();
    ResponseHead head;
    head.status = kOk;
    exchange->Respond(head, "end");
  });
  RawSocket caller(server.Port());
  const std::string head =
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const ChunkedBody& body : kChunkedBodies) {
    const std::string text = head + body.text;
    for (const auto& pieces : SplitsOf(text, head.size(), kPairsUntil)) {
      received = "none";
      for (const std::string& piece : pieces) {
        caller.Send(piece);
        server.Settle();
      }
      const std::string answer = caller.ReadUntil("end");
      BOOST_REQUIRE(answer.starts_with("HTTP/1.1 200 "));
      server.On([&] { BOOST_REQUIRE(received == body.content); });
    }
  }
}

/// Listens on a port of its own and accepts connections one by one.
class RawListener {
 public:
  RawListener() : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(own);
    BOOST_REQUIRE(
        bind(this->descriptor, reinterpret_cast<sockaddr*>(&own), size) == 0);
    BOOST_REQUIRE(listen(this->descriptor, 4) == 0);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&own), &size);
    this->address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
  }
  ~RawListener() { close(this->descriptor); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  RawSocket Accept() const {
    const timeval timeout{3, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    const int accepted = accept(this->descriptor, nullptr, nullptr);
    BOOST_REQUIRE(accepted >= 0);
    return RawSocket(RawSocket::Connected{accepted});
  }
  const std::string& Address() const { return this->address; }

 private:
  int descriptor;
  std::string address;
};

// Guards against a parser's assertion that ends the process at some splits.
BOOST_AUTO_TEST_CASE(AnswerInChunksIsWholeHoweverItIsSplit) {
  ServerThread side(Echo);
  const RawListener peer;
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n";
  Request request;
  request.method = "GET";
  request.target = "/a";
  for (const ChunkedBody& body : kChunkedBodies) {
    const std::string text = head + body.text;
    for (const auto& pieces : SplitsOf(text, head.size(), kPairsUntil)) {
      std::string received;
      std::promise<CallEnd> done;
      CallHandlers handlers;
      handlers.on_data = [&](std::string_view bytes) { received += bytes; };
      handlers.on_done = [&](const CallResult& result) {
        done.set_value(result.end);
      };
      side.On([&] {
        side.client->Start(peer.Address(), request, {}, std::move(handlers));
      });
      const RawSocket connection = peer.Accept();
      connection.ReadUntil("\r\n\r\n");
      for (const std::string& piece : pieces) {
        connection.Send(piece);
        side.Settle();
      }
      auto end = done.get_future();
      BOOST_REQUIRE(end.wait_for(std::chrono::seconds(3)) ==
                    std::future_status::ready);
      BOOST_REQUIRE(end.get() == CallEnd::kComplete);
      BOOST_REQUIRE(received == body.content);
    }
  }
}

// Guards against a coded body that is taken for the answer's own bytes.
BOOST_AUTO_TEST_CASE(AnswerInAnotherTransferCodingIsMalformed) {
  const std::vector<std::string> codings = {
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked, gzip\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
      "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
      "Content-Length: 4\r\nContent-Length: 5\r\n",
  };
  for (const std::string& coding : codings) {
    const ScriptedPeer peer(
        {"HTTP/1.1 200 OK\r\n" + coding + "\r\n4\r\nbody\r\n0\r\n\r\n"});
    Request request;
    request.method = "GET";
    request.target = "/a";
    const Fetched fetched = Call(peer.Address(), request);
    BOOST_TEST((fetched.result.end == CallEnd::kMalformed), coding);
  }
}

// Guards against a part of an answer that is complete because a write has taken
// the error of the reset.
BOOST_AUTO_TEST_CASE(ResetThatEndsTheRequestIsNoEndOfTheAnswer) {
  constexpr std::size_t kMoreThanBuffersHold = 16UL * 1024 * 1024;
  const ScriptedPeer peer({"HTTP/1.1 200 OK\r\n\r\na part"}, true);
  Request request;
  request.method = "POST";
  request.target = "/a";
  request.body = Body(std::string(kMoreThanBuffersHold, 'x'));
  const Fetched fetched = Call(peer.Address(), request);
  BOOST_TEST(fetched.body == "a part");
  BOOST_TEST((fetched.result.end == CallEnd::kBroken));
}

// Guards against a second answer to one request that the next one on its
// connection gets.
BOOST_AUTO_TEST_CASE(AnswerThatCameBeforeItsRequestIsNotItsAnswer) {
  ServerThread side(Echo);
  const RawListener peer;
  Request request;
  request.method = "GET";
  request.target = "/a";
  const auto answer = [](const std::string& body) {
    return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 3\r\n"
           "\r\n" +
           body;
  };
  std::string body;
  const auto start = [&](std::promise<CallEnd>& done) {
    CallHandlers handlers;
    handlers.on_data = [&](std::string_view bytes) { body += bytes; };
    handlers.on_done = [&](const CallResult& result) {
      done.set_value(result.end);
    };
    side.client->Start(peer.Address(), request, {}, std::move(handlers));
  };
  std::promise<CallEnd> first_done;
  side.On([&] { start(first_done); });
  const RawSocket first = peer.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Send(answer("one"));
  BOOST_REQUIRE((first_done.get_future().get() == CallEnd::kComplete));
  std::promise<CallEnd> second_done;
  side.On([&] {
    first.Send(answer("one"));
    std::this_thread::sleep_for(milliseconds(20));
    body.clear();
    start(second_done);
  });
  const RawSocket second = peer.Accept();
  second.ReadUntil("\r\n\r\n");
  second.Send(answer("two"));
  BOOST_TEST((second_done.get_future().get() == CallEnd::kComplete));
  BOOST_TEST(body == "two");
}

// Guards against the lines between chunks in the body of a caller that doesn't
// know chunks.
BOOST_AUTO_TEST_CASE(CallerOfTheFormerVersionGetsNoChunks) {
  ServerThread server([](const std::shared_ptr<Exchange>& exchange) {
    ResponseHead head;
    head.status = kOk;
    exchange->Begin(head);
    exchange->Write("body");
    exchange->End();
  });
  const RawSocket caller(server.Port());
  caller.Send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  const std::string answer = caller.ReadUntil("");
  BOOST_TEST(answer.find("chunked") == std::string::npos, answer);
  BOOST_TEST(answer.ends_with("\r\n\r\nbody"), answer);
}

// Guards against bytes behind an answer that has no body, which its caller
// takes for the next answer.
BOOST_AUTO_TEST_CASE(AnswerThatHasNoBodyHasNoChunks) {
  constexpr int kNoContent = 204;
  ServerThread server([](const std::shared_ptr<Exchange>& exchange) {
    ResponseHead head;
    head.status = kNoContent;
    exchange->Begin(head);
    exchange->Write("body");
    exchange->End();
  });
  const RawSocket caller(server.Port());
  caller.Send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::string answer = caller.ReadUntil("");
  BOOST_TEST(answer.find("chunked") == std::string::npos, answer);
  BOOST_TEST(answer.ends_with("\r\n\r\n"), answer);
  BOOST_TEST(answer.find("\r\n\r\n") == answer.size() - 4U, answer);
}

// Guards against a caller that adds fields after the head, which nothing
// checks.
BOOST_AUTO_TEST_CASE(TrailersAreNoFieldsOfTheHead) {
  bool seen = true;
  std::string body;
  ServerThread server([&](const std::shared_ptr<Exchange>& exchange) {
    seen = exchange->Received().headers.Find("X-After").has_value();
    body = exchange->Received().body.Text();
    Echo(exchange);
  });
  RawSocket caller(server.Port());
  caller.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n0\r\nX-After: v\r\n\r\n");
  BOOST_TEST(caller.ReadUntil("ab").starts_with("HTTP/1.1 200"));
  server.On([&] {
    BOOST_TEST(!seen);
    BOOST_TEST(body == "ab");
  });
}

// Guards against request smuggling: with two lengths or an invalid one, two
// parsers disagree where the body ends, and one of them reads the rest as a
// request that nobody sent.
BOOST_AUTO_TEST_CASE(AmbiguousLengthsAreRefused) {
  const std::vector<std::string> lengths = {
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
      "Content-Length: 4\r\nContent-Length: 5\r\n",
      "Content-Length: four\r\n",
      "Content-Length: -1\r\n",
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: gzip, chunked\r\n",
      "Transfer-Encoding: chunked, gzip\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: chunked;x=y\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding:\r\n",
      "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
      "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
  };
  const std::string hidden = "GET /hidden HTTP/1.1\r\n\r\n";
  for (const std::string& length : lengths) {
    for (const std::string& body : {hidden, "0\r\n\r\n" + hidden}) {
      int handled = 0;
      ServerThread server([&](const std::shared_ptr<Exchange>& exchange) {
        ++handled;
        Echo(exchange);
      });
      RawSocket caller(server.Port());
      caller.Send("POST /a HTTP/1.1\r\nHost: h\r\n" + length + "\r\n" + body);
      const std::string answer = caller.ReadUntil("");
      BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), length);
      BOOST_TEST(answer.rfind("HTTP/1.1") == 0U, length);
      server.On([&] { BOOST_TEST(handled == 0); });
    }
  }
}

BOOST_AUTO_TEST_CASE(LimitsHaveTheirOwnStatus) {
  ServerLimits limits;
  limits.max_header_bytes = 512;
  limits.max_body_bytes = 100;
  limits.header_timeout = milliseconds(200);
  ServerThread server(Echo, limits);
  RawSocket large_head(server.Port());
  large_head.Send("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x'));
  BOOST_TEST(large_head.ReadUntil("").starts_with("HTTP/1.1 431 "));
  RawSocket large_body(server.Port());
  large_body.Send("POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n");
  BOOST_TEST(large_body.ReadUntil("").starts_with("HTTP/1.1 413 "));
  RawSocket slow(server.Port());
  slow.Send("GET /a HT");
  BOOST_TEST(slow.ReadUntil("").starts_with("HTTP/1.1 408 "));
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  ServerThread server(Echo);
  RawSocket caller(server.Port());
  caller.Send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n" + kGet);
  const std::string answers = caller.ReadUntil("Host: h\n");
  BOOST_TEST(answers.find("GET /1") < answers.find("GET /2"));
  BOOST_TEST(answers.find("GET /2") < answers.find("GET /a"));
}

// An aborted response must not look complete to its caller.
BOOST_AUTO_TEST_CASE(AbortedBodyHasNoEnd) {
  ServerThread server([](const std::shared_ptr<Exchange>& exchange) {
    ResponseHead head;
    head.status = kOk;
    exchange->Begin(head);
    exchange->Write("part");
    exchange->Abort();
  });
  RawSocket caller(server.Port());
  caller.Send(kGet);
  const std::string answer = caller.ReadUntil("");
  BOOST_TEST(answer.find("part") != std::string::npos);
  BOOST_TEST(answer.find("\r\n0\r\n") == std::string::npos);
}

// A caller disconnects while its request is in progress. The handler must be
// notified immediately, or endpoints keep working on an answer nobody reads.
BOOST_AUTO_TEST_CASE(DisconnectIsReportedImmediately) {
  std::promise<void> disconnected;
  std::vector<std::shared_ptr<Exchange>> held;
  ServerThread server([&](std::shared_ptr<Exchange> exchange) {
    exchange->OnDisconnect([&] { disconnected.set_value(); });
    held.push_back(std::move(exchange));
  });
  {
    RawSocket caller(server.Port());
    caller.Send(kGet);
    std::this_thread::sleep_for(milliseconds(50));
  }
  BOOST_CHECK(disconnected.get_future().wait_for(milliseconds(400)) ==
              std::future_status::ready);
  server.On([&] { held.clear(); });
}

// A handler drops a request without a response. Its caller must not wait.
BOOST_AUTO_TEST_CASE(DroppedRequestClosesConnection) {
  ServerThread server([](const std::shared_ptr<Exchange>&) {});
  RawSocket caller(server.Port());
  caller.Send(kGet);
  BOOST_TEST(caller.ReadUntil("").empty());
}

BOOST_AUTO_TEST_CASE(StoppingServerClosesAfterResponses) {
  ServerThread server(Echo);
  server.On([&] { server.server->CloseAfterResponses(); });
  RawSocket caller(server.Port());
  caller.Send(kGet);
  BOOST_TEST(caller.ReadUntil("").find("Connection: close") !=
             std::string::npos);
}

// Guards against requests that end with the process, half received, unread or
// under way, without an answer.
BOOST_AUTO_TEST_CASE(EndingServerAnswersWhatItHasReceived) {
  std::vector<std::shared_ptr<Exchange>> held;
  ServerThread server([&](const std::shared_ptr<Exchange>& exchange) {
    held.push_back(exchange);
  });
  RawSocket under_way(server.Port());
  under_way.Send(kGet);
  RawSocket half_head(server.Port());
  half_head.Send("GET /a HT");
  RawSocket half_body(server.Port());
  half_body.Send("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nfour");
  RawSocket idle(server.Port());
  while (true) {
    std::size_t receiving = 0;
    std::size_t open = 0;
    server.On([&] {
      receiving = server.server->Receiving();
      open = server.server->Open();
    });
    if (receiving == 2 && open == 4 && held.size() == 1) break;
    std::this_thread::sleep_for(milliseconds(5));
  }
  server.On([&] { server.server->CloseUnused(); });
  for (const RawSocket* caller : {&half_head, &half_body}) {
    const std::string answer = caller->ReadUntil("");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(answer.find("Retry-After: 0") != std::string::npos);
  }
  BOOST_TEST(idle.ReadUntil("").empty());
  server.On([&] {
    ResponseHead head;
    head.status = kOk;
    held.front()->Respond(head, "late");
    held.clear();
  });
  BOOST_TEST(under_way.ReadUntil("").ends_with("late"));
}

// Guards against a part of an answer that looks whole because the process ends
// with the connection.
BOOST_AUTO_TEST_CASE(UnfinishedAnswerIsResetByTheEndOfItsServer) {
  std::shared_ptr<Exchange> held;
  auto server = std::make_unique<ServerThread>(
      [&](const std::shared_ptr<Exchange>& exchange) {
        ResponseHead head;
        head.status = kOk;
        head.ends_with_connection = true;
        exchange->Begin(head);
        exchange->Write("a part");
        held = exchange;
      });
  RawSocket caller(server->Port());
  caller.Send(kGet);
  BOOST_TEST(caller.ReadUntil("a part").ends_with("a part"));
  server->On([&] { server->server.reset(); });
  BOOST_TEST(caller.IsReset());
  server->On([&] { held.reset(); });
}

constexpr std::size_t kMebibyte = 1024UL * 1024;
/// More than the kernel holds for one connection.
constexpr std::size_t kLongBody = 32 * kMebibyte;

void AnswerAtLength(const std::shared_ptr<Exchange>& exchange) {
  ResponseHead head;
  head.status = kOk;
  exchange->Respond(head, std::string(kLongBody, 'x'));
}

// Guards against a close in the middle of what waits for a slow caller.
BOOST_AUTO_TEST_CASE(LastAnswerIsWholeForSlowCaller) {
  ServerThread server(AnswerAtLength);
  RawSocket caller(server.Port());
  caller.Send("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  caller.ReadUntil("\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(caller.CountSlowly(kMebibyte, milliseconds(0)) == kLongBody);
}

// Guards against an idle timer that runs while an answer is still being sent.
BOOST_AUTO_TEST_CASE(KeptConnectionIsNotIdleWhileItsAnswerIsSent) {
  ServerLimits limits;
  limits.idle_timeout = milliseconds(400);
  ServerThread server(AnswerAtLength, limits);
  RawSocket caller(server.Port());
  caller.Send(kGet);
  caller.ReadUntil("\r\n\r\n");
  BOOST_TEST(caller.CountSlowly(kMebibyte, milliseconds(50)) == kLongBody);
}

// Guards against a caller that never reads and holds its connection for ever.
BOOST_AUTO_TEST_CASE(CallerThatNeverReadsIsClosed) {
  ServerLimits limits;
  limits.idle_timeout = milliseconds(400);
  ServerThread server(AnswerAtLength, limits);
  RawSocket caller(server.Port());
  caller.Send("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
  std::this_thread::sleep_for(milliseconds(1500));
  BOOST_TEST(caller.CountSlowly(kMebibyte, milliseconds(0)) < kLongBody);
}

// Guards against the loss of the first event of a stream: when the first bytes
// of a body arrive in one read with the head, the body must not be delivered
// before the head.
BOOST_AUTO_TEST_CASE(HeadComesBeforeBody) {
  ScriptedPeer peer(
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "5\r\nfirst\r\n",
       "6\r\nsecond\r\n0\r\n\r\n"});
  const Fetched fetched = Call(peer.Address(), {});
  BOOST_CHECK(fetched.result.end == CallEnd::kComplete);
  BOOST_TEST(!fetched.body_before_head);
  BOOST_TEST(fetched.body == "firstsecond");
}

// Guards against a busy loop that blocks the whole process: a read ends in the
// middle of a chunk header, and the client parses the same bytes again forever.
BOOST_AUTO_TEST_CASE(PartialChunkHeaderWaitsForMore) {
  ScriptedPeer peer({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1",
                     "0", "\r\n0123456789abcdef", "\r", "\n0\r\n\r\n"});
  const Fetched fetched = Call(peer.Address(), {});
  BOOST_CHECK(fetched.result.end == CallEnd::kComplete);
  BOOST_TEST(fetched.body == "0123456789abcdef");
}

BOOST_AUTO_TEST_CASE(BodyWithoutLengthEndsWithItsConnection) {
  ScriptedPeer complete({"HTTP/1.1 200 OK\r\n\r\n", "all of it"});
  const Fetched fetched = Call(complete.Address(), {});
  BOOST_CHECK(fetched.result.end == CallEnd::kComplete);
  BOOST_TEST(fetched.body == "all of it");
  ScriptedPeer broken({"HTTP/1.1 200 OK\r\n\r\n", "part"}, true);
  BOOST_CHECK(Call(broken.Address(), {}).result.end == CallEnd::kBroken);
}

BOOST_AUTO_TEST_CASE(ShortBodyIsBroken) {
  ScriptedPeer peer({"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour"});
  BOOST_CHECK(Call(peer.Address(), {}).result.end == CallEnd::kBroken);
}

BOOST_AUTO_TEST_CASE(BytesThatAreNoResponseAreMalformed) {
  ScriptedPeer peer({"what is this\r\n\r\n"});
  const Fetched fetched = Call(peer.Address(), {});
  BOOST_CHECK(fetched.result.end == CallEnd::kMalformed);
  BOOST_TEST(fetched.result.sent);
}

BOOST_AUTO_TEST_CASE(UnreachablePeerGotNothing) {
  const Fetched fetched = Call("127.0.0.1:1", {});
  BOOST_CHECK(fetched.result.end == CallEnd::kNotConnected);
  BOOST_TEST(!fetched.result.sent);
  BOOST_TEST(fetched.result.refused);
  BOOST_CHECK(Call("no address", {}).result.end == CallEnd::kNotConnected);
}

// Guards against a failure of this machine that is taken for an ended peer.
BOOST_AUTO_TEST_CASE(LocalFailureIsNoRefusal) {
  // The kernel allows no stream to the broadcast address.
  const Fetched fetched = Call("255.255.255.255:1", {});
  BOOST_CHECK(fetched.result.end == CallEnd::kNotConnected);
  BOOST_TEST(!fetched.result.refused);
}

// A peer sends a second response right after a complete one. The next request
// on that connection would receive it as its own (I2), so the connection must
// not be reused.
BOOST_AUTO_TEST_CASE(SurplusBytesPreventReuse) {
  ScriptedPeer peer(
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"});
  const Fetched second = Call(peer.Address(), {}, 2);
  BOOST_TEST(second.body != "bad");
}

BOOST_AUTO_TEST_CASE(ConnectionsAreKeptForTheNextCall) {
  ServerThread server(Echo);
  const Fetched second =
      Call("127.0.0.1:" + std::to_string(server.Port()), {}, 2);
  BOOST_CHECK(second.result.end == CallEnd::kComplete);
  BOOST_TEST(second.result.reused);
}

BOOST_AUTO_TEST_CASE(HopByHopFieldsAreRemoved) {
  Headers headers;
  headers.Add("X-Kept", "1");
  headers.Add("connection", "close, X-Named");
  headers.Add("X-Named", "2");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("X-Kept", "3");
  Headers expected;
  expected.Add("X-Kept", "1");
  expected.Add("X-Kept", "3");
  BOOST_CHECK(EndToEnd(headers) == expected);
}

BOOST_AUTO_TEST_CASE(QueryValuesAreDecoded) {
  BOOST_TEST(QueryValue("/p?a=1&zone=x%20y&b=", "zone") == "x y");
  BOOST_TEST(QueryValue("/p?a=1", "zone").empty());
  BOOST_TEST(QueryValue("/p", "zone").empty());
  BOOST_TEST(QueryValue("/p?zone=%zz%4", "zone") == "%zz%4");
  BOOST_TEST(PathOf("/p/q?x") == "/p/q");
}

// Reads may split a stream anywhere, also between the two line ends that end
// an event.
BOOST_AUTO_TEST_CASE(EventsComeOutWhole) {
  const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    splitter.Feed(text.substr(0, cut));
    std::string out = splitter.TakeCompleteEvents();
    splitter.Feed(text.substr(cut));
    out += splitter.TakeCompleteEvents();
    BOOST_REQUIRE(out == text);
    BOOST_REQUIRE(splitter.LastId() == "2");
  }
  EventSplitter splitter;
  splitter.Feed("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(splitter.TakeCompleteEvents() == "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.HasPartialEvent());
  BOOST_TEST(*splitter.LastId() == "1");
  splitter.BeginRun();
  BOOST_TEST(!splitter.HasPartialEvent());
}

// Guards against an event that is relayed though its id goes back.
BOOST_AUTO_TEST_CASE(EventsBeforeOneThatGoesBackComeOut) {
  EventSplitter splitter;
  splitter.SetLastId("4");
  splitter.Feed("id: 5\ndata: a\n\nid: 5\ndata: b\n\nid: 6\n\n");
  BOOST_TEST(splitter.TakeCompleteEvents() == "id: 5\ndata: a\n\n");
  BOOST_TEST((splitter.Fault() == EventFault::kOutOfOrder));
  BOOST_TEST(*splitter.LastId() == "5");
  splitter.BeginRun();
  splitter.Feed(": a comment\n\nx-version: 3\nid: 6\ndata: c\n\n\n");
  BOOST_TEST(splitter.TakeCompleteEvents() ==
             ": a comment\n\nx-version: 3\nid: 6\ndata: c\n\n\n");
  BOOST_TEST((splitter.Fault() == EventFault::kNone));
}

// Guards against an event without an end that is held until memory runs out.
BOOST_AUTO_TEST_CASE(EventWithoutAnEndIsNotHeld) {
  EventSplitter splitter;
  const std::string part(EventSplitter::kMaxEventBytes / 2, 'x');
  for (int i = 0; i < 3; ++i) {
    splitter.Feed(part);
    BOOST_TEST(splitter.TakeCompleteEvents().empty());
  }
  BOOST_TEST((splitter.Fault() == EventFault::kTooLong));
  BOOST_TEST(!splitter.HasPartialEvent());
}

/// Writes twelve bytes of the body, one each 50 ms.
void AnswerSlowly(Loop& loop, const std::shared_ptr<Exchange>& exchange) {
  constexpr int kBytes = 12;
  ResponseHead head;
  head.status = kOk;
  exchange->Begin(head);
  for (int count = 1; count <= kBytes; ++count) {
    loop.After(milliseconds(50) * count, [exchange, last = count == kBytes] {
      exchange->Write("b");
      if (last) exchange->End();
    });
  }
}

/// Fetches from \p server within \p limits.
Fetched FetchWithin(ServerThread& server, const FetchLimits& limits) {
  const std::string address = "127.0.0.1:" + std::to_string(server.Port());
  std::promise<Fetched> done;
  server.On([&] {
    Request request;
    request.target = "/";
    Fetch(server.loop, *server.client, address, request, limits,
          [&](const CallResult& result, const ResponseHead& head,
              const std::string& body) {
            done.set_value({result, head, body, false});
          });
  });
  return done.get_future().get();
}

// Guards against large responses over a congested link that time out while they
// make progress and are requested again, which adds to the congestion.
BOOST_AUTO_TEST_CASE(ResponseWithProgressIsNotCancelled) {
  ServerThread* running = nullptr;
  ServerThread server([&](const std::shared_ptr<Exchange>& exchange) {
    AnswerSlowly(running->loop, exchange);
  });
  running = &server;
  const Fetched slow =
      FetchWithin(server, {milliseconds(300), milliseconds(5000)});
  BOOST_TEST((slow.result.end == CallEnd::kComplete));
  BOOST_TEST(slow.body == "bbbbbbbbbbbb");
  const Fetched late = FetchWithin(server, Duration(milliseconds(300)));
  BOOST_TEST((late.result.end == CallEnd::kBroken));
}

BOOST_AUTO_TEST_CASE(StalledResponseTimesOut) {
  std::vector<std::shared_ptr<Exchange>> held;
  ServerThread server([&](const std::shared_ptr<Exchange>& exchange) {
    held.push_back(exchange);
  });
  const Fetched stalled =
      FetchWithin(server, {milliseconds(100), milliseconds(60000)});
  BOOST_TEST((stalled.result.end == CallEnd::kBroken));
  server.On([&] { held.clear(); });
}

BOOST_AUTO_TEST_CASE(DatagramsArrive) {
  Loop loop;
  std::string got;
  auto receiver =
      DatagramSocket::Bind(loop, "127.0.0.1:28951",
                           [&](const std::string&, std::string_view payload) {
                             got = std::string(payload);
                             loop.Stop();
                           });
  BOOST_REQUIRE(receiver.has_value());
  auto sender = DatagramSocket::Bind(
      loop, "127.0.0.1:28952", [](const std::string&, std::string_view) {});
  BOOST_REQUIRE(sender.has_value());
  loop.Post([&] { sender.value()->Send("127.0.0.1:28951", "hello"); });
  loop.After(std::chrono::seconds(2), [&] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(got == "hello");
}

/// Calls a peer that closes after the first \p size bytes of its answer.
Fetched CallCutAfter(const std::string& answer, std::size_t size) {
  Request request;
  request.method = "GET";
  request.target = "/";
  ScriptedPeer peer({answer.substr(0, size)}, false, milliseconds(0));
  return Call(peer.Address(), request);
}

/// Checks that \p answer, closed after each of its bytes, is complete only from
/// \p complete_from bytes on, and that its head is delivered only whole.
void CheckAllCuts(const std::string& answer, std::size_t complete_from) {
  const std::string head_end = "\r\n\r\n";
  const std::size_t final_head = answer.find("HTTP/1.1 200");
  const std::size_t head_size =
      answer.find(head_end, final_head) + head_end.size();
  for (std::size_t size = 0; size <= answer.size(); ++size) {
    const Fetched fetched = CallCutAfter(answer, size);
    const bool complete = fetched.result.end == CallEnd::kComplete;
    BOOST_TEST(complete == (size >= complete_from), "cut after " << size);
    BOOST_TEST((complete || fetched.result.end == CallEnd::kBroken));
    BOOST_TEST((fetched.head.status != 0) == (size >= head_size));
    const bool framed = complete_from == answer.size();
    BOOST_TEST(fetched.result.ended_by_close == (complete && !framed));
  }
}

const std::string kFields = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

// Guards against an endpoint that stops in its answer's head and is relayed as
// a 200 with an empty body.
BOOST_AUTO_TEST_CASE(AnswerCutBeforeItsEndIsNeverComplete) {
  const std::string answer = kFields + "Content-Length: 4\r\n\r\nbody";
  CheckAllCuts(answer, answer.size());
}

BOOST_AUTO_TEST_CASE(AnswerInChunksCutBeforeItsEndIsNeverComplete) {
  const std::string answer = kFields +
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n";
  CheckAllCuts(answer, answer.size());
}

// Guards against a call that waits for a body that never comes.
BOOST_AUTO_TEST_CASE(AnswerToHeadAfterAnInterimOneHasNoBody) {
  ScriptedPeer peer(
      {"HTTP/1.1 103 Early Hints\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"});
  Request request;
  request.method = "HEAD";
  const Fetched fetched = Call(peer.Address(), request);
  BOOST_TEST((fetched.result.end == CallEnd::kComplete));
  BOOST_TEST(fetched.head.status == 200);
  BOOST_TEST(fetched.body.empty());
}

BOOST_AUTO_TEST_CASE(AnswerAfterInterimAnswersCutBeforeItsEndIsNeverComplete) {
  const std::string answer = "HTTP/1.1 100 Continue\r\n\r\n" +
                             std::string("HTTP/1.1 103 Early Hints\r\n") +
                             "Link: </a>\r\n\r\n" + kFields +
                             "Content-Length: 4\r\n\r\nbody";
  CheckAllCuts(answer, answer.size());
}

// An answer without length or chunks ends with its connection.
BOOST_AUTO_TEST_CASE(UnframedAnswerIsCompleteOnlyAfterItsWholeHead) {
  const std::string head = kFields + "Connection: close\r\n\r\n";
  CheckAllCuts(head + "body", head.size());
}

}  // namespace
}  // namespace toucanwharf::http
