#include "platform/store_client.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/http/server.h"

namespace toucanwharf::adapter {
namespace {

constexpr const char* kObject =
    R"({"metadata":{"name":"main","revision":7},"spec":{"version":3}})";

/// A store that sends the same answer to every call.
class FixedStore {
 public:
  FixedStore(int status, std::vector<std::string> eras) {
    auto listening = http::Server::Listen(
        this->loop, "127.0.0.1:0",
        [status, eras](const std::shared_ptr<http::Exchange>& exchange) {
          http::ResponseHead head;
          head.status = status;
          for (const std::string& era : eras) {
            head.headers.Add("Store-Era", era);
          }
          exchange->Respond(head, kObject);
        });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(listening.value());
    this->store = std::make_unique<StoreClient>(
        this->loop, this->client,
        "127.0.0.1:" + std::to_string(this->server->Port()));
    this->store->OnEpoch([this](std::uint64_t epoch) { this->seen = epoch; });
  }

  store::ReadAnswer Read() {
    store::ReadAnswer answer;
    this->store->Read({"config", "main"}, [&](const auto& received) {
      answer = received;
      this->loop.Stop();
    });
    this->loop.Run();
    return answer;
  }

  std::optional<std::uint64_t> seen;
  http::Loop loop;
  http::Client client{loop};
  std::unique_ptr<http::Server> server;
  std::unique_ptr<StoreClient> store;
};

BOOST_AUTO_TEST_CASE(AnswersCarryTheEpoch) {
  FixedStore store(http::kOk, {"2"});
  const store::ReadAnswer answer = store.Read();
  BOOST_TEST((answer.status == store::ReadStatus::kFound));
  BOOST_TEST((answer.object.version == store::Revision{2, 7}));
  BOOST_TEST((store.seen == 2U));
}

// Guards against a return of the store that is seen late, because only refusals
// tell of it.
BOOST_AUTO_TEST_CASE(RefusalsCarryTheEpochToo) {
  for (const int status : {404, 409, 410, 429, 503}) {
    FixedStore store(status, {"3"});
    store.Read();
    BOOST_TEST((store.seen == 3U), "status " << status);
  }
}

// Guards against a state of the store that is taken for another epoch's.
BOOST_AUTO_TEST_CASE(AnswerWithAnUnreadableEpochIsNone) {
  const std::vector<std::vector<std::string>> cases = {
      {""},       {"-1"},  {"two"},
      {"1e308"},  {"+2"},  {"0x2"},
      {"2", "2"}, {"2.0"}, {std::string(5000, '9')}};
  for (const auto& eras : cases) {
    FixedStore store(http::kOk, eras);
    BOOST_TEST((store.Read().status == store::ReadStatus::kUnknown),
               "era " << eras.front().substr(0, 9));
    BOOST_TEST(!store.seen.has_value());
    BOOST_TEST(store.store->UnreadableEpochs() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(StoreWithoutEpochsIsRead) {
  FixedStore store(http::kOk, {});
  BOOST_TEST((store.Read().object.version == store::Revision{0, 7}));
}

/// Returns what a list is read as whose first page ends with the object
/// \p last, and whose second page, asked for by a name, has one more.
std::optional<store::Listing> ListPages(const std::string& last) {
  http::Loop loop;
  http::Client client{loop};
  auto server = http::Server::Listen(
      loop, "127.0.0.1:0",
      [last](const std::shared_ptr<http::Exchange>& exchange) {
        http::ResponseHead head;
        head.status = http::kOk;
        const bool more =
            exchange->Received().target.find("after=") != std::string::npos;
        const std::string first = R"({"items":[)" + std::string(kObject) + "," +
                                  last + R"(],"has_more":true,"as_of":9})";
        exchange->Respond(
            head, more ? R"({"items":[{"metadata":{"name":"zz","revision":8},)"
                         R"("spec":{}}],"has_more":false,"as_of":9})"
                       : first);
      });
  BOOST_REQUIRE(server.has_value());
  StoreClient store(loop, client,
                    "127.0.0.1:" + std::to_string(server.value()->Port()));
  std::optional<store::Listing> read;
  store.List("servers", [&](const auto& listing) {
    read = listing;
    loop.Stop();
  });
  loop.Run();
  return read;
}

// Guards against a list that can't be read because a page ends with an entry
// whose name isn't written as a part of a URL.
BOOST_AUTO_TEST_CASE(PageThatEndsWithAnOddNameIsContinued) {
  const auto read = ListPages(
      R"({"metadata":{"name":"an odd entry","revision":8},"spec":1})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->objects.size() == 3U);
}

// Guards against the rest of a list that is taken for absent because a page
// ends with an entry whose metadata can't be read.
BOOST_AUTO_TEST_CASE(PageThatEndsWithAnUnreadableEntryIsNotTheLast) {
  const auto read = ListPages(
      R"({"metadata":{"name":"y","revision":8,"finalizers":["\ud800"]}})");
  // None is read, or all are; never a part.
  BOOST_TEST((!read.has_value() || read->objects.size() == 3U));
}

}  // namespace
}  // namespace toucanwharf::adapter
