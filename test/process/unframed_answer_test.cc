#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::EndpointFault;
using standins::fleet::Endpoints;
using std::chrono::milliseconds;

/// Makes plain endpoints answer without framing, with \p fault.
void SendUnframedWith(PlatformFleet& fleet, EndpointFault fault) {
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SendUnframed(true);
    fleet.Endpoints().SetFault("plain-0", fault);
    fleet.Endpoints().SetFault("plain-1", fault);
  });
}

bool IsOneAnswer(const std::string& body) {
  return body == "ran at plain-0" || body == "ran at plain-1";
}

// Guards against a part of an answer that looks whole because the kernel closes
// the connections of a crashed endpoint in order.
BOOST_AUTO_TEST_CASE(PartOfAnAnswerWhoseEndpointCrashedIsNoAnswer) {
  for (const char* path : {"/read/one", "/sign/one"}) {
    PlatformFleet fleet(1);
    SendUnframedWith(fleet, EndpointFault::kCrashesInAnswer);
    const Answer answer = fleet.Plain(0, path, "crashed");
    BOOST_TEST(answer.status != http::kOk, answer.body);
  }
}

// Guards against an answer that is lost because one endpoint crashed in it.
BOOST_AUTO_TEST_CASE(AnswerWhoseEndpointCrashedComesFromAnotherOne) {
  PlatformFleet fleet(1);
  fleet.RunOnLoop([&] {
    fleet.Endpoints().SendUnframed(true);
    fleet.Endpoints().SetFault("plain-0", EndpointFault::kCrashesInAnswer);
  });
  for (int i = 0; i < 8; ++i) {
    const Answer answer = fleet.Plain(0, "/read/one", "id" + std::to_string(i));
    BOOST_TEST(answer.status == http::kOk);
    BOOST_TEST(IsOneAnswer(answer.body), answer.body);
  }
}

// Guards against a second answer, head and all, inside of the first one's body.
BOOST_AUTO_TEST_CASE(SecondAnswerIsNoPartOfTheFirst) {
  for (const EndpointFault fault :
       {EndpointFault::kAnswersTwice, EndpointFault::kAnswersTwiceLate}) {
    PlatformFleet fleet(1);
    SendUnframedWith(fleet, fault);
    for (const char* path : {"/read/one", "/sign/one"}) {
      const Answer answer = fleet.Plain(0, path, std::string("id") + path);
      BOOST_TEST(answer.status == http::kOk);
      BOOST_TEST(IsOneAnswer(answer.body), answer.body);
    }
    const Answer answer = fleet.Plain(
        0, std::string("/read") + Endpoints::kLongAnswer, "id-long");
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body.size() == Endpoints::kLongAnswerBytes);
  }
}

// Guards against a body without an end that looks whole at the deadline.
BOOST_AUTO_TEST_CASE(AnswerWithoutAnEndNeverLooksWhole) {
  PlatformFleet fleet(1);
  SendUnframedWith(fleet, EndpointFault::kSendsWithoutEnd);
  const Answer answer = fleet.Plain(0, "/sign/one", "endless");
  BOOST_TEST(!(answer.status == http::kOk && answer.complete));
}

// Guards against a part of an answer that looks whole because the kernel closes
// the connections of a killed router in order.
BOOST_AUTO_TEST_CASE(PartOfAnAnswerWhoseRouterWasKilledDoesNotLookWhole) {
  PlatformFleet fleet(1);
  fleet.RunOnLoop([&] { fleet.Endpoints().SendUnframed(true); });
  Call call;
  call.url = fleet.CallersAddress(0) + "/read" + Endpoints::kLongAnswer;
  call.headers = {std::string("Host: ") + PlatformFleet::kHost,
                  "X-Request-Id: killed", "X-Deadline-Ms: 4000",
                  std::string("Authorization: Token ") + PlatformFleet::kKey};
  std::size_t received = 0;
  call.on_data = [&](const std::string& bytes) {
    if (received == 0) {
      std::this_thread::sleep_for(milliseconds(200));
      fleet.Router(0).Kill();
    }
    received += bytes.size();
    return true;
  };
  const Answer answer = Send(call);
  BOOST_TEST(received > 0U);
  BOOST_TEST(received < Endpoints::kLongAnswerBytes);
  BOOST_TEST(!answer.complete);
}

}  // namespace
}  // namespace toucanwharf::process_test
