#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/peers/client.h"
#include "toucanwharf/peers/error.h"
#include "toucanwharf/peers/seal.h"
#include "toucanwharf/peers/server.h"

namespace toucanwharf::peers {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

/// Task queue of the owner's thread, here the test's.
class Tasks {
 public:
  Post Poster() {
    return [this](std::function<void()> task) {
      const std::lock_guard lock(this->mutex);
      this->queued.push_back(std::move(task));
      this->changed.notify_all();
    };
  }
  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      std::unique_lock lock(this->mutex);
      this->changed.wait(lock, [this] { return !this->queued.empty(); });
      const std::function<void()> task = std::move(this->queued.front());
      this->queued.pop_front();
      lock.unlock();
      task();
    }
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> queued;
};

membership::Message From(const std::string& id) {
  membership::Message message;
  message.sender.id = id;
  message.sender.incarnation = 3;
  message.items.push_back(
      {{id, membership::ItemKind::kUsage, "customer"}, 4, "value"});
  return message;
}

struct Pair {
  Tasks tasks;
  std::optional<AnswerSink> sink;
  PeerClient relay{tasks.Poster(), "key"};
  std::unique_ptr<PeerServer> server =
      PeerServer::Start("127.0.0.1:0", "key", tasks.Poster(),
                        this->MakeHandlers())
          .value();
  std::string address = "127.0.0.1:" + std::to_string(server->Port());

  Handlers MakeHandlers() {
    Handlers handlers;
    handlers.probe = [](const membership::Message& message) {
      membership::Message answer = From("server");
      answer.members.push_back(message.sender);
      return answer;
    };
    handlers.pass_on = [this](const std::string& to,
                              const membership::Message& message,
                              const PeerClient::OnMessage& done) {
      this->relay.Send({1, to, "", message}, kTimeout, done);
    };
    handlers.config = [](std::uint64_t since) -> std::optional<std::string> {
      if (since > 7) return std::nullopt;
      return "config";
    };
    handlers.answer = [this](const std::string&, std::uint64_t,
                             const std::string&,
                             AnswerSink out) { this->sink = std::move(out); };
    return handlers;
  }
  Result<membership::Message> Send(PeerClient& client,
                                   const membership::Probe& probe) {
    std::optional<Result<membership::Message>> result;
    client.Send(probe, kTimeout,
                [&](const auto& response) { result = response; });
    this->tasks.RunUntil([&] { return result.has_value(); });
    return *result;
  }
  Result<std::string> Fetch(PeerClient& client, std::uint64_t since) {
    std::optional<Result<std::string>> result;
    client.FetchConfig(this->address, since, kTimeout,
                       [&](const auto& response) { result = response; });
    this->tasks.RunUntil([&] { return result.has_value(); });
    return *result;
  }
};

BOOST_FIXTURE_TEST_CASE(ProbesAndConfigurationArriveUnchanged, Pair) {
  PeerClient client(this->tasks.Poster(), "key");
  const auto direct = this->Send(client, {1, this->address, "", From("me")});
  BOOST_TEST(direct.value().sender.id == "server");
  BOOST_TEST(direct.value().members.front().id == "me");
  BOOST_TEST(direct.value().items.front().version == 4u);
  const auto passed_on =
      this->Send(client, {1, this->address, this->address, From("me")});
  BOOST_TEST(passed_on.value().sender.id == "server");
  BOOST_TEST(this->Fetch(client, 2).value() == "config");
  const bool missing = this->Fetch(client, 9).error() == Errc::kNotFound;
  BOOST_TEST(missing);
}

BOOST_FIXTURE_TEST_CASE(AnotherKeyIsRefused, Pair) {
  // A client without the key requests the configuration, or gossips that live
  // members are dead; neither may reach a handler.
  PeerClient client_without_key(this->tasks.Poster(), "other");
  const bool refused =
      this->Fetch(client_without_key, 2).error() == Errc::kWrongKey;
  BOOST_TEST(refused);
  const auto probe =
      this->Send(client_without_key, {1, this->address, "", From("me")});
  const bool probe_refused = probe.error() == Errc::kWrongKey;
  BOOST_TEST(probe_refused);
}

BOOST_FIXTURE_TEST_CASE(AnAnswerStreamsInOrderAndEndsOnce, Pair) {
  PeerClient client(this->tasks.Poster(), "key");
  std::vector<std::string> parts;
  std::optional<Result<void>> end;
  client.GetAnswer(
      this->address, "request", 2, "customer", kTimeout,
      [&](const std::string& part) { parts.push_back(part); },
      [&](const Result<void>& result) { end = result; });
  this->tasks.RunUntil([&] { return this->sink.has_value(); });
  for (const char* part : {"one", "two", "three"}) this->sink->write(part);
  this->sink->end(true);
  this->tasks.RunUntil([&] { return end.has_value(); });
  BOOST_TEST(end->has_value());
  BOOST_TEST(parts == (std::vector<std::string>{"one", "two", "three"}));
  BOOST_TEST(!this->sink->write("late"));
}

BOOST_FIXTURE_TEST_CASE(StopEndsAnswersAsIncomplete, Pair) {
  // The router that serves a resumed answer stops in the middle; the other must
  // not treat the parts received as the complete answer (I2).
  PeerClient client(this->tasks.Poster(), "key");
  std::optional<Result<void>> end;
  client.GetAnswer(
      this->address, "request", 0, "customer", kTimeout,
      [](const std::string&) {},
      [&](const Result<void>& result) { end = result; });
  this->tasks.RunUntil([&] { return this->sink.has_value(); });
  this->sink->write("one");
  this->server->Stop();
  this->tasks.RunUntil([&] { return end.has_value(); });
  BOOST_TEST(!end->has_value());
}

BOOST_AUTO_TEST_CASE(SealsDifferByCallRequestAndPart) {
  BOOST_TEST(SealRequest("k", "a", "b") != SealRequest("k", "ab", ""));
  BOOST_TEST(SealRequest("k", "a", "b") != SealRequest("l", "a", "b"));
  BOOST_TEST(SealAnswer("k", "r", 0, "b") != SealAnswer("k", "r", 1, "b"));
  BOOST_TEST(!SameSeal("abc", "abd"));
  BOOST_TEST(!SameSeal("abc", "ab"));
}

}  // namespace
}  // namespace toucanwharf::peers
