#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_client.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::transport {
namespace {

/// An event loop on its own thread, with a client.
class LoopThread {
 public:
  LoopThread() : client(this->loop), thread([this] { this->loop.Run(); }) {}
  ~LoopThread() {
    this->loop.Stop();
    this->thread.join();
  }

  /// Runs \p call and waits for its outcome.
  HttpOutcome Fetch(HttpCall call, std::string* streamed = nullptr) {
    std::promise<HttpOutcome> done;
    CallHandlers handlers;
    if (streamed != nullptr) {
      handlers.on_data = [streamed](std::string_view bytes) {
        streamed->append(bytes);
      };
    }
    handlers.on_done = [&done](HttpOutcome outcome) {
      done.set_value(std::move(outcome));
    };
    this->loop.Post([&] { this->client.Start(call, handlers); });
    return done.get_future().get();
  }

  EventLoop loop;
  HttpClient client;

 private:
  std::thread thread;
};

std::unique_ptr<HttpServer> Serve(HttpServer::Handler handler,
                                  ServerLimits limits = {}) {
  auto server = HttpServer::Open("127.0.0.1:0", limits, std::move(handler));
  BOOST_REQUIRE(server.has_value());
  return std::move(server.value());
}

HttpCall CallTo(std::uint16_t port, const std::string& target = "/") {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(port) + target;
  return call;
}

BOOST_AUTO_TEST_CASE(RequestArrivesWhole) {
  auto server = Serve([](const std::shared_ptr<Exchange>& exchange) {
    const HttpRequest& request = exchange->Request();
    exchange->Respond(201, {{"X-Kind", "echo"}},
                      request.method + request.path + request.query.at("a") +
                          request.headers.at("x-in") + request.body);
  });
  LoopThread client;
  HttpCall call = CallTo(server->Port(), "/p?a=b%20c");
  call.method = "POST";
  call.headers = {{"X-In", "h"}};
  call.body = "body";
  const HttpOutcome outcome = client.Fetch(call);
  BOOST_TEST(outcome.status == 201);
  BOOST_TEST(outcome.body == "POST/pb chbody");
  BOOST_TEST(outcome.headers.at("x-kind") == "echo");
}

BOOST_AUTO_TEST_CASE(StreamIsWrittenFromAnotherThread) {
  std::thread writer;
  auto server = Serve([&](const std::shared_ptr<Exchange>& exchange) {
    exchange->BeginStream(200, {});
    writer = std::thread([exchange] {
      for (int round = 0; round < 200; ++round) exchange->Write("ab");
      exchange->End();
    });
  });
  LoopThread client;
  std::string streamed;
  const HttpOutcome outcome = client.Fetch(CallTo(server->Port()), &streamed);
  writer.join();
  BOOST_TEST(outcome.status == 200);
  BOOST_TEST(streamed.size() == 400u);
}

// Guards against an attempt that is never sent, so that the caller waits for
// the first-token deadline: an engine's stream reports that a later stage is
// lost, and the router starts the next attempt while it reads that event,
// inside libcurl's callback, which accepts no new transfers.
BOOST_AUTO_TEST_CASE(CallStartedInsideDataCallbackIsSent) {
  auto server = Serve([](const std::shared_ptr<Exchange>& exchange) {
    exchange->Respond(200, {}, "x");
  });
  LoopThread client;
  std::promise<HttpOutcome> inner;
  CallHandlers handlers;
  handlers.on_data = [&](std::string_view /*bytes*/) {
    HttpCall next = CallTo(server->Port());
    next.total_timeout = std::chrono::seconds(5);
    const auto on_done = [&inner](HttpOutcome outcome) {
      inner.set_value(std::move(outcome));
    };
    client.client.Start(std::move(next), {nullptr, on_done});
  };
  handlers.on_done = [](const HttpOutcome& /*outcome*/) {};
  client.loop.Post(
      [&] { client.client.Start(CallTo(server->Port()), handlers); });
  auto ended = inner.get_future();
  BOOST_REQUIRE(
      (ended.wait_for(std::chrono::seconds(30)) == std::future_status::ready));
  BOOST_TEST(ended.get().status == 200);
}

// Guards against work for a disconnected caller, which holds an engine's slot:
// the caller closes its connection while its request waits, and the listener
// doesn't poll suspended connections by itself.
BOOST_AUTO_TEST_CASE(DisconnectedCallerIsDetected) {
  std::promise<std::shared_ptr<Exchange>> taken;
  auto server = Serve([&](const std::shared_ptr<Exchange>& exchange) {
    taken.set_value(exchange);
  });
  LoopThread client;
  CallId id = 0;
  client.loop.Post([&] {
    id = client.client.Start(CallTo(server->Port()),
                             {nullptr, [](const HttpOutcome& /*outcome*/) {}});
  });
  const std::shared_ptr<Exchange> exchange = taken.get_future().get();
  BOOST_TEST(!exchange->IsDisconnected());
  client.loop.Post([&] { client.client.Cancel(id); });
  while (!exchange->IsDisconnected()) std::this_thread::yield();
  exchange->Respond(200, {}, "late");
}

BOOST_AUTO_TEST_CASE(OversizedBodyIsRefusedAsNotRun) {
  ServerLimits limits;
  limits.body_bytes = 10;
  auto server = Serve(
      [](const std::shared_ptr<Exchange>& exchange) {
        exchange->Respond(200, {}, "");
      },
      limits);
  LoopThread client;
  HttpCall call = CallTo(server->Port());
  call.method = "POST";
  call.body = std::string(1000, 'x');
  const HttpOutcome outcome = client.Fetch(call);
  BOOST_TEST(outcome.status == 413);
  BOOST_TEST(outcome.body.find("\"ran\":\"no\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(NothingListeningMeansNothingSent) {
  LoopThread client;
  const HttpOutcome outcome = client.Fetch(CallTo(1));
  BOOST_TEST((outcome.end == CallEnd::kNotConnected));
  BOOST_TEST(!outcome.sent);
}

/// Answers the first request and closes the connection at the second one
/// without a response; counts the requests.
class ClosingServer {
 public:
  ClosingServer() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(this->listener, raw, size) == 0);
    getsockname(this->listener, raw, &size);
    this->port = ntohs(address.sin_port);
    listen(this->listener, 8);
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~ClosingServer() {
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    for (std::thread& reader : this->readers) reader.join();
    close(this->listener);
  }

  std::uint16_t port = 0;
  std::atomic<int> requests{0};

 private:
  void Accept() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) return;
      this->readers.emplace_back(
          [this, connection] { this->Read(connection); });
    }
  }

  // Answers only the first request of all connections, so that a resend on a
  // new connection gets no response either.
  void Read(int connection) {
    while (this->ReadRequest(connection) && this->requests == 1) {
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    }
    close(connection);
  }

  bool ReadRequest(int connection) {
    std::string got;
    char byte = 0;
    while (got.find("\r\n\r\n") == std::string::npos) {
      if (recv(connection, &byte, 1, 0) <= 0) return false;
      got.push_back(byte);
    }
    ++this->requests;
    return true;
  }

  int listener;
  std::thread acceptor;
  std::vector<std::thread> readers;
};

