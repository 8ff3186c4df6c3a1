#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "test/process/fixture.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::process_test {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kPoll(50);
constexpr int kMaxPolls = 600;
/// Longer than the lease term of 6 s.
constexpr std::chrono::seconds kLongerThanLease(8);

void WaitUntil(const std::string& what, const std::function<bool()>& holds) {
  for (int poll = 0; poll < kMaxPolls; ++poll) {
    if (holds()) return;
    std::this_thread::sleep_for(kPoll);
  }
  throw std::runtime_error("timed out waiting for " + what);
}

Json Record(const std::string& kind, const std::string& name,
            const Json& spec) {
  return {{"schema", "toucanwharf/v1"},
          {"kind", kind},
          {"name", name},
          {"spec", spec}};
}

/// A service that closes each connection inside its answer's head.
class CutHeadService {
 public:
  CutHeadService() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&own);
    socklen_t size = sizeof(own);
    BOOST_REQUIRE(bind(this->listener, raw, size) == 0);
    BOOST_REQUIRE(listen(this->listener, 8) == 0);
    getsockname(this->listener, raw, &size);
    this->port = ntohs(own.sin_port);
    this->thread = std::thread([this] { this->Serve(); });
  }
  ~CutHeadService() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }
  CutHeadService(const CutHeadService&) = delete;
  CutHeadService& operator=(const CutHeadService&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  int Signatures() const { return this->signatures; }

 private:
  void Serve() {
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) return;
      if (ReadRequest(connection).starts_with("POST /sign ")) {
        ++this->signatures;
      }
      send(connection, head.data(), head.size(), MSG_NOSIGNAL);
      close(connection);
    }
  }

  static std::string ReadRequest(int connection) {
    std::string got;
    char byte = 0;
    while (recv(connection, &byte, 1, 0) == 1) {
      got.push_back(byte);
      const bool has_body = got.starts_with("POST ");
      if (got.ends_with(has_body ? "}" : "\r\n\r\n")) break;
    }
    return got;
  }

  int listener;
  std::uint16_t port = 0;
  std::atomic<int> signatures{0};
  std::thread thread;
};

/// Two routers and one plain service that signs lots, behind a relay.
struct Signing {
  Signing() {
    this->fleet.AddRouter("casa-a");
    this->fleet.AddRouter("casa-b");
    this->service = std::make_unique<Process>(
        "standin_service",
        std::vector<std::string>{"--id=records-1", "--service=lot-records"});
    this->service_address = this->service->WaitForLine("listening");
    this->relay = std::make_unique<Process>(
        "standin_relay",
        std::vector<std::string>{"--target=" + this->service_address});
    this->relay_admin = this->relay->WaitForLine("admin");
    this->ListService(this->relay->WaitForLine("listening"));
    this->Write(Record("service", "lot-records",
                       {{"calls", Json::array()}, {"timeout_ms", 3000}}));
    for (std::size_t router = 0; router < 2; ++router) {
      WaitUntil("a signature through each router", [this, router] {
        return this->Sign(router, NewId()).status == 200;
      });
    }
  }

  void Write(const Json& record) const {
    Call call;
    call.method = "PUT";
    call.url = this->fleet.PlatformAddress() + "/objects/records/" +
               record["kind"].get<std::string>() + "." +
               record["name"].get<std::string>();
    call.body = Json({{"writer", NewId()}, {"value", record}}).dump();
    BOOST_REQUIRE(Send(call).status == 200);
  }

  void ListService(const std::string& address,
                   const std::string& id = "records-1") const {
    Call call;
    call.method = "POST";
    call.url = this->fleet.PlatformAddress() + "/instances";
    call.body = Json({{"id", id},
                      {"address", address},
                      {"role", "service"},
                      {"service", "lot-records"},
                      {"failure_domain", "casa-a"},
                      {"state", "live"}})
                    .dump();
    BOOST_REQUIRE(Send(call).status == 200);
  }

  void RelayFault(const Json& fault) const {
    this->Fault(this->relay_admin, fault);
  }
  void PlatformFault(const Json& fault) const {
    this->Fault(this->fleet.PlatformAddress(), fault);
  }
  void ServiceFault(const Json& fault) const {
    this->Fault(this->service_address, fault);
  }

