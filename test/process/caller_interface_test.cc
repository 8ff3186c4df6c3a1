#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "test/process/fixture.h"

namespace toucanwharf::process_test {
namespace {

constexpr std::uint64_t kSeed = 11;
const std::string kPrompt = "Compare batch 7 with its master formula.";

/// One engine with all layers and two routers.
struct SmallFleet {
  SmallFleet() {
    EngineSpec spec;
    spec.id = "whole";
    spec.end = Fleet::kLayers;
    spec.layer_micros = 500;
    this->fleet.AddEngine(spec);
    this->fleet.AddRouter("casa-a");
    this->fleet.AddRouter("casa-b");
    this->fleet.WaitUntilServing();
  }

  Answer Post(const std::string& path, const std::string& body,
              const std::string& key = Fleet::kCustomerKey) {
    Call call;
    call.method = "POST";
    call.url = this->fleet.RouterAddress(0) + path;
    call.key = key;
    call.body = body;
    return Send(call);
  }

  void CheckServes() {
    const auto answer = this->fleet.Stream(0, kPrompt, 6, kSeed);
    const auto expected = Fleet::Expected(kPrompt, 6, kSeed);
    BOOST_TEST(answer.done);
    BOOST_TEST(answer.tokens == expected, boost::test_tools::per_element());
  }