int RequestsSeenFor(Reuse reuse) {
  ClosingServer server;
  LoopThread client;  // destroyed first, which closes its connections
  HttpCall call = CallTo(server.port);
  client.Fetch(call);
  call.method = "POST";
  call.reuse = reuse;
  const HttpOutcome outcome = client.Fetch(call);
  BOOST_TEST(outcome.sent);
  BOOST_TEST((outcome.end == CallEnd::kBroken));
  return server.requests - 1;
}

// Guards against a call that runs twice although the router sent it once, such
// as a lot that is signed twice. An idle connection is reused, the endpoint
// reads the request and closes; libcurl assumes that the connection was closed
// earlier and resends the request.
BOOST_AUTO_TEST_CASE(NonIdempotentCallIsNeverResentByTheLibrary) {
  BOOST_TEST(RequestsSeenFor(Reuse::kNever) == 1);
  // libcurl's resend, which shows that the scenario reproduces it.
  BOOST_TEST(RequestsSeenFor(Reuse::kAllowed) == 2);
}

/// Sends each of its texts to one connection, in order, once it has read that
/// connection's request, and closes it in the ordinary way.
class CuttingServer {
 public:
  explicit CuttingServer(std::vector<std::string> answers)
      : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(this->listener, raw, size) == 0);
    getsockname(this->listener, raw, &size);
    this->port = ntohs(address.sin_port);
    listen(this->listener, 8);
    this->thread = std::thread(
        [this, answers = std::move(answers)] { this->Serve(answers); });
  }
  ~CuttingServer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }
  CuttingServer(const CuttingServer&) = delete;
  CuttingServer& operator=(const CuttingServer&) = delete;

  std::uint16_t port = 0;

 private:
  void Serve(const std::vector<std::string>& answers) const {
    for (const std::string& answer : answers) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) return;
      ReadRequest(connection);
      send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      close(connection);
    }
  }

  static void ReadRequest(int connection) {
    std::string got;
    char byte = 0;
    while (!got.ends_with("\r\n\r\n") && recv(connection, &byte, 1, 0) == 1) {
      got.push_back(byte);
    }
  }

  int listener;
  std::thread thread;
};