  Answer Sign(std::size_t router, const std::string& key) const {
    Call call;
    call.method = "POST";
    call.url =
        this->fleet.RouterAddress(router) + "/v1/services/lot-records/sign";
    call.key = Fleet::kCustomerKey;
    call.headers = {"Idempotency-Key: " + key};
    call.body = R"({"lot": 2231})";
    return Send(call);
  }

  /// Returns how often the service ran what came with \p key.
  int Runs(const std::string& key) const {
    Call call;
    call.url = this->service_address + "/_runs?key=" + key;
    return Send(call).Json().value("runs", 0);
  }

  static std::string RanOf(const Answer& answer) {
    const Json body = answer.Json();
    if (!body.is_object()) return "";
    const Json& where = body.contains("error") ? body["error"] : body;
    if (where.is_object() && where.contains("ran")) return where["ran"];
    return body.value("ran", "");
  }

  std::uint64_t Generation(std::size_t router) const {
    return this->StatusOf(router).value("generation", std::uint64_t{0});
  }
  Json StatusOf(std::size_t router) const {
    Call call;
    call.url = this->fleet.AdminAddress(router) + "/admin/status";
    call.key = Fleet::kAdminKey;
    const Json status = Send(call).Json();
    return status.is_object() ? status : Json::object();
  }

  Fleet fleet;
  std::unique_ptr<Process> service;
  std::string service_address;
  /// Stands between the routers and the service.
  std::unique_ptr<Process> relay;
  std::string relay_admin;

 private:
  void Fault(const std::string& address, const Json& fault) const {
    Call call;
    call.method = "POST";
    call.url = address + "/faults";
    call.body = fault.dump();
    BOOST_REQUIRE(Send(call).status == 200);
  }
};

BOOST_FIXTURE_TEST_SUITE(State, Signing)

// The caller's connection breaks after the lot was signed, and the caller
// retries through the other router. It gets the first answer again, and the
// lot is signed once.
BOOST_AUTO_TEST_CASE(RetryThroughTheOtherRouterRunsNothing) {
  const std::string key = NewId();
  const Answer first = this->Sign(0, key);
  BOOST_TEST(first.status == 200);
  Answer retried;
  WaitUntil("the kept answer", [&] {
    retried = this->Sign(1, key);
    return retried.status == 200;
  });
  BOOST_TEST(retried.body == first.body);
  BOOST_TEST(this->Runs(key) == 1);
}

// The router is killed (SIGKILL) while the service runs the signature. The
// retry through the other router must not sign again, and reports "unknown".
BOOST_AUTO_TEST_CASE(RouterKilledInTheCallSignsOnce) {
  this->ServiceFault({{"delay_ms", 1500}});
  const std::string key = NewId();
  auto first = std::async(std::launch::async,
                          [this, key] { return this->Sign(0, key); });
  WaitUntil("the run", [&] { return this->Runs(key) == 1; });
  this->fleet.Router(0).Kill();
  BOOST_TEST(first.get().status == 0);
  const Answer retried = this->Sign(1, key);
  BOOST_TEST(retried.status == 409);
  BOOST_TEST(this->RanOf(retried) == "unknown");
  BOOST_TEST(this->Runs(key) == 1);
}

// Guards against calls that the end of a drain cuts without an answer, and
// against those that are sent on although it would cut them.
BOOST_AUTO_TEST_CASE(EndOfADrainAnswersCallsAndTakesNoneThatOutlastIt) {
  this->Write(Record("service", "lot-records",
                     {{"calls", Json::array()}, {"timeout_ms", 9000}}));
  const std::size_t router = this->fleet.AddRouter(
      "casa-a", Json::object(), {{"entries_ttl_ms", 500}, {"drain_ms", 4500}});
  WaitUntil("a signature through the new router",
            [&] { return this->Sign(router, NewId()).status == 200; });
  this->ServiceFault({{"delay_ms", 6000}});
  const std::string key = NewId();
  auto first = std::async(std::launch::async,
                          [&, key] { return this->Sign(router, key); });
  WaitUntil("the run", [&] { return this->Runs(key) == 1; });
  this->fleet.Router(router).Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const std::string late_key = NewId();
  const Answer late = this->Sign(router, late_key);
  BOOST_TEST(late.status == 503);
  BOOST_TEST(this->RanOf(late) == "no");
  BOOST_TEST(this->Runs(late_key) == 0);
  const Answer cut = first.get();
  BOOST_TEST(cut.status == 502);
  BOOST_TEST(this->RanOf(cut) == "unknown");
  BOOST_TEST(this->fleet.Router(router).Wait() == 0);
}