  Fleet fleet;
};

/// Opens a connection to "127.0.0.1:port" and sends \p bytes.
int OpenAndSend(const std::string& address, const std::string& bytes) {
  const auto port = std::stoi(address.substr(address.rfind(':') + 1));
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int connected =
      connect(connection, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  if (connected == 0 && !bytes.empty()) {
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  return connection;
}

BOOST_FIXTURE_TEST_SUITE(CallerInterface, SmallFleet)

// Invalid requests get a 4xx response that reports the request as not run (I3),
// and later requests are served as before.
BOOST_AUTO_TEST_CASE(WrongInputGetsAClearRefusal) {
  const std::string chat = "/v1/chat/completions";
  const std::string good = R"({"model":"qa","messages":[{"role":"user",)";
  const std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      std::string(100000, '['),
      R"({"model":"qa"})",
      R"({"model":7,"messages":[]})",
      good + R"("content":7}]})",
      good + "\"content\":\"\xff\xfe\"}]}",
      good + R"("content":"x"}],"max_tokens":0})",
      good + R"("content":"x"}],"stream":"yes"})"};
  for (const std::string& body : bodies) {
    const Answer answer = this->Post(chat, body);
    BOOST_TEST_CONTEXT(body.substr(0, 60)) {
      BOOST_TEST(answer.status == 400);
      BOOST_TEST(answer.Json()["ran"] == "no");
    }
  }
  BOOST_TEST(this->Post(chat, std::string(3000000, ' ')).status == 413);
  const std::string ask = good + R"("content":"x"}]})";
  BOOST_TEST(this->Post(chat, ask, "no such key").status == 401);
  BOOST_TEST(this->Post(chat, ask, "").status == 401);
  const std::string unknown =
      R"({"model":"none","messages":[{"role":"user","content":"x"}]})";
  BOOST_TEST(this->Post(chat, unknown).status == 404);
  BOOST_TEST(this->Post("/nowhere", "{}").status == 404);
  Call remove;
  remove.method = "DELETE";
  remove.url = this->fleet.RouterAddress(0) + "/v1/services/any/lots";
  remove.key = Fleet::kCustomerKey;
  BOOST_TEST(Send(remove).status == 405);
  this->CheckServes();
}

// Many callers open idle connections, others send half a request or endless
// headers. Valid requests are served meanwhile.
BOOST_AUTO_TEST_CASE(IdleAndSlowConnectionsBlockNoOtherCaller) {
  // Each connection takes a file descriptor in the test and in the router,
  // which have a limit of 20,000 each.
  constexpr int kIdle = 10000;
  const std::string address = this->fleet.RouterAddress(0);
  std::vector<int> idle;
  idle.reserve(kIdle);
  for (int opened = 0; opened < kIdle; ++opened) {
    idle.push_back(OpenAndSend(address, ""));
  }
  const int half = OpenAndSend(
      address, "POST /v1/completions HTTP/1.1\r\nContent-Length: 500\r\n\r\n{");
  const int headers = OpenAndSend(
      address, "GET / HTTP/1.1\r\nX-Long: " + std::string(200000, 'x'));
  this->CheckServes();
  close(half);
  close(headers);
  for (const int connection : idle) close(connection);
  this->CheckServes();
}

// A customer sends many times the load that the engine can run. Each answer is
// complete, or refused immediately as not run and with Retry-After (I3). Guards
// against requests beyond the engines' slots and against an unbounded queue.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedImmediatelyAsNotRun) {
  constexpr int kCallers = 150;
  constexpr std::uint32_t kTokens = 400;
  const auto expected = Fleet::Expected(kPrompt, kTokens, kSeed);
  std::vector<Answer> answers(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int number = 0; number < kCallers; ++number) {
    callers.emplace_back([&, number] {
      answers[static_cast<std::size_t>(number)] =
          this->Post("/v1/completions", nlohmann::json({{"model", "qa"},
                                                        {"prompt", kPrompt},
                                                        {"max_tokens", kTokens},
                                                        {"seed", kSeed}})
                                            .dump());
    });
  }
  for (std::thread& caller : callers) caller.join();
  int whole = 0;
  std::string text;
  for (const std::string& token : expected) text += token;
  for (const Answer& answer : answers) {
    if (answer.status == 200) {
      ++whole;
      BOOST_TEST(answer.Json()["choices"][0]["text"] == text);
      continue;
    }
    BOOST_TEST((answer.status == 429 || answer.status == 503));
    BOOST_TEST(answer.Json()["ran"] == "no");
    BOOST_TEST(answer.headers.count("retry-after") == 1u);
  }
  BOOST_TEST(whole > 0);
  BOOST_TEST(whole < kCallers);
  BOOST_TEST_MESSAGE(whole << " of " << kCallers << " answered whole");
}

// A customer that guesses the id of another customer's answer must learn
// nothing, not even that the id exists (I2).
BOOST_AUTO_TEST_CASE(ForeignIdsAreUnknownIds) {
  const auto own = this->fleet.Stream(0, kPrompt, 4, kSeed);
  BOOST_TEST(own.done);
  const auto again = this->fleet.Resume(0, own.id, 1);
  BOOST_TEST(again.tokens.size() == 3u);
  const auto guessed =
      this->fleet.Resume(0, "01a23931-325d-794a-86da-cded5e0c7a27", 0);
  BOOST_TEST(guessed.status == 404);
}

// A caller loses its connection in the middle of an answer. It resumes by the
// answer's id and receives every token exactly once (I2).
BOOST_AUTO_TEST_CASE(CallerResumesAfterLosingItsConnection) {
  constexpr std::uint32_t kTokens = 40;
  const auto first = this->fleet.Stream(
      0, kPrompt, kTokens, kSeed, [](std::size_t read) { return read < 5; });
  BOOST_TEST(!first.done);
  const auto rest = this->fleet.Resume(0, first.id, first.tokens.size());
  BOOST_TEST(rest.done);
  std::vector<std::string> all = first.tokens;
  all.insert(all.end(), rest.tokens.begin(), rest.tokens.end());
  const auto expected = Fleet::Expected(kPrompt, kTokens, kSeed);
  BOOST_TEST(all == expected, boost::test_tools::per_element());
}

// A caller loses its connection to the entry instance, which continues to run.
// It resumes at another instance and receives every token exactly once (I2).
BOOST_AUTO_TEST_CASE(CallerResumesAtAnotherInstance) {
  constexpr std::uint32_t kTokens = 40;
  const auto first = this->fleet.Stream(
      0, kPrompt, kTokens, kSeed, [](std::size_t read) { return read < 5; });
  const auto rest = this->fleet.Resume(1, first.id, first.tokens.size());
  BOOST_TEST(rest.done);
  std::vector<std::string> all = first.tokens;
  all.insert(all.end(), rest.tokens.begin(), rest.tokens.end());
  const auto expected = Fleet::Expected(kPrompt, kTokens, kSeed);
  BOOST_TEST(all == expected, boost::test_tools::per_element());
  BOOST_TEST(this->fleet.Metric(
                 1, "toucanwharf_answers_resumed_elsewhere_total") == 1);
}

// An instance is replaced while callers hold its address and answers stream.
// SIGTERM starts a drain: no answer is aborted, and the process exits with 0
// (I6). Other instances advise it until they are notified, so a caller may
// arrive later than the advice's time to live (half a second here) after the
// drain started: it is served too.
BOOST_AUTO_TEST_CASE(DrainAbortsNothing) {
  const auto across =
      this->fleet.Stream(0, kPrompt, 120, kSeed, [&](std::size_t read) {
        if (read == 3) this->fleet.Router(0).Signal(SIGTERM);
        return true;
      });
  BOOST_TEST(across.done);
  const auto expected = Fleet::Expected(kPrompt, 120, kSeed);
  BOOST_TEST(across.tokens == expected, boost::test_tools::per_element());
  this->CheckServes();
  BOOST_TEST(this->fleet.Router(0).Wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::process_test