/// Returns \p answer cut after each of its bytes, the whole answer last.
std::vector<std::string> AllCutsOf(const std::string& answer) {
  std::vector<std::string> cuts;
  for (std::size_t size = 0; size <= answer.size(); ++size) {
    cuts.push_back(answer.substr(0, size));
  }
  return cuts;
}

/// An answer as it is sent, and what its receiver must have got of it.
struct SentAnswer {
  std::string bytes;
  /// Size of the part that ends with the empty line of the final head.
  std::size_t head_size = 0;
  /// It may be taken for answered from this many bytes on.
  std::size_t answered_from = 0;
  /// Empty if the body ends with the connection.
  std::string framed_body;
};

/// Checks that \p answer, whose connection closes after each of its bytes, is
/// never answered too early and has no status before its head is whole.
void CheckAllCuts(const SentAnswer& answer) {
  constexpr int kOk = 200;
  CuttingServer server(AllCutsOf(answer.bytes));
  LoopThread client;
  int answered_early = 0;
  int status_early = 0;
  HttpOutcome outcome;
  for (std::size_t size = 0; size <= answer.bytes.size(); ++size) {
    HttpCall call = CallTo(server.port);
    call.reuse = Reuse::kNever;
    outcome = client.Fetch(call);
    const bool answered = outcome.end == CallEnd::kAnswered;
    if (answered && size < answer.answered_from) ++answered_early;
    if (outcome.status != 0 && size < answer.head_size) ++status_early;
    BOOST_TEST(outcome.sent);
    BOOST_TEST((answered || outcome.end == CallEnd::kBroken));
    BOOST_TEST(answered == outcome.error.empty());
    if (size < answer.answered_from || !answered) continue;
    const std::string body =
        answer.framed_body.empty()
            ? answer.bytes.substr(answer.head_size, size - answer.head_size)
            : answer.framed_body;
    BOOST_TEST(outcome.body == body);
  }
  BOOST_TEST((outcome.end == CallEnd::kAnswered));
  BOOST_TEST(outcome.status == kOk);
  BOOST_TEST(answered_early == 0, "of " << answer.answered_from << " cuts "
                                        << answered_early << " were answered");
  BOOST_TEST(status_early == 0, "of " << answer.head_size << " cuts "
                                      << status_early << " had a status");
}

const std::string kFields = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
const std::string kLengthHead = kFields + "Content-Length: 4\r\n\r\n";
const std::string kChunkedHead = kFields + "Transfer-Encoding: chunked\r\n\r\n";

/// Returns an answer in chunks. libcurl takes the last CR for the end, and then
/// nothing of the answer is missing.
SentAnswer InChunks(const std::string& chunks, const std::string& body) {
  const std::string bytes = kChunkedHead + chunks;
  return {bytes, kChunkedHead.size(), bytes.size() - 1, body};
}

// Guards against an endpoint that stops in its answer's head and is relayed as
// a 200 with an empty body.
BOOST_AUTO_TEST_CASE(AnswerCutBeforeItsEndIsBroken) {
  const std::string bytes = kLengthHead + "body";
  CheckAllCuts({bytes, kLengthHead.size(), bytes.size(), "body"});
}

BOOST_AUTO_TEST_CASE(AnswerInChunksCutBeforeItsEndIsBroken) {
  CheckAllCuts(InChunks("4\r\nbody\r\n3\r\nend\r\n0\r\n\r\n", "bodyend"));
}

BOOST_AUTO_TEST_CASE(AnswerWithTrailersCutBeforeItsEndIsBroken) {
  CheckAllCuts(InChunks("4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n", "body"));
}

BOOST_AUTO_TEST_CASE(AnswerAfterInterimAnswersCutBeforeItsEndIsBroken) {
  const std::string head =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
      kLengthHead;
  const std::string bytes = head + "body";
  CheckAllCuts({bytes, head.size(), bytes.size(), "body"});
}

// An answer without length or chunks ends with its connection.
BOOST_AUTO_TEST_CASE(UnframedAnswerIsAnsweredOnlyAfterItsWholeHead) {
  const std::string head = kFields + "Connection: close\r\n\r\n";
  CheckAllCuts({head + "body", head.size(), head.size(), ""});
}

}  // namespace
}  // namespace toucanwharf::transport