// The store writes the claim, but several of its responses in a row are lost.
// The router finds its claim by reading it back, and the signature succeeds.
BOOST_AUTO_TEST_CASE(LostStoreResponsesFailNoCall) {
  this->PlatformFault({{"lose_answers", 2}});
  const std::string key = NewId();
  Answer answer = this->Sign(0, key);
  WaitUntil("the signature", [&] {
    if (answer.status != 200) answer = this->Sign(0, key);
    return answer.status == 200;
  });
  BOOST_TEST(this->Runs(key) == 1);
}

// During a store outage the signature is refused and nothing runs. The refusal
// reports "unknown", since an earlier attempt may have run. After the outage
// the retry signs.
BOOST_AUTO_TEST_CASE(RefusalDuringOutageIsAccurateAndTheRetryRuns) {
  const std::string key = NewId();
  this->PlatformFault({{"outage", true}});
  const Answer refused = this->Sign(0, key);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(this->RanOf(refused) == "unknown");
  BOOST_TEST(this->Runs(key) == 0);
  this->PlatformFault({{"outage", false}});
  WaitUntil("the signature", [&] { return this->Sign(1, key).status == 200; });
  BOOST_TEST(this->Runs(key) == 1);
}

// The router is suspended (SIGSTOP) while its claim is in flight, the caller
// retries through the other router, and the first resumes after the deadline.
// It must not run the abandoned signature.
BOOST_AUTO_TEST_CASE(RouterSuspendedInTheClaimSignsOnce) {
  const std::string key = NewId();
  this->PlatformFault({{"slow_ms", 400}});
  auto first = std::async(std::launch::async,
                          [this, key] { return this->Sign(0, key); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  this->fleet.Router(0).Signal(SIGSTOP);
  this->PlatformFault({{"slow_ms", 0}});
  WaitUntil("a final answer through the other router", [&] {
    const Answer answer = this->Sign(1, key);
    return answer.status == 200 || answer.status == 409;
  });
  std::this_thread::sleep_for(kLongerThanLease);
  this->fleet.Router(0).Signal(SIGCONT);
  first.get();
  BOOST_TEST(this->Runs(key) <= 1);
}

// The endpoint closes the connection at each point of the call: before it reads
// the request, before it runs it, after it has run it. The caller retries
// through the other router each time; nothing is signed twice.
BOOST_AUTO_TEST_CASE(EndpointFailingAtAnyPointSignsOnce) {
  for (const char* fault :
       {"close_before_reading", "close_before_run", "close_after_run"}) {
    const std::string key = NewId();
    this->ServiceFault({{fault, 1}});
    const Answer first = this->Sign(0, key);
    const int ran = this->Runs(key);
    if (first.status != 200) BOOST_TEST(this->RanOf(first) == "unknown");
    this->Sign(1, key);
    BOOST_TEST(this->Runs(key) == ran);
    BOOST_TEST(this->Runs(key) <= 1);
  }
}

// The link between router and service is blackholed after the request was sent.
// The call ends as "unknown" at its timeout, and the retry signs nothing, even
// after the link has recovered.
BOOST_AUTO_TEST_CASE(BlackholedLinkSignsAtMostOnce) {
  const std::string key = NewId();
  this->ServiceFault({{"delay_ms", 700}});
  auto first = std::async(std::launch::async,
                          [this, key] { return this->Sign(0, key); });
  WaitUntil("the run", [&] { return this->Runs(key) == 1; });
  this->RelayFault({{"silence", "open"}});
  const Answer unanswered = first.get();
  BOOST_TEST(unanswered.status == 504);
  BOOST_TEST(this->RanOf(unanswered) == "unknown");
  this->RelayFault({{"heal", true}});
  WaitUntil("a final answer", [&] { return this->Sign(1, key).status == 409; });
  BOOST_TEST(this->Runs(key) == 1);
}

// The connection to the endpoint is reset after the request was sent. Guards
// against libcurl's automatic retry: the request is sent once, and the refusal
// is accurate.
BOOST_AUTO_TEST_CASE(ResetAfterTheRequestWasReadSignsNothing) {
  const std::string key = NewId();
  this->RelayFault({{"close_after_request", 1}});
  const Answer refused = this->Sign(0, key);
  BOOST_TEST(this->RanOf(refused) == "unknown");
  BOOST_TEST(this->Runs(key) == 0);
  this->Sign(1, key);
  BOOST_TEST(this->Runs(key) == 0);
}

// Guards against a 200 with an empty body for an answer whose head was cut.
BOOST_AUTO_TEST_CASE(AnswerCutInsideItsHeadIsNotRelayedAsWhole) {
  CutHeadService service;
  this->ListService(service.Address());
  std::string key;
  Answer answer;
  WaitUntil("a call at the new address", [&] {
    key = NewId();
    answer = this->Sign(0, key);
    return service.Signatures() == 1;
  });
  BOOST_TEST(answer.status == 502);
  BOOST_TEST(RanOf(answer) == "unknown");
  BOOST_TEST(this->Sign(0, key).status != 200);
  BOOST_TEST(service.Signatures() == 1);
}

// The endpoint refuses the request before running it. The response reports it
// as not run, accurately, and the retry signs.
BOOST_AUTO_TEST_CASE(RefusalOfTheEndpointIsNotRun) {
  const std::string key = NewId();
  this->ServiceFault({{"refuse", 1}});
  const Answer refused = this->Sign(0, key);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(this->RanOf(refused) == "no");
  BOOST_TEST(this->Runs(key) == 0);
  WaitUntil("the signature", [&] { return this->Sign(1, key).status == 200; });
  BOOST_TEST(this->Runs(key) == 1);
}

// Guards against a path such as /drafts/../sign that bypasses the rule for
// /sign: the record marks drafts as idempotent, the HTTP library normalizes the
// path to /sign, the answer is lost, and the router retries what it takes for a
// draft, so that the lot is signed twice (I4).
BOOST_AUTO_TEST_CASE(NormalizedPathDoesNotMakeACallRetryable) {
  const std::uint64_t before = this->Generation(0);
  this->Write(Record("service", "lot-records",
                     {{"calls",
                       {{{"method", "POST"},
                         {"path_prefix", "/drafts"},
                         {"idempotent", true}}}},
                      {"timeout_ms", 3000}}));
  this->ListService(this->service_address, "records-2");
  const auto draft = [this](const std::string& path) {
    Call call;
    call.method = "POST";
    call.url = this->fleet.RouterAddress(0) + "/v1/services/lot-records" + path;
    call.key = Fleet::kCustomerKey;
    call.body = "{}";
    return Send(call);
  };
  WaitUntil("the change in force",
            [&] { return this->Generation(0) > before; });
  BOOST_TEST(draft("/drafts/1").status == 200);
  this->ServiceFault({{"close_after_run", 1}});
  const Answer answer = draft("/drafts/%2e%2e/sign-twice");
  BOOST_TEST(answer.status == 400);
  BOOST_TEST(RanOf(answer) == "no");
  Call runs;
  runs.url = this->service_address + "/_runs";
  const Json by_call = Send(runs).Json()["by_call"];
  BOOST_TEST(by_call.value("POST /sign-twice", 0) == 0);
}

// The router that accepts records is suspended for longer than its lease. The
// other takes over and publishes; the first must not revert the state when it
// resumes.
BOOST_AUTO_TEST_CASE(SuspendedPublisherDoesNotRevert) {
  std::size_t holder = 2;
  WaitUntil("a holder", [&] {
    for (std::size_t router = 0; router < 2; ++router) {
      if (this->StatusOf(router).value("accepts_records", false)) {
        holder = router;
      }
    }
    return holder < 2;
  });
  const std::size_t other = 1 - holder;
  const std::uint64_t before = this->Generation(other);
  this->fleet.Router(holder).Signal(SIGSTOP);
  this->Write(Record("customer", "berrechid",
                     {{"key_sha256", Sha256Hex("another key")}}));
  WaitUntil("the change in force",
            [&] { return this->Generation(other) > before; });
  const std::uint64_t after = this->Generation(other);
  this->fleet.Router(holder).Signal(SIGCONT);
  WaitUntil("the change in force on both",
            [&] { return this->Generation(holder) == after; });
  this->Write(Record("customer", "berrechid",
                     {{"key_sha256", Sha256Hex("a third key")}}));
  WaitUntil("the next change on both", [&] {
    return this->Generation(0) > after && this->Generation(1) > after;
  });
  BOOST_TEST(this->Generation(0) == this->Generation(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::process_test
