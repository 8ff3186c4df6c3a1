#include <boost/test/unit_test.hpp>
#include <string>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::EndpointFault;

/// Far less than what is left until the request's deadline.
constexpr int kSoonMs = 1500;

bool IsIdle(PlatformFleet& fleet) {
  return fleet.Metrics(0).find("\ntoucanwharf_under_way 0\n") !=
         std::string::npos;
}

// Guards against an answer without an end that is read on for nobody.
BOOST_AUTO_TEST_CASE(AnswerWithoutAnEndIsNotReadOnForNobody) {
  PlatformFleet fleet(1);
  fleet.RunOnLoop([&] {
    for (const std::string& id : PlatformFleet::PlainIds()) {
      fleet.Endpoints().SetFault(id, EndpointFault::kSendsWithoutEnd);
    }
  });
  Call call;
  call.method = "POST";
  call.url = fleet.CallersAddress(0) + "/sign/abandoned";
  call.headers = {"Host: calls.example", "X-Request-Id: abandoned",
                  "X-Deadline-Ms: 5000",
                  std::string("Authorization: Token ") + PlatformFleet::kKey};
  call.body = "once";
  call.on_data = [](const std::string&) { return false; };
  Send(call);
  BOOST_TEST(fleet.RunsOf("abandoned").size() == 1);
  BOOST_TEST(PlatformFleet::Eventually([&] { return IsIdle(fleet); }, kSoonMs));
}

}  // namespace
}  // namespace toucanwharf::process_test
